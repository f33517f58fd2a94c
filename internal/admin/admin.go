// Package admin serves the operators' address: HTTP/1.1, one request per connection, each answered within a second. It
// passes requests to the forwarder's event loop and returns its responses; it makes no decisions.
//
//	GET  /_ready                   200 once the process can serve, else 503
//	GET  /_vars                    200 with the counters and gauges, one statsd line each
//	POST /_targets/detach?name=ID  200 once the endpoint is drained, 404 if it is unknown
//	POST /_targets/attach?name=ID  200 once it is restored, 404 if it is unknown
//	POST /_lameduck/on             200 once clients' connections are being drained
//	POST /_lameduck/off            200 once they are kept again
//
// Any other path is a 404, another method a 405, a request without a name a 400; an event loop that does not answer in
// time gets a 503. Each response is plain text with a reason.
package admin

// Operation is what a request asks for.
type Operation uint8

// The operations.
const (
	Vars Operation = iota
	Detach
	Attach
	LameDuckOn
	LameDuckOff
)

var operationNames = [...]string{"vars", "detach", "attach", "lameduck on", "lameduck off"}

// String returns the operation as responses name it.
func (o Operation) String() string { return operationNames[o] }

// Request is one request that the event loop answers.
type Request struct {
	Operation Operation
	Name      string // of an endpoint, for Detach and Attach
}

// Response is the event loop's answer. If OK, the status is 200 and Text is the body; else Status (4xx or 5xx) is the
// status and Text the reason.
type Response struct {
	OK     bool
	Status int
	Text   string
}

// Handler passes requests to the event loop. Ready reports whether the process can serve. Handle must not block: it
// passes the response to reply, at most once, from any goroutine.
type Handler interface {
	Ready() bool
	Handle(r Request, reply func(Response))
}
