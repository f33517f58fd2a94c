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

// process is one forwarder.
type process struct {
	run    *realRun
	number int
	name   string
	listen string        // address
	config string        // file
	folder string        // of its write-ahead log
	log    *os.File      // its log lines
	cmd    *exec.Cmd     // the latest process
	ended  chan struct{} // closed when that has ended
	conns  chan net.Conn // idle connections of clients

	// Under the run's lock:
	stalledUntil float64 // moment of the run's clock
	killed       bool    // its process was killed and no other has begun
	runEnded     bool    // no other begins
}

const (
	maxIdleConns      = 16
	readyPollInterval = 20 * time.Millisecond
)

// newProcess makes a forwarder and its configuration, and starts no process.
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

// start starts a process.
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

// awaitReady waits until the forwarder answers PING.
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
	return fmt.Errorf("forwarder %s does not answer; its log is %s", p.name, p.log.Name())
}

// stall makes the forwarder, whichever process it has, stand still until a moment; the run's lock is held.
func (p *process) stall(until float64) {
	p.stalledUntil = max(p.stalledUntil, until)
	p.run.log.ForwarderStalled(p.number, until)
	if !p.killed {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.resumeAfterStall()
	}
}

// resumeAfterStall ends the stall once no other lasts longer; the run's lock is held.
func (p *process) resumeAfterStall() {
	if left := p.stalledUntil - p.run.Now(); left > 0 {
		p.run.After(left, p.resumeAfterStall)
	} else if !p.killed {
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// kill ends the process; another begins a little later. The run's lock is held.
func (p *process) kill() {
	if p.killed {
		return
	}
	p.killed = true
	p.cmd.Process.Kill()
	p.run.log.ForwarderRestarted(p.number, p.run.Now()+restartDelay+recoveryGrace)
	p.run.After(restartDelay, p.restart)
}

// restart begins another process after a kill, at the end of a stall if there is one. The run's lock is held.
func (p *process) restart() {
	left := p.stalledUntil - p.run.Now()
	switch {
	case p.runEnded:
	case left > 0:
		p.run.log.ForwarderStalled(p.number, p.stalledUntil+recoveryGrace)
		p.run.After(left, p.restart)
	default:
		if err := p.start(); err != nil {
			p.run.restartErrors = errors.Join(p.run.restartErrors, fmt.Errorf("forwarder %s does not start again: %w", p.name, err))
			return
		}
		p.killed = false
	}
}

// stop ends the process for good.
func (p *process) stop() {
	p.run.mu.Lock()
	p.runEnded = true
	ended := p.ended
	p.cmd.Process.Kill()
	p.run.mu.Unlock()
	<-ended
	p.log.Close()
}
