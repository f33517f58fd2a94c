package hollow

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const blankInterval = 2 * time.Second // interval of the empty lines that a watch gets while nothing changes

// server emulates discovery according to the published protocol. It serves the full list, and watches that get the
// changes after their own revision. Each zone has a separate address. Requests are served immediately; the
// response times of the real service are not emulated.
type server struct {
	traffic traffic
	gates   []*gate

	mu         sync.Mutex
	registry   *registry
	changed    chan struct{} // closed at the next change
	addresses  []string
	httpServer *http.Server // nil while discovery is down
}

// newServer starts a server that listens on a free port of 127.0.0.1 for each zone.
func newServer(destinations int, seed uint64) (*server, error) {
	s := &server{registry: newRegistry(destinations, seed), changed: make(chan struct{})}
	for range zoneCount {
		s.gates = append(s.gates, newGate(&s.traffic))
		s.addresses = append(s.addresses, "127.0.0.1:0")
	}
	return s, s.listen()
}

// listen serves on the addresses. The system chooses the ports in the first call, and later calls reuse them.
func (s *server) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", s.endpoints)
	s.httpServer = &http.Server{Handler: mux}
	for zone, address := range s.addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return errors.Join(fmt.Errorf("discovery for %s: %w", zoneName(zone), err), s.httpServer.Close())
		}
		s.addresses[zone] = listener.Addr().String()
		go s.httpServer.Serve(&gatedListener{Listener: listener, gate: s.gates[zone]})
	}
	return nil
}

// down closes all connections and refuses new ones.
func (s *server) down() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer == nil {
		return errors.New("discovery is already down")
	}
	httpServer := s.httpServer
	s.httpServer = nil
	return httpServer.Close()
}

// up serves again, with the same list and history as before.
func (s *server) up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.httpServer != nil {
		return errors.New("discovery is already up")
	}
	return s.listen()
}

// publish changes the list and wakes all watches, which then send the change.
func (s *server) publish() (revision int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision, err = s.registry.publish(); err != nil {
		return 0, err
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return revision, nil
}

// since returns the next line for a watch that has the given revision, the revision that the watch has after that line,
// and a channel that is closed at the next change.
func (s *server) since(revision int64) (encoded []byte, newRevision int64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, err = s.registry.since(revision)
	return encoded, s.registry.revision, s.changed, err
}

func (s *server) endpoints(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("stream") == "" {
		s.mu.Lock()
		encoded, err := s.registry.encodeFullList()
		s.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Write(encoded)
		return
	}
	revision, err := strconv.ParseInt(r.FormValue("index"), 10, 64)
	if err != nil {
		http.Error(w, "index: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.watch(w, r, revision)
}

// watch sends the changes after a revision until the connection ends.
func (s *server) watch(w http.ResponseWriter, r *http.Request, revision int64) {
	for {
		encoded, newRevision, changed, err := s.since(revision)
		if err != nil || !sendLine(w, r, encoded, changed) {
			return
		}
		revision = newRevision
	}
}

// sendLine writes a line and then empty lines until the list changes. It returns false if the connection has ended.
func sendLine(w http.ResponseWriter, r *http.Request, line []byte, changed <-chan struct{}) bool {
	blank := time.NewTicker(blankInterval)
	defer blank.Stop()
	for {
		if _, err := w.Write(line); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return false
		case <-changed:
			return true
		case <-blank.C:
			line = []byte("\n")
		}
	}
}
