package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// stage holds what all parts of a case share: the record, the temporary folder, and the processes to end.
type stage struct {
	trouble bool
	folder  string
	run     string // the deploy file's command for one forwarder
	began   time.Time

	mu         sync.Mutex
	out        io.Writer
	forwarders []*forwarder
	closed     bool
	hosts      int
}

func newStage(out io.Writer, trouble bool) (*stage, error) {
	run, err := runCommand("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: trouble, folder: folder, run: run, began: time.Now(), out: out}
	s.record("began %s, trouble %v", s.began.UTC().Format(time.RFC3339), trouble)
	return s, nil
}

// runCommand returns the run command of a deploy file.
func runCommand(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, `run = "`); found {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", fmt.Errorf("%s: no run command", path)
}

// record writes a line with the time in milliseconds since the start.
func (s *stage) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%9.1f  %s\n", s.since(time.Now()), fmt.Sprintf(format, args...))
}

// since converts a time to milliseconds since the start.
func (s *stage) since(t time.Time) float64 { return float64(t.Sub(s.began).Microseconds()) / 1000 }

// close ends all processes and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	forwarders, closed := s.forwarders, s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return
	}
	for _, f := range forwarders {
		f.kill()
	}
	os.RemoveAll(s.folder)
}

// freeAddress returns a loopback address with a free port. Each call has a host of its own, so that no outgoing
// connection takes the port.
func (s *stage) freeAddress() (string, error) {
	s.mu.Lock()
	s.hosts++
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&127, pid&255, s.hosts)
	s.mu.Unlock()
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addresses returns n free addresses.
func (s *stage) addresses(n int) ([]string, error) {
	var all []string
	for range n {
		address, err := s.freeAddress()
		if err != nil {
			return nil, err
		}
		all = append(all, address)
	}
	return all, nil
}

func (s *stage) path(name string) string { return filepath.Join(s.folder, name) }

// waitFor waits until done reports true, at most for the given time.
func waitFor(limit time.Duration, done func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}
