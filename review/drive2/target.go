package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// call is a call that a target has received.
type call struct {
	target string
	ids    []string
	bytes  int       // of the body
	first  time.Time // when the first byte came
	last   time.Time // when the last byte came
}

// answer is how a target answers a call.
type answer struct {
	delay  time.Duration // the time that the call takes
	status int           // 0 means 200
	silent bool          // there is no answer; the connection stays open until the forwarder closes it
	fields string        // further fields of the head, each with its line end
}

// target is a sound target at a loopback address. It is safe for concurrent use.
type target struct {
	uid      string
	address  string
	record   *record
	listener net.Listener
	decide   func(call) answer // nil: each call takes 100 ms and is answered 200

	mu    sync.Mutex
	calls []call
}

// newTarget starts a target. decide may be nil.
func newTarget(r *record, uid string, decide func(call) answer) (*target, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	return serveTarget(r, uid, listener, decide), nil
}

// replace ends a target and starts another one at its address.
func (t *target) replace(uid string) (*target, error) {
	if err := t.listener.Close(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", t.address)
	if err != nil {
		return nil, err
	}
	t.record.note("target %s has ended, %s is at its address", t.uid, uid)
	return serveTarget(t.record, uid, listener, nil), nil
}

// serveTarget serves a target on a listener.
func serveTarget(r *record, uid string, listener net.Listener, decide func(call) answer) *target {
	t := &target{uid: uid, address: listener.Addr().String(), record: r, listener: listener, decide: decide}
	go t.serve()
	return t
}

func (t *target) serve() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

// serveConn reads and answers the calls of one connection.
func (t *target) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		c := call{target: t.uid, first: time.Now()}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.last, c.bytes = time.Now(), len(body)
		c.ids = []string{request.Header.Get("X-Txn")}
		if request.URL.Path == "/hook/batch" {
			c.ids = batchIDs(body)
		}
		if !t.answer(conn, reader, c) {
			return
		}
	}
}

// answer records a call and answers it. It reports whether the connection goes on.
func (t *target) answer(conn net.Conn, reader *bufio.Reader, c call) bool {
	t.mu.Lock()
	t.calls = append(t.calls, c)
	t.mu.Unlock()
	a := answer{delay: 100 * time.Millisecond}
	if t.decide != nil {
		a = t.decide(c)
	}
	t.record.note("target %s: call with %v, first byte at %.3f", t.uid, c.ids, t.record.at(c.first))
	if a.silent {
		_, _ = io.Copy(io.Discard, reader) // ends when the forwarder gives the call up
		t.record.note("target %s: connection of the unanswered call with %v ended", t.uid, c.ids)
		return false
	}
	time.Sleep(a.delay)
	if a.status == 0 {
		a.status = http.StatusOK
	}
	text := ""
	if len(c.ids) > 1 && a.status == http.StatusOK {
		text = batchAnswer(c.ids)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s",
		a.status, http.StatusText(a.status), a.fields, len(text), text)
	t.record.note("target %s: answered %v with %d", t.uid, c.ids, a.status)
	return err == nil
}

// batchIDs returns the ids of the messages of a call with several.
func batchIDs(body []byte) (ids []string) {
	var messages []struct{ ID string }
	if json.Unmarshal(body, &messages) != nil {
		return nil
	}
	for _, message := range messages {
		ids = append(ids, message.ID)
	}
	return ids
}

// batchAnswer says of each message of a call that it was taken.
func batchAnswer(ids []string) string {
	type end struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var ends []end
	for _, id := range ids {
		ends = append(ends, end{id, "ok"})
	}
	text, _ := json.Marshal(ends)
	return string(text)
}

// received returns the calls so far.
func (t *target) received() []call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]call(nil), t.calls...)
}
