package scheduler

import "math"

const (
	retryAfterMargin = 0.002 // seconds added to a Retry-After before the next call
	retryAfterSpread = 0.05  // maximum of a random delay in seconds, which is added as well
	cooldownMargin   = 0.001 // seconds added to the cooldown of an ordering key
	rateAverageTime  = 2     // seconds over which the recent rate of a route is averaged
)

// call carries one or more messages to an endpoint.
type call struct {
	endpoint   *Endpoint
	began      float64
	messages   []*Message // without those taken out before the first byte
	pending    int        // number of messages whose attempt has not ended
	recorded   bool       // recordResult has been called for the call
	ended      int        // number of messages that had ended for their clients when the call ended
	reusesIdle bool       // the call probably uses a connection that had been idle
}

// startCall begins a call with messages to an endpoint. Scheduler.apply passes the messages to the host.
func (s *Scheduler) startCall(endpoint *Endpoint, messages []*Message) {
	destination := endpoint.destination
	call := &call{endpoint: endpoint, began: s.now, messages: messages, pending: len(messages), reusesIdle: s.reusesIdle(endpoint)}
	endpoint.calls = append(endpoint.calls, call)
	endpoint.calledOften = s.now-endpoint.lastUsed < s.settings.IdleTimeout
	endpoint.lastUsed = s.now
	endpoint.route.tokens--
	endpoint.route.recentRate += 1.0 / rateAverageTime
	destination.callsInFlight++
	destination.calls++
	destination.attempts += float64(len(messages))
	s.callsInFlight++
	s.delayProbes(endpoint)
	timeout := s.callTimeout(s.timeout(endpoint), messages)
	for _, message := range messages {
		s.startAttempt(message, call, timeout)
	}
}

// delayProbes sets the earliest time of the next call to a recovering endpoint, or, if the endpoint is ejected, to all
// ejected endpoints of its route.
func (s *Scheduler) delayProbes(endpoint *Endpoint) {
	for _, other := range endpoint.destination.endpoints {
		recovers := other == endpoint && endpoint.health == recovering
		probed := other.route == endpoint.route && other.health == ejected && endpoint.health == ejected
		if recovers || probed {
			other.notBefore = math.Max(other.notBefore, s.now+s.probeInterval(endpoint))
		}
	}
}

func (s *Scheduler) startAttempt(message *Message, call *call, timeout float64) {
	s.dequeue(message)
	s.trackInFlight(message)
	message.call, message.action, message.endpoint = call, actionSend, call.endpoint
	message.attempts++
	message.timeout = timeout
	s.changed = append(s.changed, message)
}

// AttemptEnded records the result of a message's attempt. A final result is recorded even if no attempt is in flight.
func (s *Scheduler) AttemptEnded(message *Message, result AttemptResult) {
	call := message.call
	if call != nil && !call.recorded && result.Outcome != NotBegun {
		call.countEnded(s.now)
	}
	doubtful := result.Final && s.isDoubtful(message)
	if result.Final && !doubtful {
		s.confirmLateDelivery(message, result.Outcome)
		s.finish(message)
	}
	if call == nil {
		return
	}
	s.markUpdated(call.endpoint.destination)
	if result.Outcome == NotBegun {
		s.leaveUnsentCall(message)
	} else {
		s.recordAttempt(message, result)
	}
	if doubtful {
		s.endInDoubt(message, call, result.Outcome)
	}
	s.leaveKeyQueue(message)
	if !message.answered {
		s.retry(message)
		s.trackQueued(message)
	}
}

// recordAttempt takes a message out of its call, and updates the learned state and the message by the result.
func (s *Scheduler) recordAttempt(message *Message, result AttemptResult) {
	call, endpoint := message.call, message.call.endpoint
	message.call = nil
	s.endCall(call)
	if result.RetryAfter > 0 { // each message of a call may have a different one
		s.recordRetryAfter(endpoint, result.RetryAfter)
	}
	if !call.recorded {
		call.recorded = true
		s.recordResult(endpoint, call, result)
		endpoint.destination.recordCallSize(call, result.Outcome)
	}
	message.recordCallSize(call, result.Outcome)
	s.recordPossibleRun(message, call, result.Outcome)
	if result.Outcome == Delivered && !endpoint.destination.degraded {
		endpoint.destination.healthyDeliveries++
	}
}

// endCall records that the attempt of one of a call's messages has ended. The call ends with the last of them.
func (s *Scheduler) endCall(call *call) {
	call.pending--
	if call.pending > 0 {
		return
	}
	endpoint := call.endpoint
	s.callsInFlight--
	endpoint.destination.callsInFlight--
	endpoint.calls, endpoint.idleConnection = removeFirst(endpoint.calls, call), true
	if !s.keepsIdle(endpoint) {
		s.closeIdle = append(s.closeIdle, endpoint)
	}
}

// recordPossibleRun records an attempt that may have run, which restricts retries of the message, and pauses the
// message's ordering key if the attempt may still run.
func (s *Scheduler) recordPossibleRun(message *Message, call *call, outcome Outcome) {
	if outcome.mayStillRun() && message.keyQueue != nil {
		s.pauseKey(message.keyQueue)
	}
	if outcome.mayStillRun() || outcome.isError() {
		message.recordRun(call)
	}
}

// recordRun records that a message may have run in a call. The first such call counts.
func (m *Message) recordRun(call *call) {
	if m.firstRanAt == 0 {
		m.firstRanAt, m.firstRanZone = call.began, call.endpoint.zone
	}
}
