package sim

import (
	"net"
	"net/http"
	"sync"
	"time"

	"spanflow/lab/receiver"
)

// endpointServer serves one endpoint on a loopback address. It closes its listener while the model refuses connections.
type endpointServer struct {
	run   *realRun
	model *receiver.Endpoint
	addr  string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	conns    map[net.Conn]struct{}
	closed   bool
}

const listenCheckInterval = 10 * time.Millisecond

// openEndpoint starts the server of an endpoint on a new address.
func (run *realRun) openEndpoint(e *receiver.Endpoint) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &endpointServer{run: run, model: e, addr: listener.Addr().String(), conns: map[net.Conn]struct{}{}}
	run.endpoints[e] = s
	s.serve(listener)
	go s.followModel()
	return nil
}

// followModel polls the model and refuses connections while the model does. It returns when the server is closed.
func (s *endpointServer) followModel() {
	tick := time.NewTicker(listenCheckInterval)
	defer tick.Stop()
	for range tick.C {
		s.run.mu.Lock()
		refused, _ := s.model.Connectivity()
		s.run.mu.Unlock()
		if !s.setRefusing(refused) {
			return
		}
	}
}

// serve starts serving the connections of a listener and keeps track of them for setRefusing.
func (s *endpointServer) serve(listener net.Listener) {
	s.listener = listener
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go server.Serve(listener)
}

// setRefusing closes the listener and all connections, or opens the listener again. It returns false if the server is
// closed.
func (s *endpointServer) setRefusing(refusing bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return false
	case refusing && s.listener != nil:
		s.listener.Close()
		s.listener = nil
		for c := range s.conns {
			c.Close()
		}
	case !refusing && s.listener == nil:
		if listener, err := net.Listen("tcp", s.addr); err == nil {
			s.serve(listener)
		}
	}
	return true
}

func (s *endpointServer) close() {
	s.setRefusing(true)
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
}
