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
	startWithin  = 2 * time.Minute // a forwarder that is not ready by then has failed
	pollInterval = time.Millisecond
	settlingTime = 300 * time.Millisecond // before a started forwarder's memory is read
	discardPort  = "127.0.0.1:9"          // nothing listens there
)

// configuration is what a forwarder that is measured differs in.
type configuration struct {
	destinations  int      // in its list, numbered from 1, each with one endpoint
	unlisted      int      // the number of a destination that is not in it; 0: all are
	targets       []string // addresses of the endpoints, used in turn; empty: nothing listens there
	folder        string   // with its write-ahead log; empty: a new one
	disk          int64    // bytes that its write-ahead log may take; 0: enough for a few messages
	descriptors   int      // 0: enough for a few clients
	queueCapacity int      // messages that it may hold; 0: a few thousand
	forwarders    int      // of the fleet that it belongs to; 0: it is alone
	metrics       bool
	discovery     string // address of the service with the list; empty: the configuration has it
	settings      string // further lines
}

const (
	defaultDisk          = 64_000_000
	defaultDescriptors   = 1024
	defaultQueueCapacity = 4000
	endpointName         = "t%d" // of a destination's endpoint
)

// write writes the configuration to a file.
func (c *configuration) write(path, folder string, memory int64) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	fmt.Fprintf(w, "name = \"measured\"\nseed = \"1\"\n[ledger]\nfolder = %q\ndisk = \"%dB\"\n", folder, or(c.disk, defaultDisk))
	fmt.Fprintf(w, "[limits]\nmemory = \"%dB\"\ndescriptors = %d\n", memory, or(c.descriptors, defaultDescriptors))
	fmt.Fprintf(w, "[dispatch]\nslots = 64\nroom = %d\nforwarders = %d\n", or(c.queueCapacity, defaultQueueCapacity), or(c.forwarders, 1))
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
		if len(c.targets) > 0 {
			address = c.targets[i%len(c.targets)]
		}
		fmt.Fprintf(w, "[[targets]]\nuid = \""+endpointName+"\"\naddress = %q\ndest = %d\n", i, address, i)
	}
	return errors.Join(w.Flush(), f.Close())
}

func or[T comparable](value, usual T) T {
	if value == *new(T) {
		return usual
	}
	return value
}

// process is a running forwarder.
type process struct {
	command    *exec.Cmd
	log        *emulator.Log
	ended      chan struct{}
	folder     string // of its configuration, removed at its end
	file       string // its configuration
	state      string // folder of its write-ahead log
	listen     string // where clients connect
	metrics    string // where metrics are served
	began      time.Time
	readyAfter time.Duration // until clients were served, or all of its list was known
}

// start starts the built forwarder and waits until it is ready.
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
	if err := p.await(t, `"message":"ready"`, startWithin); err != nil {
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

// reload makes the process read its configuration again.
func (p *process) reload() error { return p.command.Process.Signal(syscall.SIGHUP) }

// field is the first value of a field in the process's log lines.
func (p *process) field(name string) string {
	_, text, _ := strings.Cut(p.log.String(), `"`+name+`":"`)
	value, _, _ := strings.Cut(text, `"`)
	return value
}

// await waits until a word is in the process's log.
func (p *process) await(t *trial, word string, within time.Duration) error {
	late := time.After(within)
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			if p.log.Has(word) {
				return nil
			}
		case <-p.ended:
			return fmt.Errorf("the forwarder ended: %s", lastLine(p.log.String()))
		case <-t.ctx.Done():
			return t.ctx.Err()
		case <-late:
			return fmt.Errorf("no %s from the forwarder within %s; its last line: %s", word, within, lastLine(p.log.String()))
		}
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// startListed starts a forwarder that gets its list from discovery, and waits until it knows all of it. The caller
// closes the server.
func (t *trial) startListed(c *configuration) (p *process, server *discoveryServer, err error) {
	if server, err = newDiscoveryServer(c.destinations); err != nil {
		return nil, nil, err
	}
	c.discovery = server.address
	if p, err = t.start(c); err == nil {
		if err = t.untilKnown(p, c.destinations); err == nil {
			p.readyAfter = time.Since(p.began)
			return p, server, nil
		}
		p.kill()
	}
	server.close()
	return nil, nil, err
}

// memoryOf is the process's resident memory, a moment after its start.
func (t *trial) memoryOf(p *process) (int64, error) {
	if err := t.pause(settlingTime); err != nil {
		return 0, err
	}
	resident, err := residentBytes(p.pid())
	t.peak = max(t.peak, resident)
	return resident, err
}

// pause waits, but not beyond the trial's end.
func (t *trial) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-t.ctx.Done():
		return t.ctx.Err()
	}
}
