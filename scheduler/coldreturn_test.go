package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// coldWindow is the length, in seconds, of the windows in which calls to a cold destination are counted.
const coldWindow = 1.5

// Phases of a coldRun, in seconds.
const (
	coldStart   = 100.0 // time of the first message
	healthyFor  = 20.0
	downFor     = 10.0
	observedFor = 14.0 // time after the return
	coldStep    = 0.02
)

// coldRun simulates forwarders that call a destination which fails all calls for some time and then returns cold.
type coldRun struct {
	settings   Settings
	capacity   float64 // calls per second that the destination can take
	load       float64 // messages per second as a multiple of the capacity
	forwarders []*harness
	credit     []float64 // per forwarder: messages that are due but not accepted yet
	scheduled  []int     // per forwarder: attempts whose result is scheduled
	failed     []bool    // whether each forwarder has seen a failure
	pending    []scheduledResult
	calls      []coldCall // calls after the return
}

// coldCall is a call to the destination after its return.
type coldCall struct {
	at         float64
	sawFailure bool // the forwarder had seen a failure
}

func newColdRun(forwarders int, capacity, load float64) *coldRun {
	settings := durableSettings()
	settings.Forwarders, settings.QueueCapacity, settings.ConcurrencyLimit = forwarders, 4000, 40
	r := &coldRun{settings: settings, capacity: capacity, load: load, credit: make([]float64, forwarders),
		scheduled: make([]int, forwarders), failed: make([]bool, forwarders)}
	for i := range forwarders {
		h := newSeededHarness(settings, uint64(1000*forwarders+i))
		h.addDestination(0, 0)
		r.forwarders = append(r.forwarders, h)
		r.credit[i] = float64(i) / float64(forwarders) // messages arrive evenly, not at all forwarders at once
	}
	return r
}

// step runs all forwarders for one time step.
func (r *coldRun) step(now float64) {
	for len(r.pending) > 0 && r.pending[0].at <= now {
		r.pending[0].forwarder.AttemptEnded(r.pending[0].message, r.pending[0].result)
		r.pending = r.pending[1:]
	}
	for i, h := range r.forwarders {
		h.now = now
		h.SetTime(now)
		r.credit[i] += coldStep * r.capacity * r.load / float64(len(r.forwarders))
		for ; r.credit[i] >= 1; r.credit[i]-- {
			h.accept(h.destinations[0], status, 0)
		}
		h.TimerFired()
		h.Reconcile()
		for ; r.scheduled[i] < len(h.sent); r.scheduled[i]++ {
			r.answer(i, h.sent[r.scheduled[i]].message, now)
		}
	}
}

// answer schedules the result of a forwarder's call.
func (r *coldRun) answer(forwarder int, message *Message, now float64) {
	result := AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1}
	switch {
	case now > coldStart+healthyFor && now <= coldStart+healthyFor+downFor:
		result = AttemptResult{Outcome: ServerError, Latency: 0.1}
		r.failed[forwarder] = true
	case now > coldStart+healthyFor:
		r.calls = append(r.calls, coldCall{now, r.failed[forwarder]})
	}
	r.pending = append(r.pending, scheduledResult{now + 0.1, r.forwarders[forwarder], message, result})
}

// excess returns how far the calls of the worst window, before the destination is warm, exceed the calls that the
// settings allow plus a tolerance for chance. It is negative if no window exceeds them. Windows do not count if a third
// of their calls or more came from forwarders that had seen no failure.
func (r *coldRun) excess() float64 {
	returnedAt := coldStart + healthyFor + downFor
	worst := math.Inf(-1)
	for i, from := range r.calls {
		if from.at+coldWindow > returnedAt+r.settings.SlowStartDuration {
			break
		}
		n, informed := 0, 0
		for n < len(r.calls)-i && r.calls[i+n].at < from.at+coldWindow {
			if r.calls[i+n].sawFailure {
				informed++
			}
			n++
		}
		ramp := (1 - r.settings.SlowStartShare) * (from.at - returnedAt) / r.settings.SlowStartDuration
		allowed := r.settings.OverloadMultiple * r.capacity * min(1, r.settings.SlowStartShare+ramp) * coldWindow
		if informed*3 > 2*n {
			worst = math.Max(worst, float64(n)-allowed-2*math.Sqrt(allowed)-2)
		}
	}
	return worst
}

// coldReturn returns the excess of calls in a complete run.
func coldReturn(forwarders int, capacity, load float64) float64 {
	r := newColdRun(forwarders, capacity, load)
	for now := coldStart; now < coldStart+healthyFor+downFor+observedFor; now += coldStep {
		r.step(now)
	}
	return r.excess()
}

// The calls of all forwarders together can overload a cold destination, although each forwarder knows only its own
// calls. The tolerance for chance is twice the square root of the allowed calls plus two. Some of these forwarders have
// only one or two messages each while the destination is down.
func TestFleetDoesNotOverloadColdDestination(t *testing.T) {
	for _, forwarders := range []int{20, 30, 60} {
		for _, capacity := range []float64{3, 6, 12, 20, 60} { // calls per second
			for _, load := range []float64{0.5, 0.8, 1} {
				excess := coldReturn(forwarders, capacity, load)
				require.LessOrEqual(t, excess, 0.0, "%d forwarders, %v calls per second, load %v",
					forwarders, capacity, load)
			}
		}
	}
}

// Guards against an upgrade that overloads an endpoint which was ejected or in slow start in the previous process.
func TestSuccessorKeepsEjectionAndSlowStart(t *testing.T) {
	const queued, usualRate = 30, 2.0
	for name, handedOver := range map[string]EndpointHealth{
		"ejected":    {Ejected: true, UsualRate: usualRate},
		"recovering": {RecoveringFor: 1, UsualRate: usualRate},
	} {
		for seed := range uint64(20) {
			h := newSeededHarness(testSettings, seed)
			d := h.addDestination(0, 0)
			h.RestoreHealth(d.endpoints[0], handedOver)
			for range queued {
				h.Recover(&Message{Dest: d, Tenant: 9}, status, 15, RecoveredState{})
				require.True(t, d.InheritsDemand())
				h.UncountDemand(d)
			}
			for range int(coldWindow / coldStep) {
				h.advance(coldStep)
				h.endAttempts(d, Delivered)
			}
			share := testSettings.SlowStartShare + (1-testSettings.SlowStartShare)*0.2 // at the end of the window
			n := testSettings.OverloadMultiple * usualRate * share * coldWindow
			require.LessOrEqual(t, float64(len(h.sent)), n+3*math.Sqrt(n)+3, "%s, seed %d", name, seed)
			require.NotEmpty(t, h.sent, "%s, seed %d: the endpoint is probed", name, seed)
			health, impaired := h.Health(d.endpoints[0])
			require.True(t, impaired, "%s, seed %d", name, seed)
			require.False(t, health.Ejected, "%s, seed %d: the endpoint answers", name, seed)
			require.InDelta(t, usualRate, health.UsualRate, usualRate/2, "%s, seed %d", name, seed)
		}
	}
}
