package measure

import "spanflow/scheduler"

const (
	startTime         = 100.0 // time of the clock when the scheduler starts; not 0, which means never
	messageTimeToLive = 1e6   // seconds
	blockedTime       = 1e5   // seconds; shorter than the time to live, so that blocked messages do not expire
	callLatency       = 0.05  // seconds
	typicalSize       = 500   // size of a message in bytes
)

// host counts the scheduler's decisions and carries out none of them.
type host struct {
	inFlight []*scheduler.Message
	ended    int // messages that were rejected or failed
	released int // endpoints that were released
}

// Send records the message as one with an attempt in flight.
func (h *host) Send(message *scheduler.Message, _ *scheduler.Endpoint, _ float64) {
	h.inFlight = append(h.inFlight, message)
}

// Reject counts a message as ended.
func (h *host) Reject(*scheduler.Message, float64) { h.ended++ }

// Fail counts a message as ended.
func (h *host) Fail(*scheduler.Message) { h.ended++ }

// CancelUnsent does nothing because every call counts as sent at once.
func (h *host) CancelUnsent(*scheduler.Endpoint) {}

// CancelAttempt returns false because every call counts as sent at once.
func (h *host) CancelAttempt(*scheduler.Message) bool { return false }

// CloseIdle does nothing because there are no connections.
func (h *host) CloseIdle(*scheduler.Endpoint) {}

// ReleaseEndpoint counts a released endpoint.
func (h *host) ReleaseEndpoint(*scheduler.Endpoint) { h.released++ }

// Wake does nothing because the measurement sets the clock itself.
func (h *host) Wake(float64) {}

// WatchEndpoints does nothing because the measurement updates the endpoints itself.
func (h *host) WatchEndpoints() {}

// Log discards the line.
func (h *host) Log(string) {}

// measuredScheduler is a scheduler with a simulated clock.
type measuredScheduler struct {
	*scheduler.Scheduler
	host         *host
	now          float64
	destinations []*scheduler.Destination
	endpoints    []*scheduler.Endpoint
}

// newScheduler starts a scheduler with a queue capacity in messages.
func newScheduler(capacity int, seed uint64) *measuredScheduler {
	settings := scheduler.Settings{
		Types:         []scheduler.MessageType{{Idempotency: scheduler.Idempotent, LatencyObjective: 3, TimeToLive: messageTimeToLive, Value: 1}},
		KindBatchSize: []int{1}, KindEndpointLimits: []bool{false}, Forwarders: 1, ConcurrencyLimit: 256, QueueCapacity: capacity, MaxAttempts: 6, KeyCooldown: 0.1,
		SlowStartShare: 0.2, SlowStartDuration: 10, IdleTimeout: 10, OverloadMultiple: 2, MaxRetryAfter: 2,
	}
	s := &measuredScheduler{host: &host{}, now: startTime}
	s.Scheduler = scheduler.New(settings, seed, s.now, s.host)
	s.SetTime(s.now)
	return s
}

// addDestination creates a destination with one endpoint and returns its entry in the list.
func (s *measuredScheduler) addDestination() scheduler.EndpointUpdate {
	number := uint64(len(s.destinations))
	d, t := s.NewDestination(number), &scheduler.Endpoint{ID: number}
	s.destinations, s.endpoints = append(s.destinations, d), append(s.endpoints, t)
	return scheduler.EndpointUpdate{Endpoint: t, Destination: d, State: scheduler.Ready}
}

// addDestinations adds destinations to the scheduler in the form of a full list, and returns the list.
func (s *measuredScheduler) addDestinations(destinations int) []scheduler.EndpointUpdate {
	lines := make([]scheduler.EndpointUpdate, 0, destinations)
	for range destinations {
		lines = append(lines, s.addDestination())
	}
	s.UpdateEndpoints(true, lines)
	s.Reconcile()
	return lines
}

// advance moves the clock forward by seconds.
func (s *measuredScheduler) advance(seconds float64) {
	s.now += seconds
	s.SetTime(s.now)
}

func (s *measuredScheduler) accept(d *scheduler.Destination, number int) {
	s.Accept(&scheduler.Message{ID: uint64(number), Dest: d, Size: typicalSize}, 0, messageTimeToLive)
}

// deliver accepts a message and ends its call successfully, so that the scheduler takes all decisions about it.
func (s *measuredScheduler) deliver(to *scheduler.Destination) {
	s.advance(0.001)
	s.accept(to, 0)
	s.Reconcile()
	for _, d := range s.host.inFlight {
		s.AttemptEnded(d, scheduler.AttemptResult{Outcome: scheduler.Delivered, Final: true, Latency: callLatency})
	}
	s.host.inFlight = s.host.inFlight[:0]
	s.Reconcile()
}

// block makes a destination answer a call with a Retry-After that is shorter than a message's time to live.
func (s *measuredScheduler) block(d *scheduler.Destination) {
	s.accept(d, 0)
	s.Reconcile()
	for _, message := range s.host.inFlight {
		s.AttemptEnded(message, scheduler.AttemptResult{Outcome: scheduler.Overloaded, Latency: callLatency, RetryAfter: blockedTime})
	}
	s.host.inFlight = s.host.inFlight[:0]
	s.Reconcile()
}
