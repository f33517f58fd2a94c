// Package admin serves the operators' address with HTTP/1.1. It takes one request per connection and answers within a
// second. It passes requests to the forwarder's event loop and returns its responses. It makes no decisions.
//
//	GET  /_ready                   200 once the process can serve, else 503
//	GET  /_vars                    200 with the counters and gauges, one statsd line each
//	POST /_targets/detach?name=ID  200 once the endpoint is drained, 404 if it is unknown
//	POST /_targets/attach?name=ID  200 once it is restored, 404 if it is unknown
//	POST /_lameduck/on             200 once the client connections are being drained
//	POST /_lameduck/off            200 once they are no longer being drained
//
// The status is 404 for any other path, 405 for another method, 400 if the name is missing, and 503 if the event loop
// does not answer in time. The body of each of these responses is plain text that states the reason.
package admin

// Operation is the action that a request asks for.
type Operation uint8

// The operations, one for each path except /_ready.
const (
	Vars Operation = iota
	Detach
	Attach
	ClientDrainOn
	ClientDrainOff
)

var operationNames = [...]string{"vars", "detach", "attach", "lameduck on", "lameduck off"}

// String returns the name of the operation in responses.
func (o Operation) String() string { return operationNames[o] }

// Request is a request to the event loop.
type Request struct {
	Operation Operation
	Name      string // ID of the endpoint for Detach and Attach, else empty
}

// Response is the event loop's answer. If OK is true, the HTTP status is 200 and Text is the body. Otherwise the HTTP
// status is Status (4xx or 5xx) and Text is the reason.
type Response struct {
	OK     bool
	Status int
	Text   string
}

// Handler passes requests to the event loop. Ready reports whether the process can serve. Handle must not block. The
// response is passed to reply, at most once and from any goroutine.
type Handler interface {
	Ready() bool
	Handle(r Request, reply func(Response))
}
