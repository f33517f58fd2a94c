package forwarder

import (
	"time"

	"spanflow/internal/admin"
	"spanflow/transport"
)

// event is something that happened outside the event loop and that it has to handle. The types in this file are all
// the events that there are.
type event interface{ isEvent() }

type (
	// request is what a frontend's caller wants, with the queue by which it came.
	request struct {
		transport.Request
		from *admissionQueue
	}

	// callerGone is the client's id of a message whose waiting caller has disconnected.
	callerGone string

	// callEnded is the result of a call to an endpoint.
	callEnded struct{ transport.CallResult }

	// endpointsUpdated is a list of endpoints, complete or changes alone.
	endpointsUpdated struct{ *transport.EndpointList }

	// watchEnded says that the watch on the endpoint list ended.
	watchEnded struct {
		why string
		how transport.WatchEnd
	}

	// noticesUnanswered says why notices were not answered; they are sent again.
	noticesUnanswered string

	// noticesAcknowledged are the numbers of messages whose final answers were heard.
	noticesAcknowledged []uint64

	// stopRequested says that the process ends, and in what time.
	stopRequested time.Duration

	// operatorRequest is a request to the admin address, with the function that takes its response.
	operatorRequest struct {
		admin.Request
		reply func(admin.Response)
	}
)

func (*request) isEvent()            {}
func (callerGone) isEvent()          {}
func (callEnded) isEvent()           {}
func (endpointsUpdated) isEvent()    {}
func (watchEnded) isEvent()          {}
func (noticesUnanswered) isEvent()   {}
func (noticesAcknowledged) isEvent() {}
func (stopRequested) isEvent()       {}
func (operatorRequest) isEvent()     {}
