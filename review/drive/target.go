package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	usualBacklog = 128
	fillTimeout  = 100 * time.Millisecond
	maxFill      = 8
)

// call is one message that a target has received.
type call struct {
	target string
	id     string
	at     time.Time // when its last byte had come
}

// target stands in for a target: it answers each call with 200 after its usual time, and records it.
type target struct {
	stage   *stage
	uid     string
	address string
	dest    int
	takes   time.Duration

	fd       int
	listener net.Listener
	server   *http.Server
	gate     sync.Mutex // held while the target accepts no connections
	holding  bool       // the gate is locked
	filled   []net.Conn

	mu    sync.Mutex
	calls []call
}

// newTarget starts a target at an address.
func (s *stage) newTarget(uid, address string, dest int, takes time.Duration) (*target, error) {
	t := &target{stage: s, uid: uid, address: address, dest: dest, takes: takes}
	if err := t.listen(); err != nil {
		return nil, fmt.Errorf("%w: target %s: %w", errSetup, uid, err)
	}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(gatedListener{t.listener, t}) }()
	s.record("target %s of destination %d: up at %s", uid, dest, address)
	return t, nil
}

// listen opens the socket by hand, as the length of its queue of new connections is changed later.
func (t *target) listen() error {
	host, port, err := net.SplitHostPort(t.address)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	address := &syscall.SockaddrInet4{Port: number, Addr: [4]byte(net.ParseIP(host).To4())}
	if t.fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return err
	}
	file := os.NewFile(uintptr(t.fd), t.uid)
	defer file.Close()
	if err := syscall.SetsockoptInt(t.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(t.fd, address); err != nil {
		return err
	}
	if err := syscall.Listen(t.fd, usualBacklog); err != nil {
		return err
	}
	t.listener, err = net.FileListener(file)
	return err
}

// gatedListener accepts connections for a target while its gate is open.
type gatedListener struct {
	net.Listener
	target *target
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.target.gate.Lock() // waits while the target accepts no connections
	defer l.target.gate.Unlock()
	return conn, err
}

// holdConnections makes new connections to the target come up late: its queue of new connections is full, and it
// accepts none. It returns an error if the queue does not fill.
func (t *target) holdConnections() error {
	t.gate.Lock() // until the target ends
	t.holding = true
	raw, err := t.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	if listenErr != nil {
		return listenErr
	}
	for range maxFill {
		conn, err := net.DialTimeout("tcp", t.address, fillTimeout)
		if err != nil {
			t.stage.record("target %s: takes no new connections", t.uid)
			return nil
		}
		t.filled = append(t.filled, conn)
	}
	return fmt.Errorf("%w: the queue of %s does not fill", errSetup, t.uid)
}

// end closes the target's socket and all its connections.
func (t *target) end() {
	t.listener.Close()
	if t.holding {
		t.gate.Unlock()
	}
	t.server.Close()
	for _, conn := range t.filled {
		conn.Close()
	}
	t.stage.record("target %s: gone from %s", t.uid, t.address)
}

// ServeHTTP takes a call.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	now := time.Now()
	ids := []string{r.Header.Get("X-Txn")}
	if r.URL.Path == "/hook/batch" {
		var messages []struct{ ID string }
		if json.Unmarshal(body, &messages) != nil || len(messages) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ids = nil
		for _, m := range messages {
			ids = append(ids, m.ID)
		}
	}
	t.mu.Lock()
	for _, id := range ids {
		t.calls = append(t.calls, call{t.uid, id, now})
	}
	t.mu.Unlock()
	t.stage.record("target %s of destination %d: runs %s", t.uid, t.dest, strings.Join(ids, " "))
	time.Sleep(t.takes)
	if r.URL.Path != "/hook/batch" {
		w.WriteHeader(http.StatusOK)
		return
	}
	states := []map[string]string{}
	for _, id := range ids {
		states = append(states, map[string]string{"id": id, "state": "ok"})
	}
	_ = json.NewEncoder(w).Encode(states)
}

// received returns the calls that the target has received.
func (t *target) received() []call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]call(nil), t.calls...)
}

// has reports whether the target has received a message.
func (t *target) has(id string) bool {
	for _, c := range t.received() {
		if c.id == id {
			return true
		}
	}
	return false
}
