package emulator

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
)

// ReadyLine is a part of the log line that a forwarder writes when it is ready to serve clients.
const ReadyLine = `"message":"ready"`

// CleanupTest is the part of *testing.T that StartProcess and NewSlowFile need.
type CleanupTest interface {
	Test
	Cleanup(func())
}

// BuildPrograms builds programs into a new temporary folder and returns the folder, which the caller has to remove. The
// arguments are passed to "go build" in addition to -o.
func BuildPrograms(arguments ...string) (string, error) {
	folder, err := os.MkdirTemp("", "spanflow")
	if err != nil {
		return "", err
	}
	command := exec.Command("go", append([]string{"build", "-o", folder + "/"}, arguments...)...)
	if output, err := command.CombinedOutput(); err != nil {
		_ = os.RemoveAll(folder)
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return folder, nil
}

// Process is a program that a test has started. Its methods are safe for concurrent use.
type Process struct {
	Log *Log // the program's standard error

	process *os.Process
	ended   chan struct{} // closed when the program has ended
	err     error         // result of Wait; valid once ended is closed
}

// StartProcess starts a command and kills the process at the end of the test. The caller must not use the command any
// more. StartProcess fails the test if the command cannot be started.
func StartProcess(t CleanupTest, command *exec.Cmd) *Process {
	t.Helper()
	p := &Process{Log: NewLog(), ended: make(chan struct{})}
	command.Stderr = p.Log
	if err := command.Start(); err != nil {
		t.Fatalf("%v", err)
	}
	p.process = command.Process
	go func() {
		p.err = command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() { _ = p.process.Kill() })
	return p
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.process.Pid }

// Signal sends a signal to the process and does not wait for its effect.
func (p *Process) Signal(signal syscall.Signal) error { return p.process.Signal(signal) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.process.Kill()
	<-p.ended
}

// Ended returns a channel that is closed when the program has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits until the program has ended. The error is nil if it exited with status 0.
func (p *Process) Wait() error {
	<-p.ended
	return p.err
}

// AwaitReady waits until a forwarder is ready and returns the address of its first frontend.
func (p *Process) AwaitReady(t Test) string {
	t.Helper()
	_, text, _ := strings.Cut(p.Log.Await(t, ReadyLine), `"listen":"`)
	address, _, _ := strings.Cut(text, `"`)
	return address
}

// Reload sends SIGHUP and waits until the log contains text once more than before.
func (p *Process) Reload(t Test, text string) {
	t.Helper()
	before := p.Log.Count(text)
	if err := p.Signal(syscall.SIGHUP); err != nil {
		t.Fatalf("%v", err)
	}
	p.Log.AwaitCount(t, text, before+1)
}

// addressCount is the number of addresses that FreeAddress has returned.
var addressCount atomic.Int32

// FreeAddress returns a loopback address with a free port. Its IP address is derived from the pid and the number of
// calls, so that neither another test's listener nor an outgoing connection takes the port in the meantime.
func FreeAddress(t Test) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&63, pid&255, 1+addressCount.Add(1)%250)
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatalf("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
