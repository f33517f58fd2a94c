package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"spanflow/internal/emulator"
)

// process is one forwarder on real sockets. It outlives restarts of the forwarder's operating system process.
type process struct {
	run    *realRun
	number int
	name   string
	listen string        // address for clients
	config string        // path of the configuration
	folder string        // folder of the write-ahead log
	log    *os.File      // receives the log lines
	cmd    *exec.Cmd     // latest operating system process
	ended  chan struct{} // closed when cmd has ended
	conns  chan net.Conn // idle connections of clients

	// Guarded by the run's lock:
	stalledUntil float64 // end of the longest stall, on the run's clock
	killed       bool    // cmd was killed and has not been restarted
	runEnded     bool    // no further process may be started
}

const (
	maxIdleConns      = 16
	readyPollInterval = 20 * time.Millisecond
)

// newProcess prepares forwarder n, with its folder, configuration and log file, but does not start it.
func (run *realRun) newProcess(n int) (*process, error) {
	p := &process{run: run, number: n, name: fmt.Sprint("n", n), conns: make(chan net.Conn, maxIdleConns)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listen = ln.Addr().String()
	ln.Close()
	p.folder = filepath.Join(run.Folder, p.name)
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return nil, err
	}
	p.config = filepath.Join(run.Folder, p.name+".json")
	text, err := json.Marshal(run.platformConfig(p))
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err == nil {
		p.log, err = os.Create(filepath.Join(run.Folder, p.name+".log"))
	}
	return p, err
}

// start starts an operating system process.
func (p *process) start() error {
	cmd := exec.Command(p.run.Program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "PROXY_STATE="+p.folder)
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
	return nil
}

// awaitReady waits until the forwarder answers PING, and returns an error after the given time.
func (p *process) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if c, err := emulator.NewClient(p.listen); err == nil {
			answer, err := c.Send(emulator.Command("PING"))
			c.Close()
			if err == nil && answer == "+PONG" {
				return nil
			}
		}
	}
	return fmt.Errorf("forwarder %s did not answer PING in time; see its log %s", p.name, p.log.Name())
}

// stall suspends the forwarder until the given time. A restart does not end the stall. The run's lock must be held.
func (p *process) stall(until float64) {
	p.stalledUntil = max(p.stalledUntil, until)
	p.run.log.ForwarderStalled(p.number, until)
	if !p.killed {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.resumeAfterStall()
	}
}

// resumeAfterStall resumes the process at the end of the longest stall. The run's lock must be held.
func (p *process) resumeAfterStall() {
	if left := p.stalledUntil - p.run.Now(); left > 0 {
		p.run.After(left, p.resumeAfterStall)
	} else if !p.killed {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// kill kills the process and starts another one after restartDelay. The run's lock must be held.
func (p *process) kill() {
	if p.killed {
		return
	}
	p.killed = true
	p.cmd.Process.Kill()
	p.run.log.ForwarderRestarted(p.number, p.run.Now()+restartDelay+recoveryGrace)
	p.run.After(restartDelay, p.restart)
}

// restart starts a process after a kill, or at the end of the stall if the forwarder is stalled. The run's lock must be
// held.
func (p *process) restart() {
	left := p.stalledUntil - p.run.Now()
	switch {
	case p.runEnded:
	case left > 0:
		p.run.log.ForwarderStalled(p.number, p.stalledUntil+recoveryGrace)
		p.run.After(left, p.restart)
	default:
		if err := p.start(); err != nil {
			p.run.restartErrors = errors.Join(p.run.restartErrors, fmt.Errorf("restart forwarder %s: %w", p.name, err))
			return
		}
		p.killed = false
	}
}

// stop kills the process, waits for its end, and prevents any restart.
func (p *process) stop() {
	p.run.mu.Lock()
	p.runEnded = true
	ended := p.ended
	p.cmd.Process.Kill()
	p.run.mu.Unlock()
	<-ended
	p.log.Close()
}
