package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between the empty lines of a watch.
const heartbeat = 2 * time.Second

// entry is one target of the list.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Dest     int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// list is the whole list or a change of it.
type list struct {
	Rev     int     `json:"rev"`
	All     bool    `json:"all"`
	Targets []entry `json:"targets"`
}

// verdict is how discovery treats a request for the list.
type verdict struct {
	status int             // 0: it is served
	after  time.Duration   // the request waits for so long
	back   <-chan struct{} // if not nil, a request that still waits when it is closed is served
	whole  bool            // the watch begins with the whole list, as the versions before are forgotten
}

// notice is a message's end told to the platform.
type notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int    `json:"after_ms"`
}

// discovery stands in for discovery and the receiver of notices. Each forwarder reaches it at the same address.
type discovery struct {
	stage   *stage
	address string
	server  *http.Server

	mu      sync.Mutex
	rev     int
	current map[string]entry // by uid, without those that have left
	changes []list           // the change to each version
	changed chan struct{}    // closed at the next change
	ended   chan struct{}    // closed when the open watches end
	decide  func(forwarder string) verdict
	told    map[string]map[int]time.Time // for each watching host, when each version was written
	notices map[string]notice
	asked   int // requests for the list so far
}

func (s *stage) newDiscovery(address string, entries ...entry) (*discovery, error) {
	d := &discovery{stage: s, address: address, rev: 1, current: map[string]entry{}, changed: make(chan struct{}),
		ended: make(chan struct{}), told: map[string]map[int]time.Time{}, notices: map[string]notice{}}
	for _, e := range entries {
		d.current[e.UID] = e
	}
	return d, d.open()
}

// open starts to accept connections.
func (d *discovery) open() error {
	l, err := net.Listen("tcp4", d.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveList)
	mux.HandleFunc("POST /v1/notices", d.serveNotices)
	server := &http.Server{Handler: mux}
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// whole returns the whole list.
func (d *discovery) whole() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeLocked()
}

func (d *discovery) wholeLocked() list {
	l := list{Rev: d.rev, All: true, Targets: []entry{}}
	for _, e := range d.current {
		l.Targets = append(l.Targets, e)
	}
	return l
}

// change applies a change of the list and tells it to the open watches. It returns when it was made.
func (d *discovery) change(entries ...entry) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, e := range entries {
		if d.current[e.UID] = e; e.State == "left" {
			delete(d.current, e.UID)
		}
		d.stage.record("discovery: version %d: %s at %s, destination %d, %s", d.rev, e.UID, e.Endpoint, e.Dest, e.State)
	}
	d.changes = append(d.changes, list{Rev: d.rev, Targets: entries})
	close(d.changed)
	d.changed = make(chan struct{})
	return time.Now()
}

// endWatches ends the open watches.
func (d *discovery) endWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stage.record("discovery: the open watches end")
	close(d.ended)
	d.ended = make(chan struct{})
}

// treat sets how later requests for the list are treated; nil serves them all.
func (d *discovery) treat(decide func(forwarder string) verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decide = decide
}

// since returns what a watch that asks from a version is told first, and the channel of the next change.
func (d *discovery) since(version int, whole bool) (list, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.rev - len(d.changes) // the version before the oldest change that is known
	if whole || version < first || version > d.rev {
		return d.wholeLocked(), d.changed
	}
	l := list{Rev: d.rev, Targets: []entry{}}
	for _, change := range d.changes[version-first:] {
		l.Targets = append(l.Targets, change.Targets...)
	}
	return l, d.changed
}

func (d *discovery) serveList(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	d.mu.Lock()
	d.asked++
	decide, ended := d.decide, d.ended
	d.mu.Unlock()
	var v verdict
	if decide != nil {
		v = decide(r.RemoteAddr)
	}
	d.stage.record("discovery: asked by %s: %s", r.RemoteAddr, r.URL.RawQuery)
	select {
	case <-time.After(v.after):
	case <-v.back:
		v.status = 0
	case <-r.Context().Done():
		return
	}
	if v.status != 0 {
		d.stage.record("discovery: answers %s with %d", r.RemoteAddr, v.status)
		w.WriteHeader(v.status)
		return
	}
	if r.FormValue("stream") == "" {
		_ = json.NewEncoder(w).Encode(d.whole())
		return
	}
	version, _ := strconv.Atoi(r.FormValue("index"))
	l, changed := d.since(version, v.whole)
	flusher := w.(http.Flusher)
	for {
		text, _ := json.Marshal(l)
		if _, err := w.Write(append(text, '\n')); err != nil {
			return
		}
		flusher.Flush()
		d.noteTold(host, l)
		next := l.Rev
		for waiting := true; waiting; {
			select {
			case <-r.Context().Done():
				return
			case <-ended:
				panic(http.ErrAbortHandler) // ends the connection
			case <-changed:
				waiting = false
			case <-time.After(heartbeat):
				if _, err := io.WriteString(w, "\n"); err != nil {
					return
				}
				flusher.Flush()
			}
		}
		l, changed = d.since(next, false)
	}
}

func (d *discovery) noteTold(host string, l list) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told[host] == nil {
		d.told[host] = map[int]time.Time{}
	}
	d.told[host][l.Rev] = now
	d.stage.record("discovery: told version %d, all %v, %d targets", l.Rev, l.All, len(l.Targets))
}

// toldAt returns when a version was first written to any watch, the zero time if it was not.
func (d *discovery) toldAt(version int) (first time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, versions := range d.told {
		if at, told := versions[version]; told && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// requests returns the number of requests for the list so far.
func (d *discovery) requests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

func (d *discovery) serveNotices(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	for decoder.More() {
		var n notice
		if err := decoder.Decode(&n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		d.notices[n.ID] = n
		d.mu.Unlock()
		d.stage.record("notice: %s", fmt.Sprintf("%s %s, come again after %d ms", n.ID, n.State, n.AfterMs))
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the latest notice of a message; the state is empty if there is none.
func (d *discovery) noticeOf(id string) notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices[id]
}
