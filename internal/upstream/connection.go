package upstream

import (
	"errors"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

// connectionState is the state of a connection. A connection that is still being established is awaitingAnswer, because
// dial.Conn buffers what is written until then.
type connectionState uint8

const (
	idle            connectionState = iota // no call; listed in Client.idle
	awaitingSilence                        // has a call, to be written after a silence of ReuseDelay
	awaitingAnswer                         // its call has been written to the dial.Conn
	closed                                 // has no call and must not be used again
)

// connection is a connection to an endpoint with at most one call on it. It implements dial.Handler. All fields are
// guarded by the client's lock.
type connection struct {
	client     *Client
	endpointID uint64
	conn       *dial.Conn
	state      connectionState
	reader     http1.Reader
	answer     answer
	call       *transport.Call // nil while idle or closed
	startedAt  time.Time       // when the call was started
	idleSince  time.Time
	timer      *time.Timer // ends the call, or closes an idle connection
	generation int         // incremented for each call and idle period, so that a timer that fires late is ignored
}

// begin starts a call on a connection that is new or was idle. The client's lock is held.
func (c *connection) begin(call *transport.Call) {
	c.call, c.startedAt = call, time.Now()
	c.answer = answer{body: c.answer.body[:0], keepBody: len(call.Messages) > 1}
	c.reader.Reset()
	c.generation++
	generation := c.generation
	c.timer = time.AfterFunc(call.Timeout, func() { c.timerFired(generation) })
	if wait := c.client.settings.ReuseDelay - c.startedAt.Sub(c.idleSince); wait > 0 {
		c.state = awaitingSilence
		c.client.maybeUnsent[c] = struct{}{}
		time.AfterFunc(wait, func() { c.sendDelayed(generation) })
		return
	}
	c.state = awaitingAnswer
	c.conn.Write(encodeRequest(call))
}

// sendDelayed writes a delayed call, or moves it to a new connection if bytes have arrived on this one.
func (c *connection) sendDelayed(generation int) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.generation != generation || c.state != awaitingSilence {
		return
	}
	if !c.conn.IsQuiet() {
		c.redial()
		return
	}
	c.state = awaitingAnswer
	delete(c.client.maybeUnsent, c)
	c.conn.Write(encodeRequest(c.call))
}

// redial closes the connection and moves its unwritten call to a new one. The client's lock is held.
func (c *connection) redial() {
	call := c.call
	c.close()
	delete(c.client.maybeUnsent, c)
	next := c.client.connect(call)
	next.call, next.startedAt, next.generation = call, c.startedAt, 1
	next.answer.keepBody = c.answer.keepBody
	c.timer.Stop()
	next.timer = time.AfterFunc(call.Timeout-time.Since(c.startedAt), func() { next.timerFired(1) })
	c.call = nil
	c.generation++
	next.state = awaitingAnswer
	next.conn.Write(encodeRequest(call))
}

// timerFired ends a call that has timed out, or closes a connection that was idle for too long.
func (c *connection) timerFired(generation int) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.timerFiredLocked(generation)
}

// timerFiredLocked does the work of timerFired. The client's lock is held.
func (c *connection) timerFiredLocked(generation int) {
	if c.generation != generation {
		return
	}
	if c.call == nil {
		c.client.removeIdle(c)
		c.close()
		return
	}
	if c.state == awaitingAnswer && c.takeUnreadAnswer(generation) {
		return
	}
	code, reason, sent := transport.ResultTimeout, "", c.conn.Abort()
	switch {
	case c.state == awaitingSilence || !sent:
		code = transport.ResultTimeoutBeforeSent
	case c.reader.Started():
		code, reason = transport.ResultMalformed, "incomplete answer at the timeout"
	}
	c.finish(c.incompleteCodes(code), reason)
}

// takeUnreadAnswer handles an answer that is still unread in the socket, and reports whether it has ended the call or
// is about to. It prevents a call from timing out although its answer has arrived, as can happen after the process
// was suspended, when its timers and sockets are due at the same moment. It costs one read of the socket for each call
// that times out. The client's lock is held.
func (c *connection) takeUnreadAnswer(generation int) bool {
	buffer := make([]byte, unreadBufferBytes)
	for {
		n, pending := c.conn.ReadPending(buffer)
		switch {
		case pending:
			c.timer = time.AfterFunc(dataDeliveryTime, func() { c.timerFired(generation) })
			return true
		case n == 0:
			return false
		}
		if c.feed(buffer[:n]); c.generation != generation {
			return true
		}
	}
}

// Data implements dial.Handler: it handles bytes from the endpoint.
func (c *connection) Data(b []byte) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.conn.MarkDelivered()
	switch c.state {
	case idle, closed: // no answer is expected
		c.client.removeIdle(c)
		c.close()
	case awaitingSilence: // the call has not been written yet
		c.redial()
	case awaitingAnswer:
		c.feed(b)
	}
}

// feed parses a piece of the answer to the call and ends the call if the answer is complete or malformed. The client's
// lock is held.
func (c *connection) feed(b []byte) {
	used, complete, err := c.reader.Feed(b, &c.answer)
	switch {
	case err != nil:
		c.close()
		c.finish(c.brokenCodes(transport.ResultMalformed), err.Error())
	case complete:
		c.answerComplete(used == len(b))
	}
}

// answerComplete ends the call with its answer and keeps the connection if it can be reused. nothingFollows says that
// no bytes followed the answer. The client's lock is held.
func (c *connection) answerComplete(nothingFollows bool) {
	reusable := !c.reader.Close && nothingFollows && c.conn.Sent()
	if !reusable {
		c.close()
	}
	if c.answer.status == statusOK && !reusable && !c.conn.Sent() { // the endpoint cannot have run an incomplete call
		c.finish(c.sameCodes(transport.ResultClosedBeforeSent), "answer received before the call was written")
		return
	}
	c.finish(c.answer.resultCodes(c.call), "")
	if reusable {
		c.keepIdle()
	}
}

// Closed implements dial.Handler: it handles the end of the connection by the endpoint or the network.
func (c *connection) Closed(cause error) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	switch c.state {
	case idle, closed:
		c.client.removeIdle(c)
		c.state = closed
	case awaitingSilence:
		c.redial()
	case awaitingAnswer:
		c.closedWithCall(cause)
	}
}

// closedWithCall ends the call on a connection that has ended. The client's lock is held.
func (c *connection) closedWithCall(cause error) {
	switch {
	case c.reader.EndsAtClose():
		c.finish(c.answer.resultCodes(c.call), "")
	case errors.Is(cause, dial.ErrConnectTimeout):
		c.finish(c.sameCodes(transport.ResultConnectTimeout), "")
	case !c.conn.Connected():
		c.finish(c.sameCodes(transport.ResultConnectRefused), errorText(cause))
	default:
		c.finish(c.brokenCodes(transport.ResultClosed), errorText(cause))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// brokenCodes returns the result codes of a call whose connection broke or whose answer was malformed: those of
// incompleteCodes, with ResultClosedBeforeSent in place of code if the call was not written completely.
func (c *connection) brokenCodes(code transport.ResultCode) []transport.ResultCode {
	if !c.conn.Sent() {
		code = transport.ResultClosedBeforeSent
	}
	return c.incompleteCodes(code)
}

// incompleteCodes returns the result codes of a call without a complete answer: code for each message, or ResultOK if a
// call with a single message was written completely and answered with status 200. Any other status counts only in a
// complete answer, as the message may have run if the answer is malformed or truncated. The connection is closed.
func (c *connection) incompleteCodes(code transport.ResultCode) []transport.ResultCode {
	if c.answer.status == statusOK && len(c.call.Messages) == 1 && c.conn.Sent() {
		code = transport.ResultOK
	}
	return c.sameCodes(code)
}

// sameCodes returns a slice with code for each message of the call.
func (c *connection) sameCodes(code transport.ResultCode) []transport.ResultCode {
	codes := make([]transport.ResultCode, len(c.call.Messages))
	for i := range codes {
		codes[i] = code
	}
	return codes
}

// finish reports the end of the call and leaves the connection closed. The client's lock is held.
func (c *connection) finish(codes []transport.ResultCode, reason string) {
	c.timer.Stop()
	result := transport.CallResult{Call: c.call, Codes: codes, Latency: time.Since(c.startedAt), Reason: reason}
	if codes[0] != transport.ResultMalformed { // a head received before the connection broke is valid
		settings := &c.client.settings
		result.RetryAfter = c.answer.retryAfter
		result.ReportedLimit = reportedValue(c.answer.loadReport, settings.LimitField)
		result.ReportedShare = reportedValue(c.answer.loadReport, settings.ShareField)
	}
	c.call, c.state = nil, closed
	c.generation++
	delete(c.client.maybeUnsent, c)
	c.client.results.CallEnded(result)
}

// keepIdle adds the connection to the idle list after its call has ended. The client's lock is held.
func (c *connection) keepIdle() {
	cl := c.client
	cl.idle[c.endpointID] = append(cl.idle[c.endpointID], c)
	c.state, c.idleSince = idle, time.Now()
	generation := c.generation
	c.timer = time.AfterFunc(cl.settings.IdleTimeout, func() { c.timerFired(generation) })
}

// close closes the socket, after which dial does not call Closed. The caller has to finish or move a call on the
// connection.
func (c *connection) close() {
	c.state = closed
	c.conn.Close()
}
