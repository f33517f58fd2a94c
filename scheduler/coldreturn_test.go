package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// coldWindow is the time in which calls to a cold destination are counted, in seconds.
const coldWindow = 1.5

// Phases of a cold return, in seconds.
const (
	coldStart   = 100.0 // time of the first message
	healthyFor  = 20.0
	downFor     = 10.0
	observedFor = 14.0
	coldStep    = 0.02
)

// coldRun is a fleet of forwarders that call a destination which fails all calls for some time and returns cold.
type coldRun struct {
	settings   Settings
	capacity   float64 // calls a second that the destination can take
	load       float64 // messages a second, in units of the capacity
	forwarders []*harness
	credit     []float64 // messages due at each forwarder
	noted      []int     // attempts of each forwarder that were answered
	failed     []bool    // forwarders that have seen a failure
	pending    []scheduledResult
	calls      []coldCall // since the destination went down, without those that failed
}

// coldCall is a call to the destination after its return.
type coldCall struct {
	at     float64
	warned bool // its forwarder had seen a failure
}

func newColdRun(forwarders int, capacity, load float64) *coldRun {
	settings := socketSettings()
	settings.Forwarders, settings.QueueCapacity, settings.ConcurrencyLimit = forwarders, 4000, 40
	r := &coldRun{settings: settings, capacity: capacity, load: load, credit: make([]float64, forwarders),
		noted: make([]int, forwarders), failed: make([]bool, forwarders)}
	for i := range forwarders {
		h := newSeededHarness(settings, uint64(1000*forwarders+i))
		h.addDestination(0, 0)
		r.forwarders = append(r.forwarders, h)
		r.credit[i] = float64(i) / float64(forwarders) // messages come evenly, not to all at once
	}
	return r
}

// step lets the fleet run at one moment.
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
		for ; r.noted[i] < len(h.sent); r.noted[i]++ {
			r.answer(i, h.sent[r.noted[i]].message, now)
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

// excess returns by how much, in the worst window until the destination is warm, the calls exceed what the settings
// allow and what is attributed to chance; negative: the least margin that was left. Windows in which a third of the
// calls or more came from forwarders that had seen no failure do not count.
func (r *coldRun) excess() float64 {
	back := coldStart + healthyFor + downFor
	worst := math.Inf(-1)
	for i, from := range r.calls {
		if from.at+coldWindow > back+r.settings.SlowStartDuration {
			break
		}
		n, warned := 0, 0
		for n < len(r.calls)-i && r.calls[i+n].at < from.at+coldWindow {
			if r.calls[i+n].warned {
				warned++
			}
			n++
		}
		ramp := (1 - r.settings.SlowStartShare) * (from.at - back) / r.settings.SlowStartDuration
		allowed := r.settings.OverloadMultiple * r.capacity * min(1, r.settings.SlowStartShare+ramp) * coldWindow
		if warned*3 > 2*n {
			worst = math.Max(worst, float64(n)-allowed-2*math.Sqrt(allowed)-2)
		}
	}
	return worst
}

// coldReturn returns the excess of calls in a whole run.
func coldReturn(forwarders int, capacity, load float64) float64 {
	r := newColdRun(forwarders, capacity, load)
	for now := coldStart; now < coldStart+healthyFor+downFor+observedFor; now += coldStep {
		r.step(now)
	}
	return r.excess()
}

// A cold destination is overloaded by the sum of what all forwarders send. Each judges by its own part, and beyond what
// the settings allow only twice the square root of it and two are attributed to chance. Some of these forwarders have
// only a message or two each while the destination is down.
func TestFleetDoesNotOverloadColdDestination(t *testing.T) {
	for _, forwarders := range []int{20, 30, 60} {
		for _, capacity := range []float64{3, 6, 12, 20, 60} { // calls a second
			for _, load := range []float64{0.5, 0.8, 1} {
				beyond := coldReturn(forwarders, capacity, load)
				require.LessOrEqual(t, beyond, 0.0, "%d forwarders, %v calls a second, load %v",
					forwarders, capacity, load)
			}
		}
	}
}

// Guards against an upgrade that overloads an endpoint which the process before was bringing back slowly.
func TestSuccessorKeepsEjectionAndSlowStart(t *testing.T) {
	const waiting, usualRate = 30, 2.0
	for name, handedOver := range map[string]EndpointHealth{
		"ejected":    {Ejected: true, UsualRate: usualRate},
		"recovering": {RecoveringFor: 1, UsualRate: usualRate},
	} {
		for seed := range uint64(20) {
			h := newSeededHarness(testSettings, seed)
			d := h.addDestination(0, 0)
			h.RestoreHealth(d.endpoints[0], handedOver)
			for range waiting {
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
			require.NotEmpty(t, h.sent, "%s, seed %d: it is tried", name, seed)
			again, impaired := h.Health(d.endpoints[0])
			require.True(t, impaired, "%s, seed %d", name, seed)
			require.False(t, again.Ejected, "%s, seed %d: it answers", name, seed)
			require.InDelta(t, usualRate, again.UsualRate, usualRate/2, "%s, seed %d", name, seed)
		}
	}
}
