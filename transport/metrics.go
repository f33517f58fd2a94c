package transport

import "time"

// Recorder counts what a forwarder does. Its methods are called by the event loop and must not block, Stop aside.
type Recorder interface {
	// SubmissionAnswered counts the reply to a submission.
	SubmissionAnswered(frontend string, status Status)
	// AttemptEnded counts an attempt.
	AttemptEnded(code ResultCode, took time.Duration)
	// FinalAnswered counts a final answer; after is the time since the message was submitted.
	FinalAnswered(outcome Outcome, after time.Duration)
	// LoopTurn counts a turn of the event loop with its number of events.
	LoopTurn(events int, took time.Duration)
	// Addr returns the address at which the figures are served.
	Addr() string
	// Stop ends the serving.
	Stop()
}

// Gauge is a figure that is read on demand.
type Gauge struct {
	Name   string
	Labels []string       // names and values in turn, beside the forwarder's; values from short lists
	Read   func() float64 // safe to call from any goroutine
}
