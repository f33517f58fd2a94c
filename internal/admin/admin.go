// Package admin serves the operators' address: HTTP/1.1, one request a connection, each answered within a second. It
// carries requests to the forwarder's event loop and its responses back; it decides nothing.
//
//	GET  /_ready                   200 once the process can serve, else 503
//	GET  /_vars                    200 with the figures, one statsd line each
//	POST /_targets/detach?name=ID  200 once the endpoint is drained, 404 if nobody has it
//	POST /_targets/attach?name=ID  200 once it is restored, 404 if nobody has it
//	POST /_lameduck/on             200 once clients are sent away
//	POST /_lameduck/off            200 once they are let in again
//
// Any other path is a 404, another method a 405, a request without a name a 400; an event loop that does not answer in
// time gets a 503. Each response is plain text with a reason.
package admin

// Operation is what a request asks for.
type Operation uint8

// The operations. Files hold their numbers.
const (
	Figures Operation = iota
	Detach
	Attach
	LameDuckOn
	LameDuckOff
)

var operationNames = [...]string{"vars", "detach", "attach", "lameduck on", "lameduck off"}

// String is the operation as responses name it.
func (o Operation) String() string { return operationNames[o] }

// Request is one request that the event loop answers.
type Request struct {
	Operation Operation
	Name      string // of an endpoint, for Detach and Attach
}

// Response is the event loop's answer: OK is a 200, else Status (4xx or 5xx) has Text as its reason.
type Response struct {
	OK     bool
	Status int
	Text   string
}

// Handler is the way to the event loop. Handle must not wait: it gives the response to reply, at most once, from any
// goroutine.
type Handler interface {
	Ready() bool
	Handle(r Request, reply func(Response))
}
