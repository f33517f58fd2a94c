package scheduler

import "fmt"

// fake is a host that writes down what it is asked to do and plays the other side at the test's word.
type fake struct {
	*Scheduler
	now  float64
	sent []transmission
	done map[*Message]string
	back map[*Message]float64
	asks int

	recalled []*Endpoint
	released []*Endpoint
	log      []string
}

type transmission struct {
	doc     *Message
	target  *Endpoint
	at      float64
	timeout float64
}

var terms = Settings{Types: []MessageType{{Idempotency: IdempotentWithKey, InOrder: true, LatencyObjective: 3, TimeToLive: 24, DeduplicationWindow: 15},
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

func start(t Settings) *fake {
	h := &fake{now: 100, done: map[*Message]string{}, back: map[*Message]float64{}}
	h.Scheduler = New(t, 7, h.now, h)
	return h
}

// receiver lists a destination with endpoints of a kind, one in each of the zones given.
func (h *fake) receiver(kind int, zones ...int) *Destination {
	d := h.NewDestination(uint64(len(h.dests)))
	for i, z := range zones {
		t := &Endpoint{ID: uint64(i)}
		h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: t, Destination: d, Kind: kind, Zone: z, State: Ready}})
	}
	return d
}

// list tells an endpoint's standing.
func (h *fake) list(t *Endpoint, s EndpointState) {
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: t, Destination: t.dest, Kind: t.dest.kind, Zone: t.zone, State: s}})
}

func (h *fake) take(d *Destination, typ int, key uint64) *Message {
	doc := &Message{ID: uint64(h.held.count), Key: key, Dest: d, Tenant: 9}
	h.Accept(doc, typ, h.terms.Types[typ].TimeToLive)
	return doc
}

func (h *fake) flood(d *Destination, typ, n int) {
	for range n {
		h.take(d, typ, 0)
	}
}

// busy has a destination take some calls in quick succession.
func (h *fake) busy(d *Destination) {
	for range 12 {
		h.take(d, status, 0)
		h.pass(0.1)
		h.answers(d, Delivered)
	}
}

// pass lets time go by in small steps.
func (h *fake) pass(seconds float64) {
	for end := h.now + seconds; h.now < end; {
		h.now += 0.02
		h.SetTime(h.now)
		h.TimerFired()
		h.Reconcile()
	}
}

func (h *fake) settle() { h.SetTime(h.now); h.Reconcile() }

// ends gives the attempt that is out for a message its ending.
func (h *fake) ends(d *Message, o Outcome, wait float64) {
	h.AttemptEnded(d, AttemptResult{Outcome: o, Final: o == Delivered, Latency: 0.1, RetryAfter: wait})
}

// answers ends all calls that are out to a destination in one way.
func (h *fake) answers(d *Destination, o Outcome) {
	for _, s := range h.sent {
		if s.doc.Dest == d && s.doc.call != nil {
			h.ends(s.doc, o, 0)
		}
	}
}

// out1 takes a message and has it sent.
func (h *fake) out1(d *Destination) *Message {
	doc := h.take(d, status, 0)
	h.pass(0.1)
	return doc
}

func (h *fake) Send(d *Message, t *Endpoint, timeout float64) {
	h.sent = append(h.sent, transmission{d, t, h.now, timeout})
}
func (h *fake) Reject(d *Message, comeBack float64) { h.done[d] += "rejected"; h.back[d] = comeBack }
func (h *fake) Fail(d *Message)                     { h.done[d] += "abandoned" }
func (h *fake) CancelUnsent(t *Endpoint)            { h.recalled = append(h.recalled, t) }
func (h *fake) CloseIdle(t *Endpoint)               { h.log = append(h.log, fmt.Sprint("close ", t.ID)) }
func (h *fake) ReleaseEndpoint(t *Endpoint)         { h.released = append(h.released, t) }
func (h *fake) Wake(float64)                        {}
func (h *fake) WatchEndpoints()                     { h.asks++ }
func (h *fake) Log(line string)                     { h.log = append(h.log, line) }
