package notify

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

// connection is a connection with its only call. It implements dial.Handler and http1.Handler. All fields are guarded
// by the client's lock.
type connection struct {
	client  *Client
	conn    *dial.Conn
	reader  http1.Reader
	status  int                     // of the answer
	notices []transport.FinalAnswer // of the call
	timer   *time.Timer
}

// post starts a call with the notices, which it copies.
func (c *Client) post(notices []transport.FinalAnswer) {
	n := &connection{client: c, reader: http1.Reader{MaxBody: maxAnswerBytes}}
	n.notices = append(n.notices, notices...)
	n.conn = c.dialer.Dial(c.addr, c.connectTimeout, n)
	request := http1.AppendRequestLine(nil, "POST", "/v1/notices", c.addr)
	request = http1.AppendField(request, "Connection", "close")
	n.conn.Write(http1.AppendBody(request, appendNotices(nil, n.notices)))
	n.timer = c.afterFunc(answerTimeout<<min(c.unanswered, maxDoublings), n.timedOut)
	c.conn = n
}

// longestNoticeFields is the longest line of a notice without its id.
const longestNoticeFields = len(`{"id":,"state":"returned","after_ms":9223372036854775807}` + "\n")

// noticeBytes returns the length of the line of a notice, at most.
func noticeBytes(id string) int { return longestNoticeFields + transport.QuotedBytes(id) }

// appendNotices appends the body of a call, which has one line of JSON for each notice.
func appendNotices(b []byte, notices []transport.FinalAnswer) []byte {
	for _, notice := range notices {
		id, _ := json.Marshal(notice.ID) // encoding a string cannot fail
		b = append(append(b, `{"id":`...), id...)
		switch {
		case notice.Outcome != transport.Rejected:
			b = append(b, `,"state":"failed"`...)
		case notice.RetryAfterMs > 0:
			b = append(b, `,"state":"returned","after_ms":`...)
			b = strconv.AppendInt(b, int64(notice.RetryAfterMs), 10)
		default:
			b = append(b, `,"state":"returned"`...)
		}
		b = append(b, "}\n"...)
	}
	return b
}

// timedOut immediately repeats a call that was not answered in time. It uses a new connection, as the old one may have
// been lost without a close. There is no delay, because a message counts as lost if its notice has not arrived 300 ms
// after its expiry.
func (n *connection) timedOut() {
	c := n.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != n { // the answer arrived while this waited for the lock
		return
	}
	c.unanswered++
	c.listener.NoticesUnanswered("no answer")
	n.drop()
	c.send()
}

// fail ends the call and resends its notices after retryDelay. The lock is held.
func (n *connection) fail(reason string) {
	c := n.client
	if c.conn != n {
		return
	}
	c.listener.NoticesUnanswered(reason)
	n.drop()
	c.sendLater()
}

// drop ends the call and puts its notices back at the head of the queue.
func (n *connection) drop() {
	n.close()
	n.client.queued = append(n.notices, n.client.queued...)
}

// close closes the connection, so that nothing that arrives on it counts any more.
func (n *connection) close() {
	n.timer.Stop()
	n.conn.Close()
	n.client.conn = nil
}

// Data implements dial.Handler.
func (n *connection) Data(b []byte) {
	c := n.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != n {
		return
	}
	_, complete, err := n.reader.Feed(b, n)
	if err != nil || complete && n.status/100 != 2 {
		n.fail(fmt.Sprintf("answered %d", n.status))
		return
	}
	if complete {
		n.answered()
	}
}

// answered ends a call with a positive answer. An answer that arrived before all notices were sent acknowledges none of
// them.
func (n *connection) answered() {
	c := n.client
	if !n.conn.Abort() {
		n.fail("answered before the notices were sent")
		return
	}
	n.close()
	c.unanswered = 0
	ids := make([]uint64, len(n.notices))
	for i, notice := range n.notices {
		ids[i] = notice.MessageID
	}
	c.listener.NoticesAcknowledged(ids)
	c.send()
}

// Closed implements dial.Handler.
func (n *connection) Closed(cause error) {
	n.client.mu.Lock()
	defer n.client.mu.Unlock()
	n.fail(fmt.Sprint(cause))
}

// Status implements http1.Handler.
func (n *connection) Status(code int) { n.status = code }

// Field implements http1.Handler.
func (n *connection) Field(_, _ []byte) {}

// Body implements http1.Handler. The body of an answer is ignored.
func (n *connection) Body([]byte) error { return nil }
