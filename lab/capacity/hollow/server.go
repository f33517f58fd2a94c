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

const blankEvery = 2 * time.Second // an empty line comes so often on a watch while nothing changes

// server emulates discovery as the published protocol has it: the full list, and watches that
// get what changed after the revision they hold. Each zone reaches it at an address of its own. It serves calls
// as they come; it does not imitate how long the real service takes for each.
type server struct {
	traffic traffic
	gates   []*gate

	mu        sync.Mutex
	registry  *registry
	changed   chan struct{} // closed at the next change
	addresses []string
	running   *http.Server // nil while discovery is away
}

// newServer listens at a free port of 127.0.0.1 for each zone.
func newServer(destinations int, seed uint64) (*server, error) {
	s := &server{registry: newRegistry(destinations, seed), changed: make(chan struct{})}
	for range zoneCount {
		s.gates = append(s.gates, newGate(&s.traffic))
		s.addresses = append(s.addresses, "127.0.0.1:0")
	}
	return s, s.listen()
}

// listen serves at the addresses; a port that was not chosen yet is kept from then on.
func (s *server) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", s.endpoints)
	s.running = &http.Server{Handler: mux}
	for zone, address := range s.addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return errors.Join(fmt.Errorf("discovery for %s: %w", zoneName(zone), err), s.running.Close())
		}
		s.addresses[zone] = listener.Addr().String()
		go s.running.Serve(&gatedListener{Listener: listener, gate: s.gates[zone]})
	}
	return nil
}

// down ends all connections and refuses new ones.
func (s *server) down() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return errors.New("discovery is down already")
	}
	running := s.running
	s.running = nil
	return running.Close()
}

// up serves again, with the list and the history of before.
func (s *server) up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		return errors.New("discovery is up already")
	}
	return s.listen()
}

// publish makes a change and sends it to all watches.
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

// since is what a watch that holds a revision gets, the revision it holds then, and what is closed at the next
// change.
func (s *server) since(revision int64) (encoded []byte, now int64, changed <-chan struct{}, err error) {
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

// watch sends changes until the connection ends.
func (s *server) watch(w http.ResponseWriter, r *http.Request, revision int64) {
	for {
		encoded, now, changed, err := s.since(revision)
		if err != nil || !tell(w, r, encoded, changed) {
			return
		}
		revision = now
	}
}

// tell writes a line, then empty ones until the list has changed. It returns false if the connection ended.
func tell(w http.ResponseWriter, r *http.Request, line []byte, changed <-chan struct{}) bool {
	blank := time.NewTicker(blankEvery)
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
