package admin

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// Timeouts of a request. Those for reading, for the event loop and for writing are together less than RequestTimeout,
// so that callers that send nothing, or part of a request, are cut off in time.
const (
	// RequestTimeout bounds a request, from its connection to the end of its response.
	RequestTimeout   = time.Second
	readTimeout      = 600 * time.Millisecond
	eventLoopTimeout = 300 * time.Millisecond
	writeTimeout     = 50 * time.Millisecond
)

const maxHeaderBytes = 4 << 10

// MaxRequests limits the connections open at once, so that silent callers do not take the descriptors that clients and
// endpoints need. A connection lives for less than a second; more callers than this within one second may be cut off.
const MaxRequests = 12

// routes are the paths that the event loop answers.
var routes = []struct {
	method, path string
	operation    Operation
	named        bool // of one endpoint
}{
	{http.MethodGet, "/_vars", Vars, false},
	{http.MethodPost, "/_targets/detach", Detach, true},
	{http.MethodPost, "/_targets/attach", Attach, true},
	{http.MethodPost, "/_lameduck/on", LameDuckOn, false},
	{http.MethodPost, "/_lameduck/off", LameDuckOff, false},
}

const readyPath = "/_ready"

// Server serves the operators' address.
type Server struct {
	server   *http.Server
	listener *boundedListener
	done     chan struct{}
}

// Open serves at addr until Stop.
func Open(addr string, handler Handler) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return Serve(l, handler), nil
}

// Serve answers requests that arrive on l until Stop. The server owns l and closes it.
func Serve(l net.Listener, handler Handler) *Server {
	bounded := newBoundedListener(l, MaxRequests)
	s := &Server{
		listener: bounded,
		done:     make(chan struct{}),
		server: &http.Server{
			Handler:           newMux(handler),
			ReadHeaderTimeout: readTimeout,
			ReadTimeout:       readTimeout,
			WriteTimeout:      readTimeout + eventLoopTimeout + writeTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnState:         bounded.track,
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(s.done)
		s.server.Serve(bounded)
	}()
	return s
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop closes the address and every connection to it.
func (s *Server) Stop() {
	s.server.Close()
	<-s.done
}

func newMux(handler Handler) *http.ServeMux {
	mux := http.NewServeMux()
	methods := map[string]string{readyPath: http.MethodGet}
	mux.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if handler.Ready() {
			write(w, Response{OK: true, Text: "ready"})
		} else {
			write(w, Response{Status: http.StatusServiceUnavailable, Text: "not ready"})
		}
	})
	for _, route := range routes {
		methods[route.path] = route.method
		mux.HandleFunc(route.method+" "+route.path, func(w http.ResponseWriter, r *http.Request) {
			request := Request{Operation: route.operation}
			if route.named {
				if request.Name = r.URL.Query().Get("name"); request.Name == "" {
					write(w, Response{Status: http.StatusBadRequest, Text: "name: missing; say which target, ?name=ID"})
					return
				}
			}
			write(w, handle(handler, request))
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		method, known := methods[r.URL.Path]
		if !known {
			write(w, Response{Status: http.StatusNotFound, Text: "no such call: " + r.URL.Path})
			return
		}
		w.Header().Set("Allow", method)
		write(w, Response{Status: http.StatusMethodNotAllowed, Text: r.URL.Path + " takes " + method + ", not " + r.Method})
	})
	return mux
}

// handle passes a request to the event loop and waits for its response, for eventLoopTimeout at most.
func handle(handler Handler, request Request) Response {
	responses := make(chan Response, 1)
	handler.Handle(request, func(r Response) {
		select {
		case responses <- r:
		default:
		}
	})
	timer := time.NewTimer(eventLoopTimeout)
	defer timer.Stop()
	select {
	case r := <-responses:
		return r
	case <-timer.C:
		return Response{Status: http.StatusServiceUnavailable, Text: "the forwarder did not answer in time"}
	}
}

func write(w http.ResponseWriter, r Response) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Connection", "close")
	status := r.Status
	if r.OK {
		status = http.StatusOK
	} else if status < http.StatusBadRequest {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	text := r.Text
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	w.Write([]byte(text))
}
