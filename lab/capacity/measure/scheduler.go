package measure

import "spanflow/scheduler"

const (
	startTime         = 100.0 // the scheduler's clock at its start; 0 stands for never
	messageTimeToLive = 1e6   // seconds
	blockedTime       = 1e5   // seconds, shorter than the time to live, so that what waits is held and not given up
	callLatency       = 0.05  // seconds
	typicalSize       = 500   // bytes of a message as the scheduler counts them
)

// host carries out nothing and counts what the scheduler decides.
type host struct {
	out      []*scheduler.Message
	ended    int // messages that were rejected or given up
	released int // endpoints
}

// Send keeps the message as one with an attempt in flight.
func (h *host) Send(message *scheduler.Message, _ *scheduler.Endpoint, _ float64) {
	h.out = append(h.out, message)
}

// Reject counts a message as ended.
func (h *host) Reject(*scheduler.Message, float64) { h.ended++ }

// Fail counts a message as ended.
func (h *host) Fail(*scheduler.Message) { h.ended++ }

// CancelUnsent does nothing: each call counts as sent at once.
func (h *host) CancelUnsent(*scheduler.Endpoint) {}

// CloseIdle does nothing: there are no connections.
func (h *host) CloseIdle(*scheduler.Endpoint) {}

// ReleaseEndpoint counts a released endpoint.
func (h *host) ReleaseEndpoint(*scheduler.Endpoint) { h.released++ }

// Wake does nothing: the measurement sets the clock itself.
func (h *host) Wake(float64) {}

// WatchEndpoints does nothing: the measurement updates the endpoints itself.
func (h *host) WatchEndpoints() {}

// Log drops the line.
func (h *host) Log(string) {}

// measuredScheduler is the scheduler with a clock of its own.
type measuredScheduler struct {
	*scheduler.Scheduler
	host         *host
	now          float64
	destinations []*scheduler.Destination
	targets      []*scheduler.Endpoint
}

// newScheduler starts a scheduler that holds up to so many messages.
func newScheduler(capacity int, seed uint64) *measuredScheduler {
	terms := scheduler.Settings{
		Types:         []scheduler.MessageType{{Idempotency: scheduler.Idempotent, LatencyObjective: 3, TimeToLive: messageTimeToLive, Value: 1}},
		KindBatchSize: []int{1}, KindEndpointLimits: []bool{false}, Forwarders: 1, ConcurrencyLimit: 256, QueueCapacity: capacity, MaxAttempts: 6, KeyCooldown: 0.1,
		SlowStartShare: 0.2, SlowStartDuration: 10, IdleTimeout: 10, OverloadMultiple: 2, MaxRetryAfter: 2,
	}
	s := &measuredScheduler{host: &host{}, now: startTime}
	s.Scheduler = scheduler.New(terms, seed, s.now, s.host)
	s.SetTime(s.now)
	return s
}

// addDestination makes a destination with one endpoint and returns its line of the list.
func (s *measuredScheduler) addDestination() scheduler.EndpointUpdate {
	number := uint64(len(s.destinations))
	d, t := s.NewDestination(number), &scheduler.Endpoint{ID: number}
	s.destinations, s.targets = append(s.destinations, d), append(s.targets, t)
	return scheduler.EndpointUpdate{Endpoint: t, Destination: d, State: scheduler.Ready}
}

// addDestinations makes so many destinations known, by a full list, and returns the list.
func (s *measuredScheduler) addDestinations(destinations int) []scheduler.EndpointUpdate {
	lines := make([]scheduler.EndpointUpdate, 0, destinations)
	for range destinations {
		lines = append(lines, s.addDestination())
	}
	s.UpdateEndpoints(true, lines)
	s.Reconcile()
	return lines
}

// advance moves the clock on.
func (s *measuredScheduler) advance(seconds float64) {
	s.now += seconds
	s.SetTime(s.now)
}

func (s *measuredScheduler) accept(d *scheduler.Destination, number int) {
	s.Accept(&scheduler.Message{ID: uint64(number), Dest: d, Size: typicalSize}, 0, messageTimeToLive)
}

// deliver takes a message and ends its call well: all decisions of one message.
func (s *measuredScheduler) deliver(to *scheduler.Destination) {
	s.advance(0.001)
	s.accept(to, 0)
	s.Reconcile()
	for _, d := range s.host.out {
		s.AttemptEnded(d, scheduler.AttemptResult{Outcome: scheduler.Delivered, Final: true, Latency: callLatency})
	}
	s.host.out = s.host.out[:0]
	s.Reconcile()
}

// block makes a destination send a retry-after that is shorter than a message's time to live.
func (s *measuredScheduler) block(d *scheduler.Destination) {
	s.accept(d, 0)
	s.Reconcile()
	for _, out := range s.host.out {
		s.AttemptEnded(out, scheduler.AttemptResult{Outcome: scheduler.Overloaded, Latency: callLatency, RetryAfter: blockedTime})
	}
	s.host.out = s.host.out[:0]
	s.Reconcile()
}
