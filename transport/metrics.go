package transport

import "time"

// Recorder counts the forwarder's events for metrics. The event loop calls its methods; except for Stop, they must not
// block.
type Recorder interface {
	// SubmissionAnswered counts the reply to a submission.
	SubmissionAnswered(frontend string, status Status)
	// AttemptEnded counts an attempt and its duration.
	AttemptEnded(code ResultCode, took time.Duration)
	// FinalAnswered counts a final answer; after is the time since the message was submitted.
	FinalAnswered(outcome Outcome, after time.Duration)
	// LoopTurn counts one turn of the event loop, the events that it processed and its duration.
	LoopTurn(events int, took time.Duration)
	// Addr returns the address at which the metrics are served.
	Addr() string
	// Stop stops serving the metrics.
	Stop()
}

// Gauge is a metric whose value is read when the metrics are requested.
type Gauge struct {
	Name   string
	Labels []string       // alternating names and values, in addition to the forwarder's labels; few different values
	Read   func() float64 // safe to call from any goroutine
}
