package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	noticeCapacity    = 4096            // maximum number of notices that a test has not received yet
	keepAliveInterval = 2 * time.Second // between the empty lines of a watch without changes
)

// Notice is a forwarder's report that an accepted message was not delivered.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	AfterMs int    `json:"after_ms"`
}

// Entry is one endpoint in the endpoint list.
type Entry struct {
	UID         string `json:"uid"`
	Endpoint    string `json:"endpoint"`
	Zone        string `json:"az"`
	Kind        string `json:"model"`
	Destination int    `json:"pod_group"`
	State       string `json:"state"`
	StartedMs   int64  `json:"boot_ms"` // Unix time in milliseconds at which the endpoint's process started
}

// Discovery is a discovery service that serves the endpoint list and receives notices. Its methods are safe for
// concurrent use.
type Discovery struct {
	Addr     string       // listen address
	Notices  chan Notice  // receives each notice before it is answered
	OnNotice func(Notice) // if not nil, called with each notice before Notices receives it; set before the first notice
	// OnNotices, if not nil, decides how a request with notices is answered. The notices of a request that is not answered
	// with a status of 2xx count as not received. Set before the first notice.
	OnNotices func([]Notice) Reply
	// CopyAfter, if not 0, is the time after which everything that was written on a watch is written once more. Set before
	// the first watch.
	CopyAfter time.Duration
	// OnlyHeartbeats makes discovery answer a watch with empty lines alone, as if the list had not changed since the
	// requested revision. Set before the first watch.
	OnlyHeartbeats bool

	mu              sync.Mutex
	revision        int
	entries         []Entry
	changed         chan struct{} // closed at the next change of the list or of its availability
	unresponsive    bool
	listUnavailable bool
	cuts            int // so far; see Cut
	cutKind         CutKind
	cutUntil        time.Time
}

// NewDiscovery listens on addr until the program ends. An empty addr means a free loopback port.
func NewDiscovery(addr string, entries ...Entry) (*Discovery, error) {
	d := &Discovery{
		Notices:  make(chan Notice, noticeCapacity),
		revision: 1,
		entries:  entries,
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.serveEndpoints)
	mux.HandleFunc("POST /v1/notices", d.serveNotices)
	listener, err := listen(addr)
	if err != nil {
		return nil, err
	}
	d.Addr = listener.Addr().String()
	serveOn(cutListener{listener, d}, mux)
	return d, nil
}

// Set adds an entry or replaces the one with the same UID. The entry becomes the last one of the list.
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

// Remove takes the entry with a UID off the list.
func (d *Discovery) Remove(uid string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries = slices.DeleteFunc(d.entries, func(e Entry) bool { return e.UID == uid })
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetUnresponsive with true makes discovery close the connection of each notice without an answer; with false it
// answers notices again.
func (d *Discovery) SetUnresponsive(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = on
}

// SetListUnavailable with true makes discovery close the connection of each request for the list, including open
// watches, without an answer; with false it answers again.
func (d *Discovery) SetListUnavailable(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listUnavailable = on
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) isListUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listUnavailable
}

// Known returns the full list as JSON, in the format of the last known list in a forwarder's configuration.
func (d *Discovery) Known() []byte {
	list, _ := d.snapshot()
	return list
}

// snapshot returns the full list as JSON and a channel that is closed at the next change.
func (d *Discovery) snapshot() ([]byte, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list, _ := json.Marshal(map[string]any{"rev": d.revision, "all": true, "targets": d.entries})
	return list, d.changed
}

// serveEndpoints answers with the full list. For a watch it writes the full list again at each change.
func (d *Discovery) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	d.stayCutOff()
	cuts := d.cutsSoFar()
	list, changed := d.snapshot()
	if r.FormValue("stream") == "" {
		_, _ = w.Write(list)
		return
	}
	if d.OnlyHeartbeats {
		list = nil
	}
	for {
		if d.cutsSoFar() > cuts {
			<-r.Context().Done()
			return
		}
		if d.isListUnavailable() {
			panic(http.ErrAbortHandler) // ends the connection without an answer
		}
		sendAfterAnswer(r, LateBytes{After: d.CopyAfter})
		_, _ = w.Write(append(list, '\n'))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
			list, changed = d.snapshot()
		case <-time.After(keepAliveInterval):
			list = nil
		}
	}
}

// serveNotices receives notices, one per line.
func (d *Discovery) serveNotices(w http.ResponseWriter, r *http.Request) {
	d.stayCutOff()
	d.mu.Lock()
	unresponsive := d.unresponsive
	d.mu.Unlock()
	if unresponsive {
		panic(http.ErrAbortHandler) // ends the connection without an answer
	}
	notices, err := readNotices(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply := Reply{}
	if d.OnNotices != nil {
		reply = d.OnNotices(notices)
	}
	if reply.Status == 0 {
		reply.Status = http.StatusNoContent
	}
	if reply.Status < http.StatusMultipleChoices && !reply.Break {
		d.receive(notices)
	}
	sendAfterAnswer(r, reply.Late)
	reply.write(w, Call{})
}

// receive passes the notices of a request to the test.
func (d *Discovery) receive(notices []Notice) {
	for _, n := range notices {
		if d.OnNotice != nil {
			d.OnNotice(n)
		}
		d.Notices <- n
	}
}

// readNotices reads the body of a request, which has one notice in each line.
func readNotices(body io.Reader) (notices []Notice, err error) {
	for decoder := json.NewDecoder(body); decoder.More(); {
		var n Notice
		if err := decoder.Decode(&n); err != nil {
			return nil, err
		}
		notices = append(notices, n)
	}
	return notices, nil
}
