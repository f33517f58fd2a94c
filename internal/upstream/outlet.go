// Package upstream carries calls to endpoints: connections, their reuse, and how each call ended. It chooses nothing.
package upstream

import (
	"errors"
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

const (
	mostAnswer   = 64 << 10
	unreadBuffer = 4 << 10          // bytes read at once from a connection whose call is about to be given up
	handover     = time.Millisecond // in which what was read reaches the trunk
)

// Settings are the upstream's bounds.
type Settings struct {
	Connect    time.Duration // a connection that takes longer never comes up
	KeepIdle   time.Duration // an idle connection is closed after so long
	LimitField string        // the field of a load report that tells a limit
	ShareField string        // and the one that tells the share of it that is left
	ReuseProof time.Duration // a connection stays silent for so long after an answer before it is used again; 0: usualProof
}

// Upstream holds the connections to all endpoints.
type Client struct {
	dialer *dial.Dialer
	desk   transport.ResultListener
	terms  Settings
	mu     sync.Mutex
	idle   map[uint64][]*trunk // by the endpoint's number; the latest used last
	rising map[*trunk]struct{} // whose first call may not have begun to be sent
}

// New has no connections yet.
func New(d *dial.Dialer, desk transport.ResultListener, terms Settings) *Client {
	if terms.ReuseProof == 0 {
		terms.ReuseProof = usualProof
	}
	return &Client{dialer: d, desk: desk, terms: terms, idle: map[uint64][]*trunk{}, rising: map[*trunk]struct{}{}}
}

// trunk is one connection to an endpoint with at most one call on it.
type trunk struct {
	outlet *Client
	target uint64
	line   *dial.Conn
	reader http1.Reader
	answer answer
	call   *transport.Call
	began  time.Time
	rested time.Time   // since when it is idle
	timer  *time.Timer // ends the call, or while idle the connection
	turn   int         // counts calls and idle times, so that a late timer is known as one
	unsent bool        // the call waits for the connection to be proven clean
}

// usualProof is for how long a connection stays silent after an answer before a call is written to it. Guards against the
// second copy of an answer, or noise behind it, being taken for the answer to the next call. It delays calls in a row.
const usualProof = 3 * time.Millisecond

// Send begins a call, on the idle connection used last if there is one.
func (o *Client) Send(c *transport.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.rested(c.EndpointID)
	if t == nil {
		t = o.fresh(c)
	}
	t.call, t.began = c, time.Now()
	t.answer = answer{body: t.answer.body[:0], keep: len(c.Messages) > 1}
	t.reader.Reset()
	t.turn++
	turn := t.turn
	t.timer = time.AfterFunc(c.Timeout, func() { t.giveUp(turn) })
	if wait := o.terms.ReuseProof - t.began.Sub(t.rested); wait > 0 {
		t.unsent = true
		o.rising[t] = struct{}{}
		time.AfterFunc(wait, func() { t.write(turn) })
		return
	}
	t.line.Write(request(c))
}

// rested takes the idle connection to an endpoint that was used last, nil if there is none that can be used.
func (o *Client) rested(target uint64) *trunk {
	for {
		l := o.idle[target]
		if len(l) == 0 {
			return nil
		}
		t := l[len(l)-1]
		o.drop(t)
		if t.line.QuietFor() {
			return t
		}
		t.line.Close()
	}
}

// fresh begins a connection for a call.
func (o *Client) fresh(c *transport.Call) *trunk {
	if o.dialer.Full() {
		o.shed()
	}
	t := &trunk{outlet: o, target: c.EndpointID, reader: http1.Reader{MaxBody: mostAnswer}}
	t.line = o.dialer.Dial(c.Address, o.terms.Connect, t)
	o.rising[t] = struct{}{}
	return t
}

// write sends the call that waited; on a connection that is not clean it changes to a new one.
func (t *trunk) write(turn int) {
	o := t.outlet
	o.mu.Lock()
	defer o.mu.Unlock()
	if t.turn != turn || !t.unsent {
		return
	}
	if !t.line.QuietFor() {
		t.change()
		return
	}
	t.unsent = false
	delete(o.rising, t)
	t.line.Write(request(t.call))
}

// change carries the call that waited over to a new connection.
func (t *trunk) change() {
	o := t.outlet
	t.line.Close()
	delete(o.rising, t)
	n := o.fresh(t.call)
	n.call, n.began, n.turn = t.call, t.began, 1
	n.answer.keep = t.answer.keep
	t.timer.Stop()
	n.timer = time.AfterFunc(t.call.Timeout-time.Since(t.began), func() { n.giveUp(1) })
	t.call, t.unsent = nil, false
	t.turn++
	n.line.Write(request(n.call))
}

// CancelUnsent ends the calls to an endpoint of which nothing has been sent because their connection is not up.
func (o *Client) CancelUnsent(target uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for t := range o.rising {
		if t.target != target {
			continue
		}
		if t.unsent {
			t.line.Close()
		} else if !t.line.CloseUnlessConnected() {
			continue
		}
		t.finish(t.same(transport.ResultCancelled), "")
	}
}

// CloseIdle closes the connections to an endpoint that carry no call.
func (o *Client) CloseIdle(target uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.idle[target] {
		t.timer.Stop()
		t.line.Close()
	}
	delete(o.idle, target)
}

// shed closes the connection that has been idle for the longest, so that a call finds a descriptor.
func (o *Client) shed() {
	var oldest *trunk
	for _, l := range o.idle {
		if oldest == nil || l[0].rested.Before(oldest.rested) {
			oldest = l[0]
		}
	}
	if oldest != nil {
		o.drop(oldest)
		oldest.line.Close()
	}
}

// IdleConnections tells how many connections carry no call.
func (o *Client) IdleConnections() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, l := range o.idle {
		n += len(l)
	}
	return n
}

// giveUp ends a call whose time is over, or a connection that was idle for too long.
func (t *trunk) giveUp(turn int) {
	t.outlet.mu.Lock()
	defer t.outlet.mu.Unlock()
	t.timeOver(turn)
}

// timeOver is giveUp with the lock held.
func (t *trunk) timeOver(turn int) {
	o := t.outlet
	if t.turn != turn {
		return
	}
	if t.call == nil {
		o.drop(t)
		t.line.Close()
		return
	}
	if !t.unsent && t.answered(turn) {
		return
	}
	end, why, sent := transport.ResultTimeout, "", t.line.Abort()
	switch {
	case t.unsent || !sent:
		end = transport.ResultTimeoutBeforeSent
	case t.reader.Started():
		end, why = transport.ResultMalformed, "the answer never ended"
	}
	t.finish(t.cut(end), why)
}

// answered takes the answer that has come but was not read yet, and tells if the call has ended by it or is about to.
// Guards against a call being given up with its answer in the socket: after a process has stood still its timers and its
// sockets are due at the same moment. It costs a read of the socket for each call that is given up. The lock is held.
func (t *trunk) answered(turn int) bool {
	buffer := make([]byte, unreadBuffer)
	for {
		n, pending := t.line.HasUnread(buffer)
		switch {
		case pending:
			t.timer = time.AfterFunc(handover, func() { t.giveUp(turn) })
			return true
		case n == 0:
			return false
		}
		if t.feed(buffer[:n]); t.turn != turn {
			return true
		}
	}
}

// Data takes what came from the endpoint.
func (t *trunk) Data(b []byte) {
	o := t.outlet
	o.mu.Lock()
	defer o.mu.Unlock()
	t.line.HasReceived()
	if t.call == nil { // nothing was asked for
		o.drop(t)
		t.line.Close()
		return
	}
	if t.unsent { // nor was it yet
		t.change()
		return
	}
	t.feed(b)
}

// feed takes a piece of the answer to the call; the lock is held.
func (t *trunk) feed(b []byte) {
	used, whole, err := t.reader.Feed(b, &t.answer)
	switch {
	case err != nil:
		t.line.Close()
		t.finish(t.broken(transport.ResultMalformed), err.Error())
	case whole:
		keep := !t.reader.Close && used == len(b) && t.line.Sent()
		if !keep {
			t.line.Close()
		}
		if t.answer.code == 200 && !keep && !t.line.Sent() { // who has not had the call whole has not run it
			t.finish(t.same(transport.ResultClosedBeforeSent), "an answer before the call was written")
			return
		}
		t.finish(t.answer.ends(t.call), "")
		if keep {
			t.rest()
		}
	}
}

// Closed takes the end of the connection.
func (t *trunk) Closed(cause error) {
	o := t.outlet
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case t.call == nil:
		o.drop(t)
	case t.unsent:
		t.change()
	case t.reader.Ended():
		t.finish(t.answer.ends(t.call), "")
	case errors.Is(cause, dial.ErrConnectTimeout):
		t.finish(t.same(transport.ResultConnectTimeout), "")
	case !t.line.Connected():
		t.finish(t.same(transport.ResultConnectRefused), text(cause))
	default:
		t.finish(t.broken(transport.ResultClosed), text(cause))
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// broken is end if the call was written whole, else that it was cut before.
func (t *trunk) broken(end transport.ResultCode) []transport.ResultCode {
	if !t.line.Sent() {
		end = transport.ResultClosedBeforeSent
	}
	return t.cut(end)
}

// cut is end for each paper, but for a single one whose answer began with 200: that holds from its line on, if the call
// was written whole. Any other status counts only with the whole answer, as one that is spoilt or cut may stand for a
// message that has run. The line is closed.
func (t *trunk) cut(end transport.ResultCode) []transport.ResultCode {
	if t.answer.code == 200 && len(t.call.Messages) == 1 && t.line.Sent() {
		end = transport.ResultOK
	}
	return t.same(end)
}

func (t *trunk) same(end transport.ResultCode) []transport.ResultCode {
	ends := make([]transport.ResultCode, len(t.call.Messages))
	for i := range ends {
		ends[i] = end
	}
	return ends
}

// finish reports the call's end; the lock is held.
func (t *trunk) finish(ends []transport.ResultCode, why string) {
	t.timer.Stop()
	e := transport.CallResult{Call: t.call, Codes: ends, Latency: time.Since(t.began), Reason: why}
	if ends[0] != transport.ResultMalformed { // a head that came before the connection broke holds
		terms := &t.outlet.terms
		e.RetryAfter, e.ReportedLimit, e.ReportedShare = t.answer.wait, limit(t.answer.report, terms.LimitField), limit(t.answer.report, terms.ShareField)
	}
	t.call, t.unsent = nil, false
	t.turn++
	delete(t.outlet.rising, t)
	t.outlet.desk.CallEnded(e)
}

// rest keeps the connection for a later call; the lock is held.
func (t *trunk) rest() {
	o := t.outlet
	o.idle[t.target], t.rested = append(o.idle[t.target], t), time.Now()
	turn := t.turn
	t.timer = time.AfterFunc(o.terms.KeepIdle, func() { t.giveUp(turn) })
}

// drop takes a connection off the idle ones.
func (o *Client) drop(t *trunk) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.turn++
	l := o.idle[t.target]
	for i, x := range l {
		if x == t {
			l = append(l[:i], l[i+1:]...)
			break
		}
	}
	if len(l) == 0 {
		delete(o.idle, t.target)
	} else {
		o.idle[t.target] = l
	}
}
