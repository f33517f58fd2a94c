package receiver

import "spanflow/transport"

// Message is a message as a receiver sees it.
type Message struct {
	ID                  uint64
	IdempotencyKey      uint64  // 0 means none
	DeduplicationWindow float64 // seconds for which the key is remembered after the execution
	DeduplicatedPerZone bool    // the key is remembered only in the zone where the message was executed
	Tenant              int
}

// Call is one call to an endpoint.
type Call struct {
	Forwarder int
	Messages  []Message
	Answer    func(Answer) // called at most once, and never if the answer is lost

	endpoint   *Endpoint
	receivedAt float64
	queued     bool
	finished   bool // answered, or cancelled by the caller
}

// Answer is the answer to a call, as the caller receives it.
type Answer struct {
	Code              transport.ResultCode
	RetryAfter        float64 // seconds, with transport.ResultRetryAfter
	ReportedLimit     float64 // calls per second; negative means reported as unlimited, 0 means not reported
	ReportedRemaining float64 // remaining share of the limit, encoded as in scheduler.AttemptResult
}

// Cancel must be called when the caller closes the connection. A queued call is then not executed; a call that is
// already being executed continues.
func (c *Call) Cancel() {
	c.finished = true
	if !c.queued {
		return
	}
	c.queued = false
	queue := c.endpoint.queue
	for i, other := range queue {
		if other == c {
			c.endpoint.queue = append(queue[:i:i], queue[i+1:]...)
			return
		}
	}
}

// finish answers the call unless it has been answered or cancelled.
func (c *Call) finish(a Answer) {
	if !c.finished {
		c.finished = true
		c.Answer(a)
	}
}
