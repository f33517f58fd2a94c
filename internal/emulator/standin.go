// Package emulator plays those whom a forwarder speaks with, after the protocol's pages: discovery, endpoints and a
// client. It serves the integration tests and the example, not the program.
package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Notice is the end of a message that was not delivered.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int    `json:"after_ms"`
}

// Entry is one line of the list.
type Entry struct {
	UID         string `json:"uid"`
	Endpoint    string `json:"endpoint"`
	Zone        string `json:"az"`
	Kind        string `json:"model"`
	Destination int    `json:"pod_group"`
	State       string `json:"state"`
}

// Discovery holds the list and takes notices.
type Discovery struct {
	Addr     string
	Notices  chan Notice
	OnNotice func(Notice) // if set, called with each notice before it is answered
	mu       sync.Mutex
	rev      int
	list     []Entry
	changed  chan struct{} // closed at the next change
	deaf     bool          // notices are not answered
}

// NewDiscovery serves at a free port of loopback, or at addr.
func NewDiscovery(addr string, list ...Entry) (*Discovery, error) {
	d := &Discovery{Notices: make(chan Notice, 4096), rev: 1, list: list, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.endpoints)
	mux.HandleFunc("POST /v1/notices", d.notices)
	var err error
	d.Addr, err = serve(addr, mux)
	return d, err
}

func serve(addr string, h http.Handler) (string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	go http.Serve(ln, h)
	return ln.Addr().String(), nil
}

// Set changes an entry of the list, or adds it.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.list {
		if d.list[i].UID == e.UID {
			d.list = append(d.list[:i], d.list[i+1:]...)
			break
		}
	}
	d.list = append(d.list, e)
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetUnresponsive makes discovery leave notices without an answer, or answer them again.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deaf = on
}

// LastEndpoints is the list as a forwarder's order has it.
func (d *Discovery) Known() []byte {
	b, _ := d.whole()
	return b
}

func (d *Discovery) whole() ([]byte, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"rev": d.rev, "all": true, "targets": d.list})
	return b, d.changed
}

// endpoints answers with the list; for a watch it writes the whole list anew at each change.
func (d *Discovery) endpoints(w http.ResponseWriter, r *http.Request) {
	b, changed := d.whole()
	if r.FormValue("stream") == "" {
		w.Write(b)
		return
	}
	for {
		w.Write(append(b, '\n'))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			b, changed = d.whole()
		case <-time.After(2 * time.Second):
			b = nil
		}
	}
}

func (d *Discovery) notices(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	deaf := d.deaf
	d.mu.Unlock()
	if deaf {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	in := json.NewDecoder(r.Body)
	for in.More() {
		var n Notice
		if in.Decode(&n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if d.OnNotice != nil {
			d.OnNotice(n)
		}
		d.Notices <- n
	}
	w.WriteHeader(http.StatusNoContent)
}

// Request is what an endpoint got.
type Call struct {
	Endpoint       string
	ID             string // of the first message
	IDs            []string
	IdempotencyKey string
	Body           string
	Path           string
}

// Reply is what an endpoint does with a call.
type Reply struct {
	Status int
	Fields map[string]string
	Body   string
	Break  bool          // the connection ends without an answer
	Hold   chan struct{} // the answer comes when this is closed
}

// Address serves calls; Calls has each as it comes.
type Endpoint struct {
	Addr  string
	Calls chan Call
	mu    sync.Mutex
	how   func(Call) Reply
}

// NewEndpoint serves at a free port of loopback, or at addr; how tells what it does, nil for 200.
func NewEndpoint(addr string, how func(Call) Reply) (*Endpoint, error) {
	t := &Endpoint{Calls: make(chan Call, 4096), how: how}
	var err error
	t.Addr, err = serve(addr, t)
	return t, err
}

// Do changes what the endpoint does with calls.
func (t *Endpoint) Do(how func(Call) Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.how = how
}

func (t *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := Call{Endpoint: t.Addr, ID: r.Header.Get("X-Txn"), IdempotencyKey: r.Header.Get("Idempotency-Key"), Body: string(body), Path: r.URL.Path}
	c.IDs = []string{c.ID}
	if r.URL.Path == "/hook/batch" {
		var docs []struct{ ID string }
		if json.Unmarshal(body, &docs) != nil || len(docs) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.IDs = nil
		for _, d := range docs {
			c.IDs = append(c.IDs, d.ID)
		}
		c.ID = c.IDs[0]
	}
	t.mu.Lock()
	how := t.how
	t.mu.Unlock()
	reply := Reply{}
	if how != nil {
		reply = how(c)
	}
	t.Calls <- c
	if reply.Hold != nil {
		select {
		case <-reply.Hold:
		case <-r.Context().Done():
			return
		}
	}
	if reply.Break {
		panic(http.ErrAbortHandler)
	}
	for name, value := range reply.Fields {
		w.Header().Set(name, value)
	}
	if reply.Status > 0 {
		w.WriteHeader(reply.Status)
	}
	if reply.Body == "" && len(c.IDs) > 1 && reply.Status <= 200 {
		var ends []string
		for _, id := range c.IDs {
			ends = append(ends, fmt.Sprintf(`{"id":%q,"state":"ok"}`, id))
		}
		reply.Body = "[" + strings.Join(ends, ",") + "]"
	}
	io.WriteString(w, reply.Body)
}

// Client is a connection to a forwarder.
type Client struct {
	net.Conn
	in *bufio.Reader
}

// NewClient connects.
func NewClient(addr string) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Command is an array of bulk strings as it goes over the wire.
func Command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

// Send sends bytes as they are and returns the next line of the answer.
func (c *Client) Send(raw string) (string, error) {
	if _, err := io.WriteString(c, raw); err != nil {
		return "", err
	}
	return c.ReadReply()
}

// ReadReply returns the next line of what the forwarder says.
func (c *Client) ReadReply() (string, error) {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Put hands a message in.
func (c *Client) Put(key, id, names, body string) (string, error) {
	return c.Send(Command("MSG.PUT", key, id, names, body))
}
