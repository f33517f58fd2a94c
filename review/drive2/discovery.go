package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
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
	cutUntil time.Time // no new connection comes up until then
	cuts     int       // cuts so far; watches from before a cut stay silent
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
	go func() { _ = http.Serve(&cutListener{Listener: listener, discovery: d}, mux) }()
	return d, nil
}

// set adds an entry or replaces the one of the same uid.
func (d *discovery) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	e.revision = d.revision
	d.entries = slices.DeleteFunc(d.entries, func(other entry) bool { return other.UID == e.UID })
	d.entries = append(d.entries, e)
	d.record.note("discovery: has revision %d, %s of destination %d at %s is %s", d.revision, e.UID, e.Destination, e.Endpoint, e.State)
	close(d.changed)
	d.changed = make(chan struct{})
}

// cut cuts discovery off for a time: open connections stay open and silent for good, and new ones do not come up.
func (d *discovery) cut(length time.Duration) {
	d.mu.Lock()
	d.cutUntil = time.Now().Add(length)
	d.cuts++
	d.mu.Unlock()
	d.record.note("discovery: cut off for %v", length)
	if conn, err := net.Dial("tcp4", d.address); err == nil { // wakes the listener, which is waiting for a connection
		time.AfterFunc(length, func() { _ = conn.Close() })
	}
}

// cutListener accepts nothing during a cut.
type cutListener struct {
	net.Listener
	discovery *discovery
}

// Accept returns the next connection. A connection that comes during a cut is held silent and reset when the cut is over;
// for further ones there is no room, so that the kernel drops their requests.
func (l *cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		d := l.discovery
		d.mu.Lock()
		until := d.cutUntil
		d.mu.Unlock()
		if !time.Now().Before(until) {
			return conn, nil
		}
		l.setBacklog(0)
		filler, err := net.Dial("tcp4", d.address)
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Until(until))
		_ = filler.Close()
		_ = conn.Close()
		l.setBacklog(syscall.SOMAXCONN)
	}
}

// setBacklog sets how many connections the kernel keeps for the listener.
func (l *cutListener) setBacklog(connections int) {
	if raw, err := l.Listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), connections) })
	}
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
	d.mu.Lock()
	cuts := d.cuts
	d.mu.Unlock()
	d.record.note("discovery: watch from revision %d", after)
	for {
		d.mu.Lock()
		changed, revision, silent := d.changed, d.revision, d.cuts > cuts
		d.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
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
