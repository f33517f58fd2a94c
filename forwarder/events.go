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
	// request is a caller's request, with the queue of the frontend by which it came.
	request struct {
		transport.Request
		from *admissionQueue
	}

	// callerDisconnected is the client's id of a message whose waiting caller has disconnected.
	callerDisconnected string

	// callEnded is the result of a call to an endpoint.
	callEnded struct{ transport.CallResult }

	// endpointsUpdated is a list of endpoints, complete or changes alone.
	endpointsUpdated struct{ *transport.EndpointList }

	// watchEnded is the end of the watch on the endpoint list.
	watchEnded struct {
		reason string
		how    transport.WatchEnd
	}

	// noticesUnanswered is the reason why notices were not acknowledged; they are sent again.
	noticesUnanswered string

	// noticesAcknowledged are the numbers of messages whose notices were acknowledged.
	noticesAcknowledged []uint64

	// stopRequested is the time that is left for the scheduler to finish calls before the process ends.
	stopRequested time.Duration

	// configRead is the configuration as it was read again, or why it could not be.
	configRead struct {
		next *Config
		err  error
	}

	// stateNotWritten is a file of the state folder that could not be written.
	stateNotWritten struct {
		file string
		err  error
	}

	// operatorRequest is a request to the admin address, with the function that takes its response.
	operatorRequest struct {
		admin.Request
		reply func(admin.Response)
	}
)

func (*request) isEvent()            {}
func (callerDisconnected) isEvent()  {}
func (callEnded) isEvent()           {}
func (endpointsUpdated) isEvent()    {}
func (watchEnded) isEvent()          {}
func (noticesUnanswered) isEvent()   {}
func (noticesAcknowledged) isEvent() {}
func (stopRequested) isEvent()       {}
func (configRead) isEvent()          {}
func (stateNotWritten) isEvent()     {}
func (operatorRequest) isEvent()     {}
