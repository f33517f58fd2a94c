// Package admin serves the operators' address: HTTP/1.1, one call a connection, each answered within a second. It
// carries calls to the forwarder's owner and its answers back; it decides nothing.
//
//	GET  /_ready                   200 once the process can serve, else 503
//	GET  /_vars                    200 with the figures, one statsd line each
//	POST /_targets/detach?name=ID  200 once the endpoint is out, 404 if nobody has it
//	POST /_targets/attach?name=ID  200 once it is back, 404 if nobody has it
//	POST /_lameduck/on             200 once clients are sent away
//	POST /_lameduck/off            200 once they are let in again
//
// Any other path is a 404, another method a 405, a call without a name a 400; an owner that does not answer in time
// gets a 503. Each answer is plain text with a reason.
package admin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Operation is what a call asks for.
type Operation uint8

const (
	Figures Operation = iota
	Detach
	Attach
	LameDuckOn
	LameDuckOff
)

// calls are the paths with their methods.
var calls = map[string]string{"/_ready": "GET", "/_vars": "GET", "/_targets/detach": "POST", "/_targets/attach": "POST",
	"/_lameduck/on": "POST", "/_lameduck/off": "POST"}

var doNames = [...]string{"vars", "detach", "attach", "lameduck on", "lameduck off"}

func (d Operation) String() string { return doNames[d] }

// Request is one call that the event loop answers.
type Request struct {
	Operation Operation
	Name      string // of an endpoint, for Drain and Restore
}

// RecordAnswer is the event loop's answer: Yes is a 200, else Status (4xx or 5xx) with Text as the reason.
type Response struct {
	OK     bool
	Status int
	Text   string
}

// Submitter is the way to the event loop. Ask must not wait: the answer is given to reply, at most once, from any
// goroutine.
type Handler interface {
	Ready() bool
	Handle(c Request, reply func(Response))
}

// Latencies of a call. Callers that send nothing, or half a call, are cut off before an answer would be late; the event
// loop has what is left of the second.
const (
	RequestTimeout = time.Second
	readWithin     = 600 * time.Millisecond
	ownerWithin    = 300 * time.Millisecond
	writeWithin    = 50 * time.Millisecond
	mostHead       = 4 << 10
	// Connections at once. Guards against silent callers eating descriptors meant for clients and endpoints; each
	// lives under a second. Hurts when more operators than this call in the same second.
	MaxRequests = 12
)

// Server is the served address.
type Server struct {
	server *http.Server
	ln     *bounded
	done   chan struct{}
}

// Open listens at addr.
func Open(addr string, desk Handler) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return Serve(l, desk), nil
}

// Serve answers calls that come by l until Stop.
func Serve(l net.Listener, desk Handler) *Server {
	b := &bounded{Listener: l, most: MaxRequests, conns: map[net.Conn]*state{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if desk.Ready() {
			write(w, Response{OK: true, Text: "ready"})
		} else {
			write(w, Response{Status: http.StatusServiceUnavailable, Text: "not ready"})
		}
	})
	ask := func(do Operation, named bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			c := Request{Operation: do}
			if named {
				if c.Name = r.URL.Query().Get("name"); c.Name == "" {
					write(w, Response{Status: http.StatusBadRequest, Text: "name: missing; say which target, ?name=ID"})
					return
				}
			}
			write(w, wait(desk, c))
		}
	}
	mux.HandleFunc("GET /_vars", ask(Figures, false))
	mux.HandleFunc("POST /_targets/detach", ask(Detach, true))
	mux.HandleFunc("POST /_targets/attach", ask(Attach, true))
	mux.HandleFunc("POST /_lameduck/on", ask(LameDuckOn, false))
	mux.HandleFunc("POST /_lameduck/off", ask(LameDuckOff, false))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if method, known := calls[r.URL.Path]; known {
			w.Header().Set("Allow", method)
			write(w, Response{Status: http.StatusMethodNotAllowed, Text: r.URL.Path + " takes " + method + ", not " + r.Method})
			return
		}
		write(w, Response{Status: http.StatusNotFound, Text: "no such call: " + r.URL.Path})
	})
	a := &Server{ln: b, done: make(chan struct{}), server: &http.Server{Handler: mux,
		ReadHeaderTimeout: readWithin, ReadTimeout: readWithin, WriteTimeout: readWithin + ownerWithin + writeWithin,
		MaxHeaderBytes: mostHead, ConnState: b.track, ErrorLog: nil}}
	a.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(a.done)
		a.server.Serve(b)
	}()
	return a
}

// Addr is where it listens.
func (a *Server) Addr() string { return a.ln.Addr().String() }

// Stop closes the address and every connection to it.
func (a *Server) Stop() {
	a.server.Close()
	<-a.done
}

// wait carries a call to the event loop and waits for its answer, not beyond what the second leaves.
func wait(desk Handler, c Request) Response {
	got := make(chan Response, 1)
	desk.Handle(c, func(a Response) {
		select {
		case got <- a:
		default:
		}
	})
	t := time.NewTimer(ownerWithin)
	defer t.Stop()
	select {
	case a := <-got:
		return a
	case <-t.C:
		return Response{Status: http.StatusServiceUnavailable, Text: "the forwarder did not answer in time"}
	}
}

func write(w http.ResponseWriter, a Response) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Connection", "close")
	status := a.Status
	if a.OK {
		status = http.StatusOK
	} else if status < 400 {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	text := a.Text
	if len(text) == 0 || text[len(text)-1] != '\n' {
		text += "\n"
	}
	w.Write([]byte(text))
}

// state is what is known of a connection: whether a call has come whole on it, and since when it is open.
type state struct {
	since  time.Time
	active bool
}

// bounded is a listener that keeps at most so many connections: for a new one over the bound, the oldest on which no
// call has come whole is closed, else the new one.
type bounded struct {
	net.Listener
	most  int
	mu    sync.Mutex
	conns map[net.Conn]*state
}

func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		b.mu.Lock()
		var oldest net.Conn
		if len(b.conns) >= b.most {
			for o, s := range b.conns {
				if !s.active && (oldest == nil || s.since.Before(b.conns[oldest].since)) {
					oldest = o
				}
			}
			if oldest == nil {
				b.mu.Unlock()
				c.Close()
				continue
			}
			delete(b.conns, oldest)
		}
		b.conns[c] = &state{since: time.Now()}
		b.mu.Unlock()
		if oldest != nil {
			oldest.Close()
		}
		return c, nil
	}
}

// track follows the server's view of each connection.
func (b *bounded) track(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateActive:
		if st := b.conns[c]; st != nil {
			st.active = true
		}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	}
}

// Open tells how many connections are open.
func (a *Server) Open() int {
	a.ln.mu.Lock()
	defer a.ln.mu.Unlock()
	return len(a.ln.conns)
}
