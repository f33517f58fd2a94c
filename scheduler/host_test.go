package scheduler

import "fmt"

// fake is a host that writes down what it is asked to do and plays the other side at the test's word.
type fake struct {
	*Scheduler
	now         float64
	sent        []sentCall
	done        map[*Message]string
	retryAfters map[*Message]float64
	polls       int

	cancelled []*Endpoint
	released  []*Endpoint
	log       []string
}

type sentCall struct {
	message  *Message
	endpoint *Endpoint
	at       float64
	timeout  float64
}

var testSettings = Settings{Types: []MessageType{{Idempotency: IdempotentWithKey, InOrder: true, LatencyObjective: 3, TimeToLive: 24, DeduplicationWindow: 15},
	{Idempotency: Idempotent, LatencyObjective: 3, TimeToLive: 20}, {Idempotency: AtMostOnce, LatencyObjective: 3, TimeToLive: 20},
	{Idempotency: IdempotentWithKey, DeduplicatedPerZone: true, LatencyObjective: 3, TimeToLive: 20, DeduplicationWindow: 5}},
	KindBatchSize: []int{1, 10}, KindEndpointLimits: []bool{false, false, true}, Forwarders: 2, ConcurrencyLimit: 8, QueueCapacity: 40,
	MaxAttempts: 6, KeyCooldown: 0.1, SlowStartShare: 0.2, SlowStartDuration: 10, IdleTimeout: 10, OverloadMultiple: 2, MaxRetryAfter: 2}

const (
	ticket = iota
	status
	payment
	zoned
)

func newFake(t Settings) *fake {
	h := &fake{now: 100, done: map[*Message]string{}, retryAfters: map[*Message]float64{}}
	h.Scheduler = New(t, 7, h.now, h)
	return h
}

// addDestination lists a destination with endpoints of a kind, one in each of the zones given.
func (h *fake) addDestination(kind int, zones ...int) *Destination {
	d := h.NewDestination(uint64(len(h.destinations)))
	for i, z := range zones {
		t := &Endpoint{ID: uint64(i)}
		h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: t, Destination: d, Kind: kind, Zone: z, State: Ready}})
	}
	return d
}

// updateState tells an endpoint's standing.
func (h *fake) updateState(t *Endpoint, s EndpointState) {
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: t, Destination: t.destination, Kind: t.destination.kind, Zone: t.zone, State: s}})
}

func (h *fake) accept(d *Destination, messageType int, key uint64) *Message {
	message := &Message{ID: uint64(h.held.count), Key: key, Dest: d, Tenant: 9}
	h.Accept(message, messageType, h.settings.Types[messageType].TimeToLive)
	return message
}

func (h *fake) flood(d *Destination, messageType, n int) {
	for range n {
		h.accept(d, messageType, 0)
	}
}

// keepBusy has a destination take some calls in quick succession.
func (h *fake) keepBusy(d *Destination) {
	for range 12 {
		h.accept(d, status, 0)
		h.advance(0.1)
		h.endAttempts(d, Delivered)
	}
}

// advance lets time go by in small steps.
func (h *fake) advance(seconds float64) {
	for end := h.now + seconds; h.now < end; {
		h.now += 0.02
		h.SetTime(h.now)
		h.TimerFired()
		h.Reconcile()
	}
}

func (h *fake) reconcile() { h.SetTime(h.now); h.Reconcile() }

// endAttempt gives the attempt that is out for a message its ending.
func (h *fake) endAttempt(message *Message, o Outcome, wait float64) {
	h.AttemptEnded(message, AttemptResult{Outcome: o, Final: o == Delivered, Latency: 0.1, RetryAfter: wait})
}

// endAttempts ends all calls that are out to a destination in one way.
func (h *fake) endAttempts(d *Destination, o Outcome) {
	for _, s := range h.sent {
		if s.message.Dest == d && s.message.call != nil {
			h.endAttempt(s.message, o, 0)
		}
	}
}

// sendOne takes a message and has it sent.
func (h *fake) sendOne(d *Destination) *Message {
	message := h.accept(d, status, 0)
	h.advance(0.1)
	return message
}

func (h *fake) Send(message *Message, t *Endpoint, timeout float64) {
	h.sent = append(h.sent, sentCall{message, t, h.now, timeout})
}
func (h *fake) Reject(message *Message, comeBack float64) {
	h.done[message] += "rejected"
	h.retryAfters[message] = comeBack
}
func (h *fake) Fail(message *Message)       { h.done[message] += "abandoned" }
func (h *fake) CancelUnsent(t *Endpoint)    { h.cancelled = append(h.cancelled, t) }
func (h *fake) CloseIdle(t *Endpoint)       { h.log = append(h.log, fmt.Sprint("close ", t.ID)) }
func (h *fake) ReleaseEndpoint(t *Endpoint) { h.released = append(h.released, t) }
func (h *fake) Wake(float64)                {}
func (h *fake) WatchEndpoints()             { h.polls++ }
func (h *fake) Log(line string)             { h.log = append(h.log, line) }
