package measure

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"spanflow/internal/emulator"
)

const (
	startTimeout = 2 * time.Minute // time within which a started forwarder must be ready
	pollInterval = time.Millisecond
	settlingTime = 300 * time.Millisecond // wait before the memory or processor time of a forwarder is read
	discardPort  = "127.0.0.1:9"          // address on which nothing listens
)

// configuration holds the settings in which measured forwarders differ.
type configuration struct {
	destinations  int      // number of destinations in the list; they are numbered from 1 and have one endpoint each
	unlisted      int      // number of a destination to leave out of the list; 0 means none
	endpoints     []string // addresses of the endpoints, used in turn; if empty, nothing listens on any endpoint
	folder        string   // folder of the write-ahead log; empty means a new one
	disk          int64    // limit of the write-ahead log in bytes; 0 means enough for a few messages
	descriptors   int      // limit of descriptors; 0 means enough for a few clients
	queueCapacity int      // 0 means a few thousand messages
	forwarders    int      // number of forwarders in the fleet; 0 means 1
	metrics       bool
	discovery     string // address of discovery; empty means the list is part of the configuration
	settings      string // further lines of TOML
}

const (
	defaultDisk          = 64_000_000
	defaultDescriptors   = 1024
	defaultQueueCapacity = 4000
	endpointName         = "t%d" // unique id of a destination's endpoint
)

// write writes the configuration to a file. The folder is that of the write-ahead log; memory is a limit in bytes.
func (c *configuration) write(path, folder string, memory int64) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	fmt.Fprintf(w, "name = \"measured\"\nseed = \"1\"\n[ledger]\nfolder = %q\ndisk = \"%dB\"\n", folder, orDefault(c.disk, defaultDisk))
	fmt.Fprintf(w, "[limits]\nmemory = \"%dB\"\ndescriptors = %d\n", memory, orDefault(c.descriptors, defaultDescriptors))
	fmt.Fprintf(w, "[dispatch]\nslots = 64\nroom = %d\nforwarders = %d\n", orDefault(c.queueCapacity, defaultQueueCapacity), orDefault(c.forwarders, 1))
	if c.discovery != "" {
		fmt.Fprintf(w, "[discovery]\naddress = %q\n", c.discovery)
	}
	if c.metrics {
		fmt.Fprintf(w, "[metrics]\nlisten = \"127.0.0.1:0\"\n")
	}
	fmt.Fprintf(w, "[[fronts]]\nname = \"resp\"\nprotocol = \"resp\"\nlisten = \"127.0.0.1:0\"\n")
	fmt.Fprintf(w, "[[types]]\nname = %q\nrepeat = \"replayable\"\nagreed = \"3s\"\nlife = \"48h\"\n", heldType)
	w.WriteString(c.settings)
	for i := 1; i <= c.destinations; i++ {
		if c.discovery != "" || i == c.unlisted {
			continue
		}
		address := discardPort
		if len(c.endpoints) > 0 {
			address = c.endpoints[i%len(c.endpoints)]
		}
		fmt.Fprintf(w, "[[targets]]\nuid = \""+endpointName+"\"\naddress = %q\ndest = %d\n", i, address, i)
	}
	return errors.Join(w.Flush(), f.Close())
}

func orDefault[T comparable](value, fallback T) T {
	if value == *new(T) {
		return fallback
	}
	return value
}

// process is a running forwarder.
type process struct {
	command    *exec.Cmd
	log        *emulator.Log
	ended      chan struct{}
	folder     string // folder of the configuration; kill removes it
	file       string // path of the configuration
	state      string // folder of the write-ahead log
	listen     string // address for clients
	metrics    string // address of the metrics
	began      time.Time
	readyAfter time.Duration // time until clients are served or, with discovery, until the whole list is known
}

// start starts a forwarder and waits until it is ready.
func (t *trial) start(c *configuration) (*process, error) {
	folder, err := os.MkdirTemp(t.Folder, "forwarder")
	if err != nil {
		return nil, err
	}
	p := &process{log: emulator.NewLog(), ended: make(chan struct{}), folder: folder, file: filepath.Join(folder, "spanflow.toml")}
	if p.state = c.folder; p.state == "" {
		p.state = filepath.Join(folder, "state")
	}
	if err := c.write(p.file, p.state, t.Memory); err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	p.command = exec.Command(t.Program, "run", "--config", p.file)
	p.command.Stderr = p.log
	p.began = time.Now()
	if err := p.command.Start(); err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	go func() {
		p.command.Wait()
		close(p.ended)
	}()
	if err := p.awaitLog(t, `"message":"ready"`, startTimeout); err != nil {
		p.kill()
		return nil, err
	}
	p.readyAfter = time.Since(p.began)
	p.listen, p.metrics = p.field("listen"), p.field("metrics")
	return p, nil
}

func (p *process) pid() int { return p.command.Process.Pid }

// kill ends the process and removes its folder.
func (p *process) kill() {
	p.command.Process.Kill()
	<-p.ended
	os.RemoveAll(p.folder)
}

// reload makes the process reload its configuration, by SIGHUP.
func (p *process) reload() error { return p.command.Process.Signal(syscall.SIGHUP) }

// field returns the first value of a text field in the process's log lines.
func (p *process) field(name string) string {
	_, text, _ := strings.Cut(p.log.String(), `"`+name+`":"`)
	value, _, _ := strings.Cut(text, `"`)
	return value
}

// awaitLog waits until the process's log contains a text.
func (p *process) awaitLog(t *trial, text string, timeout time.Duration) error {
	expired := time.After(timeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if p.log.Has(text) {
				return nil
			}
		case <-p.ended:
			return fmt.Errorf("the forwarder ended; its last log line: %s", lastLine(p.log.String()))
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-expired:
			return fmt.Errorf("the forwarder logged no %s within %s; its last log line: %s", text, timeout, lastLine(p.log.String()))
		}
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// startListed starts a forwarder that gets its list from discovery, and waits until it knows the whole list. The caller
// closes the server.
func (t *trial) startListed(c *configuration) (p *process, server *discoveryServer, err error) {
	if server, err = newDiscoveryServer(c.destinations); err != nil {
		return nil, nil, err
	}
	c.discovery = server.address
	if p, err = t.start(c); err == nil {
		if err = t.awaitKnown(p, c.destinations); err == nil {
			p.readyAfter = time.Since(p.began)
			return p, server, nil
		}
		p.kill()
	}
	server.close()
	return nil, nil, err
}

// memoryOf waits until the process has settled and returns its resident memory in bytes.
func (t *trial) memoryOf(p *process) (int64, error) {
	if err := t.pause(settlingTime); err != nil {
		return 0, err
	}
	resident, err := residentBytes(p.pid())
	t.peak = max(t.peak, resident)
	return resident, err
}

// pause waits for a time, or returns an error as soon as the trial ends.
func (t *trial) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-t.ctx.Done():
		return t.ctx.Err()
	}
}
