package scheduler

import (
	"fmt"
	"testing"
)

// recordingHost is a host that keeps only what is to be answered.
type recordingHost struct{ sent []*Message }

func (b *recordingHost) Send(message *Message, _ *Endpoint, _ float64) {
	b.sent = append(b.sent, message)
}
func (b *recordingHost) Reject(*Message, float64)  {}
func (b *recordingHost) Fail(*Message)             {}
func (b *recordingHost) CancelUnsent(*Endpoint)    {}
func (b *recordingHost) CloseIdle(*Endpoint)       {}
func (b *recordingHost) ReleaseEndpoint(*Endpoint) {}
func (b *recordingHost) Wake(float64)              {}
func (b *recordingHost) WatchEndpoints()           {}
func (b *recordingHost) Log(string)                {}

const benchLife = 1e6 // seconds

func benchSettings(room int) Settings {
	t := testSettings
	t.Types = []MessageType{{Idempotency: Idempotent, LatencyObjective: 3, TimeToLive: benchLife}}
	t.ConcurrencyLimit, t.QueueCapacity = 256, room
	return t
}

// deliverOne accepts a message, reconciles, ends the call and reconciles again: one message's decisions.
func deliverOne(s *Scheduler, h *recordingHost, now *float64, to *Destination) {
	*now += 0.001
	s.SetTime(*now)
	s.Accept(&Message{Dest: to, Tenant: 9}, 0, benchLife)
	s.Reconcile()
	for _, message := range h.sent {
		s.AttemptEnded(message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
	}
	h.sent = h.sent[:0]
	s.Reconcile()
}

// BenchmarkDestinations is the cost of a message's decisions with so many destinations known, 100 of them in use.
func BenchmarkDestinations(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h, now := &recordingHost{}, 100.0
			s := New(benchSettings(1000), 7, now, h)
			var destinations []*Destination
			for i := range n {
				d := s.NewDestination(uint64(i))
				endpoint := &Endpoint{ID: uint64(i)}
				s.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: endpoint, Destination: d, State: Ready}})
				destinations = append(destinations, d)
			}
			s.Reconcile()
			i := 0
			for b.Loop() {
				deliverOne(s, h, &now, destinations[i%min(n, 100)*(n/min(n, 100))])
				i++
			}
		})
	}
}

// BenchmarkHeld is the same with so many messages held for a destination that sent a Retry-After. It is shorter than
// their life, so that they stay held while the benchmark runs.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, h, now, other := newHeld(n)
			for b.Loop() {
				deliverOne(s, h, &now, other)
			}
			b.StopTimer()
			if s.held.count != n+1 { // the one that got the Retry-After waits as well
				b.Fatalf("%d messages are held in place of %d", s.held.count, n+1)
			}
		})
	}
}
