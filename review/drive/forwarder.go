package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	readyTimeout = 10 * time.Second
	pingPause    = 5 * time.Millisecond
)

// forwarder is one forwarder of the deployment: its name, address, folder and configuration stay the same over
// restarts.
type forwarder struct {
	stage     *stage
	name      string
	listen    string
	discovery string
	config    string // path of the configuration file
	state     string // path of the folder that lasts

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// newForwarder prepares a forwarder with the given settings and last known list. It does not start it.
func (s *stage) newForwarder(name, discovery string, settings map[string]any, known list) (*forwarder, error) {
	listen, err := s.freeAddress()
	if err != nil {
		return nil, err
	}
	f := &forwarder{stage: s, name: name, listen: listen, discovery: discovery,
		config: s.path(name + ".json"), state: s.path(name + "-state")}
	if err := os.Mkdir(f.state, 0o700); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3},
		"known":    known,
		"settings": settings,
	}, "", " ")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.forwarders = append(s.forwarders, f)
	s.mu.Unlock()
	return f, os.WriteFile(f.config, text, 0o600)
}

// start starts the forwarder as the platform does, and waits until it answers PING.
func (f *forwarder) start() error {
	log, err := os.OpenFile(f.stage.path(f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", f.stage.run)
	command.Env = append(os.Environ(), "PROXY_NAME="+f.name, "PROXY_LISTEN="+f.listen, "PROXY_DISCOVERY="+f.discovery,
		"PROXY_STATE="+f.state, "PROXY_CONFIG="+f.config, "PROXY_ADMIN=", "PROXY_INHERITED_FD=")
	command.Stdout, command.Stderr = log, log
	ended := make(chan struct{})
	if err := f.launch(command, ended); err != nil {
		return err
	}
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	f.stage.record("%s: started, pid %d", f.name, command.Process.Pid)
	if !waitFor(readyTimeout, f.answersPing) {
		return fmt.Errorf("%w: %s is not ready: %s", errSetup, f.name, f.log())
	}
	f.stage.record("%s: ready", f.name)
	return nil
}

// launch starts the command unless the stage is closed, so that close finds every process that was started.
func (f *forwarder) launch(command *exec.Cmd, ended chan struct{}) error {
	f.stage.mu.Lock()
	defer f.stage.mu.Unlock()
	if f.stage.closed {
		return fmt.Errorf("%w: the case is being ended", errSetup)
	}
	if err := command.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.process, f.ended = command, ended
	return nil
}

func (f *forwarder) answersPing() bool {
	c, err := dialForwarder(f.listen)
	if err != nil {
		time.Sleep(pingPause)
		return false
	}
	defer c.close()
	reply, err := c.command("PING")
	return err == nil && reply == "+PONG"
}

// kill ends the running process with SIGKILL and waits for its end.
func (f *forwarder) kill() {
	f.mu.Lock()
	process, ended := f.process, f.ended
	f.process = nil
	f.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
	f.stage.record("%s: killed", f.name)
}

// log returns what the forwarder's processes have written to their standard output and error.
func (f *forwarder) log() string {
	text, _ := os.ReadFile(f.stage.path(f.name + ".log"))
	return string(text)
}

// recordLog copies the forwarder's log lines that hold one of the words to the record.
func (f *forwarder) recordLog(words ...string) {
	for line := range bytes.Lines([]byte(f.log())) {
		for _, word := range words {
			if strings.Contains(string(line), word) {
				f.stage.record("log of %s: %s", f.name, bytes.TrimSpace(line))
				break
			}
		}
	}
}
