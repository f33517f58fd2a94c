package forwarder

import (
	"time"

	"spanflow/internal/admin"
	"spanflow/transport"
)

// event is something that happened outside the event loop and that it has to handle. This file defines all types of
// events.
type event interface{ isEvent() }

type (
	// request is a caller's request and the queue of the frontend that received it.
	request struct {
		transport.Request
		from *admissionQueue
	}

	// callerDisconnected is the client's id of a message whose waiting caller has disconnected.
	callerDisconnected string

	// connectionReset reports that a client has reset a connection of a frontend.
	connectionReset struct {
		from       *admissionQueue
		connection uint64
	}

	// callEnded is the result of a call to an endpoint.
	callEnded struct{ transport.CallResult }

	// endpointsUpdated is an endpoint list: either complete or only its changes.
	endpointsUpdated struct{ *transport.EndpointList }

	// watchEnded is the end of the watch on the endpoint list.
	watchEnded struct {
		reason   string
		how      transport.WatchEnd
		lastLine time.Time // see transport.EndpointListener
	}

	// noticesUnanswered is the reason why notices were not acknowledged; they are sent again.
	noticesUnanswered string

	// noticesAcknowledged are the numbers of messages whose notices were acknowledged.
	noticesAcknowledged []uint64

	// stopRequested tells the scheduler to stop. Its value is the time left to finish calls before the process ends.
	stopRequested time.Duration

	// configRead is the result of reading the configuration again.
	configRead struct {
		next *Config
		err  error
	}

	// stateNotWritten reports that a file of the state folder could not be written.
	stateNotWritten struct {
		file string
		err  error
	}

	// operatorRequest is a request to the admin address, with the function that sends its response.
	operatorRequest struct {
		admin.Request
		reply func(admin.Response)
	}
)

func (*request) isEvent()            {}
func (callerDisconnected) isEvent()  {}
func (connectionReset) isEvent()     {}
func (callEnded) isEvent()           {}
func (endpointsUpdated) isEvent()    {}
func (watchEnded) isEvent()          {}
func (noticesUnanswered) isEvent()   {}
func (noticesAcknowledged) isEvent() {}
func (stopRequested) isEvent()       {}
func (configRead) isEvent()          {}
func (stateNotWritten) isEvent()     {}
func (operatorRequest) isEvent()     {}
