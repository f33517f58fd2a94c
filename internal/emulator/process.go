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

// ReadyLine is a part of the log line that a forwarder writes once it serves.
const ReadyLine = `"message":"ready"`

// CleanupTest is the part of *testing.T that a started program needs.
type CleanupTest interface {
	Test
	Cleanup(func())
}

// BuildPrograms builds programs into a new temporary folder and returns the folder, which the caller removes. The
// arguments are those of "go build" beside -o.
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
	Log *Log // what it wrote to standard error

	process *os.Process
	ended   chan struct{} // closed when the program has ended
	err     error         // of its end; valid once ended is closed
}

// StartProcess starts a command, which may not be used any more by the caller, and kills it at the end of the test. It
// ends the test if the command cannot be started.
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

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.process.Signal(signal) }

// Kill sends SIGKILL and waits for the end.
func (p *Process) Kill() {
	_ = p.process.Kill()
	<-p.ended
}

// Ended returns a channel that is closed when the program has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for the end. The error is nil if the program ended by itself with status 0.
func (p *Process) Wait() error {
	<-p.ended
	return p.err
}

// AwaitReady waits until a forwarder serves and returns the address of its first frontend.
func (p *Process) AwaitReady(t Test) string {
	t.Helper()
	_, text, _ := strings.Cut(p.Log.Await(t, ReadyLine), `"listen":"`)
	address, _, _ := strings.Cut(text, `"`)
	return address
}

// Reload sends SIGHUP and waits until text is in one more log line than before.
func (p *Process) Reload(t Test, text string) {
	t.Helper()
	before := p.Log.Count(text)
	if err := p.Signal(syscall.SIGHUP); err != nil {
		t.Fatalf("%v", err)
	}
	p.Log.AwaitCount(t, text, before+1)
}

// addresses counts the addresses that FreeAddress has given.
var addresses atomic.Int32

// FreeAddress returns an address of loopback at which nobody listens. It has a host of its own, so that neither another
// test's listener nor an outgoing connection takes its port meanwhile.
func FreeAddress(t Test) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&63, pid&255, 1+addresses.Add(1)%250)
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatalf("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
