package upstream

import (
	"errors"
	"slices"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

// reasonExpired is the reason of messages that were left out of their call.
const reasonExpired = "out of time before the call was sent"

// connection is a connection to an endpoint with its only call. It implements dial.EstablishedHandler. All fields are guarded by
// the client's lock.
type connection struct {
	client    *Client
	conn      *dial.Conn
	reader    http1.Reader
	answer    answer
	call      *transport.Call // nil once the call has ended; the connection is closed then
	startedAt time.Time       // when the call was started
	begun     bool            // the call may have been sent in part; no message of it can be cancelled any more
	sentAfter time.Duration   // time from the start of the call until then
	timer     *time.Timer     // ends the call
	surplus   int             // bytes that arrived together with the end of the answer and are not part of it
}

// Established implements dial.EstablishedHandler: it sends the call.
func (c *connection) Established() {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.call == nil {
		return
	}
	now := time.Now()
	if c.removeExpired(now); c.call != nil {
		c.begin(now)
	}
}

// begin sends the call. The client's lock is held.
func (c *connection) begin(now time.Time) {
	c.begun, c.sentAfter = true, now.Sub(c.startedAt)
	c.answer.keepBody = len(c.call.Messages) > 1
	c.conn.Write(encodeRequest(c.call, c.sentAfter))
}

// removeExpired takes those messages out of a call that must not be sent any more, and reports them as cancelled. The
// client's lock is held.
func (c *connection) removeExpired(now time.Time) {
	isExpired := func(m transport.Message) bool { return !m.SendBefore.IsZero() && !now.Before(m.SendBefore) }
	var expired, left []transport.Message
	for _, m := range c.call.Messages {
		if isExpired(m) {
			expired = append(expired, m)
		} else {
			left = append(left, m)
		}
	}
	switch {
	case len(expired) == 0:
	case len(left) == 0:
		c.conn.Close()
		c.finish(c.sameCodes(transport.ResultCancelled), reasonExpired)
	default:
		part := *c.call
		part.Messages, c.call.Messages = expired, left
		c.client.results.CallEnded(transport.CallResult{
			Call: &part, Codes: sameCodes(&part, transport.ResultCancelled), Latency: now.Sub(c.startedAt), Reason: reasonExpired,
		})
	}
}

// removeMessage takes a message out of a call that has not begun, and reports whether the call had it. The call ends with its
// last message, without a result. The client's lock is held.
func (c *connection) removeMessage(id uint64) bool {
	before := len(c.call.Messages)
	c.call.Messages = slices.DeleteFunc(c.call.Messages, func(m transport.Message) bool { return m.MessageID == id })
	if len(c.call.Messages) == before {
		return false
	}
	if len(c.call.Messages) == 0 {
		c.conn.Close()
		c.end()
	}
	return true
}

// sent reports whether the call was sent completely. While the connection is open, the result may change from false to true
// at any time.
func (c *connection) sent() bool { return c.begun && c.conn.Sent() }

// abort closes the connection and reports whether the call may have been sent completely.
func (c *connection) abort() bool {
	sent := c.conn.Abort()
	return c.begun && sent
}

// timedOut ends a call that is not answered in time.
func (c *connection) timedOut() {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.timedOutLocked()
}

// timedOutLocked does the work of timedOut. The client's lock is held.
func (c *connection) timedOutLocked() {
	if c.call == nil || c.takeUnreadAnswer() {
		return
	}
	code, reason, sent := transport.ResultTimeout, "", c.abort()
	switch {
	case !sent:
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
func (c *connection) takeUnreadAnswer() bool {
	buffer := make([]byte, unreadBufferBytes)
	for {
		n, pending := c.conn.ReadPending(buffer)
		switch {
		case pending:
			c.timer = time.AfterFunc(dataDeliveryTime, c.timedOut)
			return true
		case n == 0:
			return false
		}
		if c.feed(buffer[:n]); c.call == nil {
			return true
		}
	}
}

// Data implements dial.Handler: it handles bytes from the endpoint.
func (c *connection) Data(b []byte) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.conn.MarkDelivered()
	if c.call != nil {
		c.feed(b)
	}
}

// feed parses a piece of the answer to the call and ends the call if the answer is complete or malformed. The client's
// lock is held.
func (c *connection) feed(b []byte) {
	used, complete, err := c.reader.Feed(b, &c.answer)
	switch {
	case err != nil:
		c.conn.Close()
		c.finish(c.brokenCodes(transport.ResultMalformed), err.Error())
	case complete:
		c.answerComplete(len(b) - used)
	}
}

// answerComplete ends the call with its answer, behind which surplus more bytes have arrived. The client's lock is
// held.
func (c *connection) answerComplete(surplus int) {
	sent := c.abort()
	c.surplus = surplus
	c.finishWithAnswer(sent)
}

// finishWithAnswer ends the call with its answer. sent says whether the call was sent completely. The client's lock is held.
func (c *connection) finishWithAnswer(sent bool) {
	if c.answer.status == statusOK && !sent { // the endpoint cannot have run an incomplete call
		c.surplus = 0
		c.finish(c.sameCodes(transport.ResultClosedBeforeSent), "answer received before the call was written")
		return
	}
	c.finish(c.answer.resultCodes(c.call), "")
}

// Closed implements dial.Handler: it handles the end of the connection by the endpoint or the network.
func (c *connection) Closed(cause error) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.call != nil {
		c.closedWithCall(cause)
	}
}

// closedWithCall ends the call on a connection that has ended. The client's lock is held.
func (c *connection) closedWithCall(cause error) {
	switch {
	case c.reader.EndsAtClose():
		c.finishWithAnswer(c.sent())
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
	if !c.sent() {
		code = transport.ResultClosedBeforeSent
	}
	return c.incompleteCodes(code)
}

// incompleteCodes returns the result codes of a call without a complete answer: code for each message, or ResultOK if a
// call with a single message was written completely and answered with status 200. Any other status counts only in a
// complete answer, as the message may have run if the answer is malformed or truncated. The connection is closed.
func (c *connection) incompleteCodes(code transport.ResultCode) []transport.ResultCode {
	if c.answer.status == statusOK && len(c.call.Messages) == 1 && c.sent() {
		code = transport.ResultOK
	}
	return c.sameCodes(code)
}

// sameCodes returns a slice with code for each message of the call.
func (c *connection) sameCodes(code transport.ResultCode) []transport.ResultCode {
	return sameCodes(c.call, code)
}

// sameCodes returns a slice with code for each message of a call.
func sameCodes(call *transport.Call, code transport.ResultCode) []transport.ResultCode {
	codes := make([]transport.ResultCode, len(call.Messages))
	for i := range codes {
		codes[i] = code
	}
	return codes
}

// finish reports the end of the call. The caller has closed the connection. The client's lock is held.
func (c *connection) finish(codes []transport.ResultCode, reason string) {
	result := transport.CallResult{
		Call: c.call, Codes: codes, Latency: time.Since(c.startedAt), SentAfter: c.sentAfter, Reason: reason,
		SurplusBytes: c.surplus,
	}
	if codes[0] != transport.ResultMalformed { // a head received before the connection broke is valid
		settings := &c.client.settings
		result.RetryAfter = c.answer.retryAfter
		result.ReportedLimit = reportedValue(c.answer.loadReport, settings.LimitField)
		result.ReportedShare = reportedValue(c.answer.loadReport, settings.ShareField)
	}
	c.end()
	c.client.results.CallEnded(result)
}

// end frees what the call holds. The client's lock is held.
func (c *connection) end() {
	c.timer.Stop()
	c.call = nil
	c.answer.release()
	delete(c.client.open, c)
}
