package receiver

import "spanflow/transport"

// Message is a message as a receiver sees it.
type Message struct {
	ID                  uint64
	IdempotencyKey      uint64  // 0: it has none
	DeduplicationWindow float64 // seconds for which the key is known, from the execution on
	DeduplicatedPerZone bool    // the key is known in the zone of the execution only
	Tenant              int
}

// Call is one call on its way through an endpoint.
type Call struct {
	Forwarder int
	Messages  []Message
	Answer    func(Answer) // called at most once; never if the answer gets lost

	endpoint   *Endpoint
	receivedAt float64
	queued     bool
	finished   bool // answered, or its caller has gone
}

// Answer is what a caller gets.
type Answer struct {
	Code              transport.ResultCode
	RetryAfter        float64 // seconds, with transport.ResultRetryAfter
	ReportedLimit     float64 // calls a second; below 0: it is reported that there is no limit; 0: nothing is reported
	ReportedRemaining float64 // the remaining share of the limit, in the form of scheduler.AttemptResult
}

// Cancel says that the caller has gone. A call that is queued is not executed; one that is being executed runs on.
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

// finish answers the call, unless it was answered or its caller has gone.
func (c *Call) finish(a Answer) {
	if !c.finished {
		c.finished = true
		c.Answer(a)
	}
}
