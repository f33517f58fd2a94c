package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// coldWindow is the time in which calls to a cold destination are counted, in seconds.
const coldWindow = 1.5

// coldReturn lets a fleet of forwarders call a destination that does so many calls a second, fails all of them for ten
// seconds and returns cold. It returns by how much the calls in any window until it is warm exceed what the settings
// allow in it and what is put down to chance; negative: the least room that was left. Windows in which a third of the
// calls or more came from forwarders that had seen no failure there do not count.
func coldReturn(t *testing.T, forwarders int, capacity, load float64) (worst float64) {
	t.Helper()
	const step, wellFor, downFor, watchedFor = 0.02, 20.0, 10.0, 14.0
	terms := socketSettings()
	terms.Forwarders, terms.QueueCapacity, terms.ConcurrencyLimit = forwarders, 4000, 40
	var nodes []*fake
	for i := range forwarders {
		h := &fake{now: 100, done: map[*Message]string{}, retryAfters: map[*Message]float64{}}
		h.Scheduler = New(terms, uint64(1000*forwarders+i), h.now, h)
		h.addDestination(0, 0)
		nodes = append(nodes, h)
	}
	seen, credit := make([]int, forwarders), make([]float64, forwarders)
	for i := range credit { // messages come evenly, not to all at once
		credit[i] = float64(i) / float64(forwarders)
	}
	var late []scheduledResult
	type call struct {
		at   float64
		told bool
	}
	var calls []call
	told := make([]bool, forwarders)
	for now := 100.0; now < 100+wellFor+downFor+watchedFor; now += step {
		for len(late) > 0 && late[0].at <= now {
			late[0].forwarder.AttemptEnded(late[0].message, late[0].result)
			late = late[1:]
		}
		down := now > 100+wellFor && now <= 100+wellFor+downFor
		for i, h := range nodes {
			h.now = now
			h.SetTime(now)
			for credit[i] += step * capacity * load / float64(forwarders); credit[i] >= 1; credit[i]-- {
				h.accept(h.destinations[0], status, 0)
			}
			h.TimerFired()
			h.Reconcile()
			for ; seen[i] < len(h.sent); seen[i]++ {
				end := AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1}
				if down {
					end = AttemptResult{Outcome: ServerError, Latency: 0.1}
					told[i] = true
				} else if now > 100+wellFor {
					calls = append(calls, call{now, told[i]})
				}
				late = append(late, scheduledResult{now + 0.1, h, h.sent[seen[i]].message, end})
			}
		}
	}
	back := 100 + wellFor + downFor
	worst = math.Inf(-1)
	for i, from := range calls {
		if from.at+coldWindow > back+terms.SlowStartDuration {
			break
		}
		n, knew := 0, 0
		for n < len(calls)-i && calls[i+n].at < from.at+coldWindow {
			if calls[i+n].told {
				knew++
			}
			n++
		}
		warm := min(1, terms.SlowStartShare+(1-terms.SlowStartShare)*(from.at-back)/terms.SlowStartDuration)
		allowed := terms.OverloadMultiple * capacity * warm * coldWindow
		beyond := float64(n) - allowed - 2*math.Sqrt(allowed) - 2
		if knew*3 > 2*n {
			worst = math.Max(worst, beyond)
		}
	}
	return worst
}

// A cold destination falls under the sum of what all forwarders send. Each judges by its own part, and beyond what the
// settings allow only twice the root of it and two are put down to chance. Some of these have but a message or
// two each while the destination is down.
func TestTheSumOfManyForwardersDoesNotPushOverAColdDestination(t *testing.T) {
	for _, forwarders := range []int{20, 30, 60} {
		for _, capacity := range []float64{3, 6, 12, 20, 60} { // calls a second
			for _, load := range []float64{0.5, 0.8, 1} {
				beyond := coldReturn(t, forwarders, capacity, load)
				require.LessOrEqual(t, beyond, 0.0, "%d forwarders, %v calls a second, load %v", forwarders, capacity, load)
			}
		}
	}
}
