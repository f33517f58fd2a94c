package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"
)

const (
	exitTimeout = 2 * time.Second // time after the end of its input at which a process is killed or forces its own exit
	maxStderr   = 4 << 10         // number of bytes kept of a process's standard error
)

// process is an operating system process that the coordinator has started. It answers requests one after another and
// exits when its input ends.
type process struct {
	name    string
	command *exec.Cmd
	input   io.WriteCloser
	output  *json.Decoder
	stderr  *tail
}

// startProcess starts a program with additional environment variables. The process is killed when ctx ends.
func startProcess(ctx context.Context, name string, program []string, role Role, environment ...string) (*process, error) {
	p := &process{name: name, stderr: &tail{}}
	p.command = exec.CommandContext(ctx, program[0], append(program[1:len(program):len(program)], string(role))...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stderr = p.stderr
	p.command.WaitDelay = exitTimeout
	input, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.input, p.output = input, json.NewDecoder(bufio.NewReader(output))
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

func (p *process) pid() int { return p.command.Process.Pid }

// call sends a request and waits for its answer.
func (p *process) call(r request) (response, error) {
	var answer response
	err := json.NewEncoder(p.input).Encode(r)
	if err == nil {
		err = p.output.Decode(&answer)
	}
	switch {
	case err != nil:
		return answer, fmt.Errorf("%s: %w; its standard error: %s", p.name, err, p.stderr)
	case answer.Error != "":
		return answer, fmt.Errorf("%s: %s", p.name, answer.Error)
	}
	return answer, nil
}

// end closes the process's input and waits until it has exited. After exitTimeout it kills the process.
func (p *process) end() {
	p.input.Close()
	kill := time.AfterFunc(exitTimeout, func() { p.command.Process.Kill() })
	defer kill.Stop()
	p.command.Wait()
}

// tail keeps the last bytes written to it.
type tail struct{ text []byte }

// Write appends bytes and keeps at most the last maxStderr bytes. It never returns an error.
func (t *tail) Write(b []byte) (int, error) {
	t.text = append(t.text, b...)
	if len(t.text) > maxStderr {
		t.text = append(t.text[:0], t.text[len(t.text)-maxStderr:]...)
	}
	return len(b), nil
}

// String returns the bytes kept so far.
func (t *tail) String() string { return string(t.text) }

// Serve runs a process that the coordinator started. It answers requests until the input or ctx ends. If a request is
// still being processed some time after the end of the input, the process exits with status 1.
func Serve(ctx context.Context, role Role, input io.Reader, output io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var handle func(request) (response, error)
	switch role {
	case RoleServer:
		handle = (&serverProcess{}).handle
	case RoleWorker:
		w := newWorker(ctx)
		defer w.stop()
		handle = w.handle
	default:
		return fmt.Errorf("unknown role %q", role)
	}
	requests := make(chan request)
	go func() {
		defer close(requests)
		decoder := json.NewDecoder(input)
		for {
			var r request
			if decoder.Decode(&r) != nil {
				cancel()
				time.AfterFunc(exitTimeout, func() { os.Exit(1) })
				return
			}
			requests <- r
		}
	}()
	encoder := json.NewEncoder(output)
	for {
		select {
		case <-ctx.Done():
			return nil
		case r, more := <-requests:
			if !more {
				return nil
			}
			answer, err := handle(r)
			if err != nil {
				answer.Error = err.Error()
			}
			if err := encoder.Encode(answer); err != nil {
				return nil // the coordinator has exited
			}
		}
	}
}

var errUnknownRequest = errors.New("the process does not support this request")

// serverProcess is a process that emulates discovery.
type serverProcess struct{ server *server }

func (p *serverProcess) handle(r request) (answer response, err error) {
	switch {
	case r.Serve != nil:
		p.server, err = newServer(r.Serve.Destinations, r.Serve.Seed)
		if err == nil {
			answer.Addresses = p.server.addresses
		}
	case p.server == nil:
		err = errors.New("discovery has not been started")
	case r.Publish != nil:
		answer.At = time.Now().UnixNano()
		answer.Revision, err = p.server.publish()
	case r.Reach != nil:
		err = p.server.setReach(*r.Reach)
		answer.At = time.Now().UnixNano()
	case r.Usage != nil:
		u := usage{Received: p.server.traffic.received.Load(), Sent: p.server.traffic.sent.Load()}
		u.CPU, err = processorTime()
		answer.Usage = &u
	default:
		err = errUnknownRequest
	}
	return answer, err
}

func (s *server) setReach(r reachRequest) error {
	if r.Zone < 0 || r.Zone >= zoneCount {
		return fmt.Errorf("zone: %d is not one of the %d zones", r.Zone, zoneCount)
	}
	switch r.Reach {
	case reachDown:
		return s.down()
	case reachUp:
		return s.up()
	case reachCut:
		s.gates[r.Zone].cut()
	case reachRestored:
		s.gates[r.Zone].restore()
	default:
		return fmt.Errorf("reach: unknown value %q", r.Reach)
	}
	return nil
}
