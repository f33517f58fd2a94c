package upstream

import (
	"errors"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

// connectionState says what a connection is doing. While the socket is being established the state is awaitingAnswer:
// dial.Conn keeps what is written until then.
type connectionState uint8

const (
	idle            connectionState = iota // no call; listed in Client.idle
	awaitingSilence                        // has a call, not a byte of it written until the connection is proven silent
	awaitingAnswer                         // its call has been handed to the dial.Conn
	closed                                 // no call, not to be used again
)

// connection is one connection to an endpoint with at most one call on it. It is a dial.Handler: dial calls Data and
// Closed. All fields are guarded by the client's lock.
type connection struct {
	client     *Client
	endpointID uint64
	conn       *dial.Conn
	state      connectionState
	reader     http1.Reader
	answer     answer
	call       *transport.Call // nil while idle or closed
	startedAt  time.Time       // when the call began
	idleSince  time.Time
	timer      *time.Timer // ends the call, or while idle the connection
	generation int         // counts calls and idle times: a timer that fires late is recognised by its older one
}

// begin puts a call on a connection that is new or was idle. The client's lock is held.
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

// sendDelayed writes the call that waited for silence; if something came meanwhile the call moves to a new connection.
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

// redial moves the call that waits for silence to a new connection and closes this one. The client's lock is held.
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

// timerFired ends a call whose time is over, or a connection that was idle too long.
func (c *connection) timerFired(generation int) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.timerFiredLocked(generation)
}

// timerFiredLocked is timerFired with the client's lock held.
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
		code, reason = transport.ResultMalformed, "the answer never ended"
	}
	c.finish(c.incompleteCodes(code), reason)
}

// takeUnreadAnswer feeds the answer that has arrived but was not read yet, and reports whether the call has ended by it
// or is about to. It guards against a call timing out with its answer in the socket: after the process has been
// suspended its timers and its sockets are due at the same moment. It costs a read of the socket for each call that
// times out. The client's lock is held.
func (c *connection) takeUnreadAnswer(generation int) bool {
	buffer := make([]byte, unreadBufferBytes)
	for {
		n, pending := c.conn.ReadPending(buffer)
		switch {
		case pending:
			c.timer = time.AfterFunc(dataHandoverTime, func() { c.timerFired(generation) })
			return true
		case n == 0:
			return false
		}
		if c.feed(buffer[:n]); c.generation != generation {
			return true
		}
	}
}

// Data handles bytes from the endpoint; dial calls it.
func (c *connection) Data(b []byte) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.conn.MarkDelivered()
	switch c.state {
	case idle, closed: // nothing is expected
		c.client.removeIdle(c)
		c.close()
	case awaitingSilence: // nothing has been asked yet
		c.redial()
	case awaitingAnswer:
		c.feed(b)
	}
}

// feed parses a piece of the answer to the call and ends the call if it is complete or malformed. The client's lock is
// held.
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

// answerComplete ends the call by its answer and keeps the connection if it can be reused; exact says that nothing
// followed the answer. The client's lock is held.
func (c *connection) answerComplete(exact bool) {
	reusable := !c.reader.Close && exact && c.conn.Sent()
	if !reusable {
		c.close()
	}
	if c.answer.status == statusOK && !reusable && !c.conn.Sent() { // an endpoint without the complete call has not run it
		c.finish(c.sameCodes(transport.ResultClosedBeforeSent), "an answer before the call was written")
		return
	}
	c.finish(c.answer.resultCodes(c.call), "")
	if reusable {
		c.keepIdle()
	}
}

// Closed handles the end of the connection by the endpoint or the network; dial calls it.
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

// closedWithCall ends the call of a connection that has ended. The client's lock is held.
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

// brokenCodes returns code for each message if the call was written completely, else ResultClosedBeforeSent.
func (c *connection) brokenCodes(code transport.ResultCode) []transport.ResultCode {
	if !c.conn.Sent() {
		code = transport.ResultClosedBeforeSent
	}
	return c.incompleteCodes(code)
}

// incompleteCodes returns code for each message, except for a single one whose answer began with 200: that status holds
// from its line on, if the call was written completely. Any other status counts only with a complete answer, as a
// malformed or truncated one may stand for a message that has run. The connection is closed.
func (c *connection) incompleteCodes(code transport.ResultCode) []transport.ResultCode {
	if c.answer.status == statusOK && len(c.call.Messages) == 1 && c.conn.Sent() {
		code = transport.ResultOK
	}
	return c.sameCodes(code)
}

// sameCodes returns code once for each message of the call.
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
	if codes[0] != transport.ResultMalformed { // a head that came before the connection broke holds
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

// keepIdle keeps the connection, whose call has finished, for a later call. The client's lock is held.
func (c *connection) keepIdle() {
	cl := c.client
	cl.idle[c.endpointID] = append(cl.idle[c.endpointID], c)
	c.state, c.idleSince = idle, time.Now()
	generation := c.generation
	c.timer = time.AfterFunc(cl.settings.IdleTimeout, func() { c.timerFired(generation) })
}

// close closes the socket; dial does not call Closed for it. A call on the connection is the caller's to finish or
// move.
func (c *connection) close() {
	c.state = closed
	c.conn.Close()
}
