package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	noticesBuffered = 4096            // notices that a test need not have taken yet
	watchInterval   = 2 * time.Second // between two empty lines of a watch on which nothing changes
)

// Notice is a forwarder's report that a message was accepted and not delivered.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int    `json:"after_ms"`
}

// Entry is one endpoint in discovery's list.
type Entry struct {
	UID         string `json:"uid"`
	Endpoint    string `json:"endpoint"`
	Zone        string `json:"az"`
	Kind        string `json:"model"`
	Destination int    `json:"pod_group"`
	State       string `json:"state"`
}

// Discovery serves the list of endpoints and takes notices. Its methods are safe for concurrent use.
type Discovery struct {
	Addr     string       // where it listens
	Notices  chan Notice  // each notice, before it is answered
	OnNotice func(Notice) // if not nil, called with each notice before it goes into Notices; set before the first one

	mu           sync.Mutex
	revision     int
	entries      []Entry
	changed      chan struct{} // closed at the next change of the list
	unresponsive bool
	listDown     bool
}

// NewDiscovery listens at addr, or at a free port of loopback if addr is empty, until the program ends.
func NewDiscovery(addr string, entries ...Entry) (*Discovery, error) {
	d := &Discovery{
		Notices:  make(chan Notice, noticesBuffered),
		revision: 1,
		entries:  entries,
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveEndpoints)
	mux.HandleFunc("POST /v1/notices", d.serveNotices)
	var err error
	d.Addr, err = serve(addr, mux)
	return d, err
}

// Set changes the entry with the same UID, or adds it. It becomes the last one of the list.
func (d *Discovery) Set(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.entries {
		if d.entries[i].UID == e.UID {
			d.entries = append(d.entries[:i], d.entries[i+1:]...)
			break
		}
	}
	d.entries = append(d.entries, e)
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetUnresponsive makes discovery end a notice's connection without an answer, or answer notices again.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

// SetListUnavailable makes discovery end each request for the list without an answer, open watches too, or answer
// again.
func (d *Discovery) SetListUnavailable(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listDown = on
	close(d.changed)
	d.changed = make(chan struct{})
}

// isListDown reports whether the list is unavailable.
func (d *Discovery) isListDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listDown
}

// Known returns the whole list as JSON, in the form in which a forwarder's configuration holds the last known one.
func (d *Discovery) Known() []byte {
	list, _ := d.snapshot()
	return list
}

// snapshot returns the whole list as JSON and a channel that is closed when it changes.
func (d *Discovery) snapshot() ([]byte, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, _ := json.Marshal(map[string]any{"rev": d.revision, "all": true, "targets": d.entries})
	return list, d.changed
}

// serveEndpoints answers with the list. On a watch it writes the whole list again at each change.
func (d *Discovery) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	list, changed := d.snapshot()
	if r.FormValue("stream") == "" {
		_, _ = w.Write(list)
		return
	}
	for {
		if d.isListDown() {
			panic(http.ErrAbortHandler) // ends the connection without an answer
		}
		_, _ = w.Write(append(list, '\n'))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			list, changed = d.snapshot()
		case <-time.After(watchInterval):
			list = nil
		}
	}
}

// serveNotices takes one notice a line.
func (d *Discovery) serveNotices(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	unresponsive := d.unresponsive
	d.mu.Unlock()
	if unresponsive {
		panic(http.ErrAbortHandler) // ends the connection without an answer
	}
	decoder := json.NewDecoder(r.Body)
	for decoder.More() {
		var n Notice
		if decoder.Decode(&n) != nil {
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
