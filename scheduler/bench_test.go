package scheduler

import (
	"fmt"
	"testing"
)

// bare is a host that keeps only what is to be answered.
type bare struct{ out []*Message }

func (b *bare) Send(message *Message, _ *Endpoint, _ float64) { b.out = append(b.out, message) }
func (b *bare) Reject(*Message, float64)                      {}
func (b *bare) Fail(*Message)                                 {}
func (b *bare) CancelUnsent(*Endpoint)                        {}
func (b *bare) CloseIdle(*Endpoint)                           {}
func (b *bare) ReleaseEndpoint(*Endpoint)                     {}
func (b *bare) Wake(float64)                                  {}
func (b *bare) WatchEndpoints()                               {}
func (b *bare) Log(string)                                    {}

const benchLife = 1e6 // seconds

func benchTerms(room int) Settings {
	t := testSettings
	t.Types, t.ConcurrencyLimit, t.QueueCapacity = []MessageType{{Idempotency: Idempotent, LatencyObjective: 3, TimeToLive: benchLife}}, 256, room
	return t
}

// decide takes a message, lets the scheduler settle, ends the call and lets it settle: one message's decisions.
func decide(s *Scheduler, h *bare, now *float64, to *Destination) {
	*now += 0.001
	s.SetTime(*now)
	s.Accept(&Message{Dest: to, Tenant: 9}, 0, benchLife)
	s.Reconcile()
	for _, message := range h.out {
		s.AttemptEnded(message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
	}
	h.out = h.out[:0]
	s.Reconcile()
}

// BenchmarkDestinations is the cost of a message's decisions with so many destinations known, 100 of them in use.
func BenchmarkDestinations(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h, now := &bare{}, 100.0
			s := New(benchTerms(1000), 7, now, h)
			var destinations []*Destination
			for i := range n {
				d := s.NewDestination(uint64(i))
				s.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{ID: uint64(i)}, Destination: d, State: Ready}})
				destinations = append(destinations, d)
			}
			s.Reconcile()
			i := 0
			for b.Loop() {
				decide(s, h, &now, destinations[i%min(n, 100)*(n/min(n, 100))])
				i++
			}
		})
	}
}

// BenchmarkHeld is the same with so many messages held for a destination that told a wait. The wait is shorter than
// their life, so that they stay held while the benchmark runs.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, h, now, other := heldFor(n)
			for b.Loop() {
				decide(s, h, &now, other)
			}
			b.StopTimer()
			if s.held.count != n+1 { // the one that told the wait waits as well
				b.Fatalf("%d messages are held in place of %d", s.held.count, n+1)
			}
		})
	}
}
