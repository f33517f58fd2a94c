package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a target in the list.
type entry struct {
	UID         string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Destination int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	Started     int64   `json:"boot_ms"`
	revision    int
}

// notice is a final answer that a forwarder has told.
type notice struct {
	ID    string `json:"id"`
	State string `json:"state"`
	After int    `json:"after_ms"`
}

// discovery serves the list of targets and takes notices. It is safe for concurrent use.
type discovery struct {
	address string
	record  *record

	mu       sync.Mutex
	revision int
	entries  []entry
	changed  chan struct{}
	notices  []notice
}

// newDiscovery starts discovery with a first list.
func newDiscovery(r *record, entries ...entry) (*discovery, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), record: r, revision: 1, changed: make(chan struct{})}
	for _, e := range entries {
		e.revision = 1
		d.entries = append(d.entries, e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveList)
	mux.HandleFunc("POST /v1/notices", d.serveNotices)
	go func() { _ = http.Serve(listener, mux) }()
	return d, nil
}

// active returns the entry of a target that serves a destination.
func active(t *target, kind string, destination int) entry {
	return entry{UID: t.uid, Endpoint: t.address, Zone: "austin-dc", Kind: kind, Destination: destination, State: "active", Capacity: 1}
}

// list returns an object of the list: all of it, or what has changed after a revision.
func (d *discovery) list(after int) (text []byte, news bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := after <= 0 || after > d.revision
	chosen := []entry{}
	for _, e := range d.entries {
		if all && e.State != "left" || !all && e.revision > after {
			chosen = append(chosen, e)
		}
	}
	text, _ = json.Marshal(map[string]any{"rev": d.revision, "all": all, "targets": chosen})
	return text, all || len(chosen) > 0
}

// known returns the whole list.
func (d *discovery) known() []byte {
	text, _ := d.list(0)
	return text
}

// serveList answers a request for the list, or a watch.
func (d *discovery) serveList(w http.ResponseWriter, r *http.Request) {
	if r.FormValue("stream") == "" {
		_, _ = w.Write(d.known())
		return
	}
	after, _ := strconv.Atoi(r.FormValue("index"))
	d.record.note("discovery: watch from revision %d", after)
	for {
		d.mu.Lock()
		changed, revision := d.changed, d.revision
		d.mu.Unlock()
		text, news := d.list(after)
		if news {
			d.record.note("discovery: tells %s", text)
		} else {
			text = nil
		}
		if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		after = revision
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}

// serveNotices takes notices.
func (d *discovery) serveNotices(w http.ResponseWriter, r *http.Request) {
	for lines := bufio.NewScanner(r.Body); lines.Scan(); {
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.record.note("notice: %s %s after_ms %d", n.ID, n.State, n.After)
		d.mu.Lock()
		d.notices = append(d.notices, n)
		d.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeFor returns the notice for a document, nil if there is none.
func (d *discovery) noticeFor(id string) *notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.notices {
		if d.notices[i].ID == id {
			return &d.notices[i]
		}
	}
	return nil
}
