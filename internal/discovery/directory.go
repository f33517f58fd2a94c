// Package discovery speaks with discovery: the list, the watch on its changes, and the notices.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

const (
	mostLine    = 4 << 20                // of a watch, in bytes, unless Client.MaxLineBytes says otherwise
	blankEvery  = 2 * time.Second        // an empty line comes so often while nothing changes
	mostNotices = 512                    // in one call
	answerIn    = 2 * time.Second        // a watch that has not begun so long after its connection is over
	promptly    = 500 * time.Millisecond // what is turned away within this did not wait for others' questions
	noticeIn    = 120 * time.Millisecond // notices are answered at once: after so long they are sent on a new connection
	noticeMost  = 4                      // doublings of that while none is answered: the way may be a long one
	againIn     = 50 * time.Millisecond
)

// Submitter is where the directory's news go.
type Listener interface {
	transport.EndpointListener
	transport.NoticeListener
}

// Client holds the connections to discovery.
type Client struct {
	// MaxLineBytes bounds one object of a watch, in bytes; 0: 4 MiB. Set before the first WatchEndpoints.
	MaxLineBytes int

	dialer  *dial.Dialer
	addr    string
	connect time.Duration
	desk    Listener
	mu      sync.Mutex
	watch   *watch
	out     *report
	waiting []transport.FinalAnswer // not in a call
	watched bool                    // the list was asked for: not where only notices go
	stopped bool
	lost    int // calls with notices in a row that were not answered in time

	// The clock, and what starts every timer; tests put others in their place.
	now       func() time.Time
	afterFunc func(time.Duration, func()) *time.Timer
}

// New has no connections yet.
func New(d *dial.Dialer, addr string, connect time.Duration, desk Listener) *Client {
	return &Client{dialer: d, addr: addr, connect: connect, desk: desk, now: time.Now, afterFunc: time.AfterFunc}
}

// Stop ends all connections and starts none.
func (d *Client) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.watch != nil {
		d.watch.close()
	}
	if d.out != nil {
		d.out.timer.Stop()
		d.out.line.Close()
		d.out = nil
	}
}

// Reconfigure leaves discovery's address for another: the list is watched there from a version on, and the notices without
// an answer go there.
func (d *Client) Reconfigure(addr string, rev int64) {
	d.mu.Lock()
	d.addr = addr
	if d.out != nil {
		d.out.drop()
	}
	d.report()
	watched := d.watched
	d.mu.Unlock()
	if watched {
		d.Watch(rev)
	}
}

func (d *Client) mostLine() int {
	if d.MaxLineBytes > 0 {
		return d.MaxLineBytes
	}
	return mostLine
}

// watch is one connection with an open answer.
type watch struct {
	dir    *Client
	line   *dial.Conn
	reader http1.Reader
	code   int
	rest   []byte // an unfinished object
	depth  int    // of brackets open in it
	quoted bool   // within a string
	slash  bool   // behind a backslash in it
	looked bool   // its first line can be the beginning of one
	sought int    // so many bytes of it were searched for the end of that line
	timer  *time.Timer
	turn   int   // counts the times it was waited for, so that a late timer is known as one
	told   bool  // a line has come
	rev    int64 // the latest version that is held
	asked  time.Time
	over   bool
}

// WatchEndpoints asks for the changes since a version, on a new connection.
func (d *Client) Watch(rev int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	if d.watch != nil {
		d.watch.close()
	}
	w := &watch{dir: d, rev: rev, asked: d.now()}
	d.watch, d.watched = w, true
	w.line = d.dialer.Dial(d.addr, d.connect, w)
	path := "/v1/endpoints?stream=1&index=" + strconv.FormatInt(rev, 10)
	w.line.Write(append(http1.AppendRequestLine(nil, "GET", path, d.addr), "\r\n"...))
	w.await(d.connect + answerIn)
}

// await ends the watch if nothing comes within a time. Guards against a link that goes silent.
func (w *watch) await(within time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.turn++
	turn := w.turn
	w.timer = w.dir.afterFunc(within, func() { w.silent(turn) })
}

func (w *watch) silent(turn int) {
	w.dir.mu.Lock()
	defer w.dir.mu.Unlock()
	if w.turn == turn { // else a line came while this waited for the lock
		how := transport.WatchTimeout
		if w.told {
			how = transport.WatchSilent
		}
		w.ended("silent", how)
	}
}

func (w *watch) close() {
	w.over = true
	w.timer.Stop()
	w.line.Close()
}

// failed tells how a watch ended that did not fall silent: late if its question waited for an answer and got none.
func (w *watch) failed(cause error) transport.WatchEnd {
	if w.told || w.code == 200 || errors.Is(cause, dial.ErrConnectTimeout) || w.dir.now().Sub(w.asked) < promptly {
		return transport.WatchBroken
	}
	return transport.WatchTimeout
}

func (w *watch) ended(why string, how transport.WatchEnd) {
	if w.over {
		return
	}
	w.close()
	if w.dir.watch == w {
		w.dir.watch = nil
	}
	w.dir.desk.WatchEnded(why, how)
}

// Data and Closed make a watch a dial.Handler.

func (w *watch) Data(b []byte) {
	w.dir.mu.Lock()
	defer w.dir.mu.Unlock()
	if w.over {
		return
	}
	_, whole, err := w.reader.Feed(b, w)
	switch {
	case err != nil:
		w.ended(err.Error(), w.failed(err))
	case whole:
		w.ended(fmt.Sprintf("answered %d", w.code), w.failed(nil))
	}
}

func (w *watch) Closed(cause error) {
	w.dir.mu.Lock()
	defer w.dir.mu.Unlock()
	w.ended(fmt.Sprint(cause), w.failed(cause))
}

// Status, AppendField and Body make a watch an http1.Handler.

func (w *watch) Status(code int)          { w.code = code }
func (w *watch) Field(name, value []byte) {}

func (w *watch) Body(piece []byte) error {
	if w.code != 200 {
		return nil
	}
	for len(piece) > 0 {
		n, whole := w.scan(piece)
		if w.rest = append(w.rest, piece[:n]...); len(w.rest) > w.dir.mostLine() {
			return errors.New("a line of the list is over the limit")
		}
		piece = piece[n:]
		if !whole {
			return w.cut()
		}
		line := bytes.TrimSpace(w.rest)
		if len(line) > 0 {
			l := &transport.EndpointList{}
			if err := json.Unmarshal(line, l); err != nil {
				return fmt.Errorf("a line of the list cannot be read: %w", err)
			}
			// Guards against changes that are older than what is held, by which an endpoint that drains would serve
			// again. A whole list in answer to the question may be: discovery then counts its versions anew.
			if l.Revision < w.rev && (w.told || !l.Complete) {
				return fmt.Errorf("version %d of the list came after version %d", l.Revision, w.rev)
			}
			w.rev = l.Revision
			w.dir.desk.EndpointsUpdated(l)
		}
		w.rest, w.told, w.looked, w.sought = w.rest[:0], true, false, 0
		w.await(blankEvery + blankEvery/2) // only now: guards against a link on which bytes trickle and no line comes
	}
	return nil
}

// cut tells, once for each object, if the first line of one that goes on below cannot be the beginning of any.
func (w *watch) cut() error {
	if w.looked {
		return nil
	}
	end := bytes.IndexByte(w.rest[w.sought:], '\n')
	if end < 0 {
		w.sought = len(w.rest)
		return nil
	}
	w.looked = true
	var any json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(w.rest[:w.sought+end])).Decode(&any); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("a line of the list cannot be read: %w", err)
	}
	return nil
}

// scan finds the end of the next object, or of an empty line, in b. An object may be indented over several lines.
func (w *watch) scan(b []byte) (n int, whole bool) {
	for i, c := range b {
		switch {
		case w.slash:
			w.slash = false
		case w.quoted:
			w.slash = c == '\\'
			w.quoted = c != '"' && c != '\n' // a string holds no end of a line: what is spoilt ends there
		case c == '"':
			w.quoted = true
		case c == '{' || c == '[':
			w.depth++
		case c == '}' || c == ']':
			w.depth--
		}
		if c == '\n' && w.depth <= 0 {
			w.depth, w.quoted, w.slash = 0, false, false
			return i + 1, true
		}
	}
	return len(b), false
}

// Notify sends a notice, again and again until it is answered.
func (d *Client) Notify(n transport.FinalAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = append(d.waiting, n)
	d.report()
}

// report is a connection that carries notices, a call at a time.
type report struct {
	dir    *Client
	line   *dial.Conn
	reader http1.Reader
	code   int
	out    []transport.FinalAnswer
	timer  *time.Timer
	turn   int // counts its calls, so that a late timer is known as one
}

// report begins a call with the notices that wait, if none is out; the lock is held.
func (d *Client) report() {
	if d.stopped || len(d.waiting) == 0 || d.out != nil && len(d.out.out) > 0 {
		return
	}
	r := d.out
	if r == nil {
		r = &report{dir: d, reader: http1.Reader{MaxBody: 64 << 10}}
		r.line = d.dialer.Dial(d.addr, d.connect, r)
		d.out = r
	}
	n := min(len(d.waiting), mostNotices)
	r.out = append(r.out, d.waiting[:n]...)
	d.waiting = append(d.waiting[:0], d.waiting[n:]...)
	var body []byte
	for _, n := range r.out {
		id, _ := json.Marshal(n.ID)
		body = append(append(body, `{"id":`...), id...)
		switch {
		case n.Outcome != transport.Rejected:
			body = append(body, `,"state":"failed"`...)
		case n.RetryAfterMs > 0:
			body = append(body, `,"state":"returned","after_ms":`...)
			body = strconv.AppendInt(body, int64(n.RetryAfterMs), 10)
		default:
			body = append(body, `,"state":"returned"`...)
		}
		body = append(body, "}\n"...)
	}
	r.reader.Reset()
	r.line.Write(http1.AppendBody(http1.AppendRequestLine(nil, "POST", "/v1/notices", d.addr), body))
	r.turn++
	turn := r.turn
	r.timer = d.afterFunc(noticeIn<<min(d.lost, noticeMost), func() { r.silent(turn) })
}

// silent makes a call that is not answered again at once, on a new connection. Guards against a final answer told right
// at a message's expiry going to a connection that has died unseen; a message is lost 300 ms after its expiry.
func (r *report) silent(turn int) {
	d := r.dir
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out != r || r.turn != turn || len(r.out) == 0 { // the answer came while this waited for the lock
		return
	}
	d.lost++
	d.desk.NoticesUnanswered("no answer")
	r.drop()
	d.report()
}

// lost puts the notices of a call back and makes it again a little later. A notice told twice does no harm.
func (r *report) lost(why string) {
	d := r.dir
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out != r {
		return
	}
	if len(r.out) > 0 {
		d.desk.NoticesUnanswered(why)
	}
	r.drop()
	d.afterFunc(againIn, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.report()
	})
}

func (r *report) drop() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.line.Close()
	r.dir.waiting = append(r.out, r.dir.waiting...)
	r.dir.out = nil
}

// Data and Closed make a report a dial.Handler.

func (r *report) Data(b []byte) {
	d := r.dir
	d.mu.Lock()
	if d.out != r || len(r.out) == 0 {
		d.mu.Unlock()
		r.lost("unasked answer")
		return
	}
	_, whole, err := r.reader.Feed(b, r)
	if err != nil || whole && r.code/100 != 2 {
		d.mu.Unlock()
		r.lost(fmt.Sprintf("answered %d", r.code))
		return
	}
	if whole {
		r.timer.Stop()
		d.lost = 0
		doors := make([]uint64, len(r.out))
		for i, n := range r.out {
			doors[i] = n.MessageID
		}
		r.out = nil
		if r.reader.Close {
			r.drop()
		}
		d.desk.NoticesAcknowledged(doors)
		d.report()
	}
	d.mu.Unlock()
}

func (r *report) Closed(cause error) { r.lost(fmt.Sprint(cause)) }

func (r *report) Status(code int)          { r.code = code }
func (r *report) Field(name, value []byte) {}
func (r *report) Body([]byte) error        { return nil }
