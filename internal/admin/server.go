package admin

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// Timeouts of a request. The sum of those for reading, the event loop and writing is less than RequestTimeout, so that
// callers that send nothing or an incomplete request are disconnected in time.
const (
	// RequestTimeout limits the time from the start of the connection to the end of the response.
	RequestTimeout   = time.Second
	readTimeout      = 600 * time.Millisecond
	eventLoopTimeout = 300 * time.Millisecond
	writeTimeout     = 50 * time.Millisecond
)

const maxHeaderBytes = 4 << 10

// MaxRequests limits the connections open at once, so that silent callers do not use up the file descriptors needed for
// clients and endpoints. A connection lasts less than a second; more callers than this within a second may be
// disconnected.
const MaxRequests = 12

// routes are the paths whose requests are passed to the event loop.
var routes = []struct {
	method, path string
	operation    Operation
	needsName    bool // requires the ID of an endpoint in the query parameter "name"
}{
	{http.MethodGet, "/_vars", Vars, false},
	{http.MethodPost, "/_targets/detach", Detach, true},
	{http.MethodPost, "/_targets/attach", Attach, true},
	{http.MethodPost, "/_lameduck/on", ClientDrainOn, false},
	{http.MethodPost, "/_lameduck/off", ClientDrainOff, false},
}

const readyPath = "/_ready"

// Server is the HTTP server of the operators' address.
type Server struct {
	server   *http.Server
	listener *boundedListener
	done     chan struct{}
}

// Open listens at addr, an IPv4 TCP address, and serves until Stop.
func Open(addr string, handler Handler) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return Serve(l, handler), nil
}

// Serve answers requests on l until Stop. The server owns l and closes it.
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

// Addr returns the address on which the server listens, with the actual port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections, and waits until the server has stopped accepting.
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
			if route.needsName {
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

// handle passes a request to the event loop and waits at most eventLoopTimeout for the response.
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
