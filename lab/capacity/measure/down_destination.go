package measure

import (
	_ "embed"
	"fmt"
	"math"

	"spanflow/lab/scenario"
	"spanflow/lab/sim"
	"spanflow/scheduler"
)

var (
	failedCalls    = quantity{"calls to a destination that is down for a minute", "forwarders", "calls"}
	recoveryCalls  = quantity{"calls in the first second of its return", "forwarders", "calls"}
	recoveryBudget = quantity{"budget of the first second of its return", "forwarders", "calls"}
)

// outageScenario has one destination, which refuses connections for a minute.
//
//go:embed down.toml
var outageScenario []byte

const (
	outageRuns      = 5 // number of runs that are averaged
	quickOutageRuns = 2
	recoveryWindow  = 1.0 // seconds after the end of the outage in which calls are counted
)

// measureDownDestination simulates fleets of several sizes, with the real scheduler. All forwarders of a fleet serve
// the same destination, which is down for a minute.
func measureDownDestination(t *trial) error {
	return t.sweep("simulated outages", 1, quadraticTime, sizes(t.Largest), t.outage)
}

func (t *trial) outage(forwarders int) error {
	sc, err := scenario.Parse("down.toml", outageScenario)
	if err != nil {
		return err
	}
	sc.Dispatch.Forwarders = forwarders
	failed, recovering := 0, 0
	runs := uint64(outageRuns)
	if t.quick {
		runs = quickOutageRuns
	}
	for n := range runs {
		if err := t.ctx.Err(); err != nil {
			return err
		}
		count := &outageCount{from: float64(sc.Faults[0].At), to: float64(sc.Faults[0].At + sc.Faults[0].For)}
		result := sim.Play(sc, t.Seed+n, count.policy)
		if result.Accepted == 0 {
			return fmt.Errorf("no message was accepted with %d forwarders", forwarders)
		}
		failed, recovering = failed+count.failed, recovering+count.recovering
	}
	size := float64(forwarders)
	t.record(failedCalls, size, float64(failed)/float64(runs))
	t.record(recoveryCalls, size, float64(recovering)/float64(runs))
	t.record(recoveryBudget, size, budget(allowedCalls(sc)))
	return nil
}

// allowedCalls returns how many calls a destination of the scenario can take in the first second of its recovery.
func allowedCalls(sc *scenario.Scenario) float64 {
	r := &sc.Receivers[0]
	capacity := float64(r.Concurrency*r.Endpoints) / float64(r.Mean)
	if r.Rate > 0 {
		capacity = math.Min(capacity, r.Rate)
	}
	return sc.Dispatch.OverloadMultiple * sc.Dispatch.SlowStartShare * capacity * recoveryWindow
}

// budget returns the maximum number of calls that a recovering destination may get if it can take the allowed number.
// The margin for random variation is the one that the operators' pages state.
func budget(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// outageCount counts the calls of all forwarders during an outage and in the second after it.
type outageCount struct {
	from, to   float64 // start and end of the outage, in seconds since the start of the run
	runStart   float64 // simulated time at which the run starts
	failed     int
	recovering int
}

// policy starts a scheduler whose calls are counted.
func (o *outageCount) policy(settings scheduler.Settings, seed uint64, now float64, inner scheduler.Host) sim.Policy {
	if o.runStart == 0 {
		o.runStart = now // the first forwarder starts with the run
	}
	counting := &countingHost{Host: inner, count: o, now: now}
	return &countingScheduler{Scheduler: scheduler.New(settings, seed, now, counting), host: counting}
}

// sent counts a call that is sent at the given simulated time.
func (o *outageCount) sent(now float64) {
	switch at := now - o.runStart; {
	case at >= o.from && at < o.to:
		o.failed++
	case at >= o.to && at < o.to+recoveryWindow:
		o.recovering++
	}
}

// countingScheduler is a scheduler that also passes the time to its host.
type countingScheduler struct {
	*scheduler.Scheduler
	host *countingHost
}

// SetTime sets the time of the scheduler and of its host.
func (c *countingScheduler) SetTime(now float64) {
	c.host.now = now
	c.Scheduler.SetTime(now)
}

// countingHost forwards the scheduler's decisions to another host and counts calls.
type countingHost struct {
	scheduler.Host
	count *outageCount
	now   float64
}

// Send counts each message as a call, because the scenario's calls carry one message each.
func (h *countingHost) Send(message *scheduler.Message, endpoint *scheduler.Endpoint, timeout float64) {
	h.count.sent(h.now)
	h.Host.Send(message, endpoint, timeout)
}
