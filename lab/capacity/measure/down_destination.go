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
	vainCalls    = quantity{"calls to a destination that is down for a minute", "forwarders", "calls"}
	returnCalls  = quantity{"calls in the first second of its return", "forwarders", "calls"}
	returnBudget = quantity{"budget of the first second of its return", "forwarders", "calls"}
)

// outageScenario is a run of one destination that refuses connections for a minute.
//
//go:embed down.toml
var outageScenario []byte

const (
	outageDays   = 5 // of which the mean is taken
	quickDays    = 2
	returnSecond = 1.0 // seconds that are counted from the end of the outage on
)

// measureDownDestination plays a destination that is down for a minute before fleets of several sizes, all of which
// serve it, simulated with the real scheduler.
func measureDownDestination(t *trial) error {
	return t.sweep("simulated days", 1, quadratically, sizes(t.Largest), t.outage)
}

func (t *trial) outage(forwarders int) error {
	day, err := scenario.Parse("down.toml", outageScenario)
	if err != nil {
		return err
	}
	day.Dispatch.Forwarders = forwarders
	vain, returning := 0, 0
	days := uint64(outageDays)
	if t.quick {
		days = quickDays
	}
	for n := range days {
		if err := t.ctx.Err(); err != nil {
			return err
		}
		count := &outageCount{from: float64(day.Faults[0].At), to: float64(day.Faults[0].At + day.Faults[0].For)}
		result := sim.Play(day, t.Seed+n, count.policy)
		if result.Accepted == 0 {
			return fmt.Errorf("no message was taken on with %d forwarders", forwarders)
		}
		vain, returning = vain+count.vain, returning+count.returning
	}
	size := float64(forwarders)
	t.record(vainCalls, size, float64(vain)/float64(days))
	t.record(returnCalls, size, float64(returning)/float64(days))
	t.record(returnBudget, size, budget(allowedCalls(day)))
	return nil
}

// allowedCalls is how many calls a destination of the scenario that has just recovered takes in a second.
func allowedCalls(day *scenario.Scenario) float64 {
	p := &day.Receivers[0]
	capacity := float64(p.Concurrency*p.Endpoints) / float64(p.Mean)
	if p.Rate > 0 {
		capacity = math.Min(capacity, p.Rate)
	}
	return day.Dispatch.OverloadMultiple * day.Dispatch.SlowStartShare * capacity * returnSecond
}

// budget is the number of calls above which a recovering destination that can take allowed calls fails: these and a
// margin for chance, as the operators' pages state it.
func budget(allowed float64) float64 { return allowed + 2*math.Sqrt(allowed) + 2 }

// outageCount counts the calls of all forwarders in an outage and just after it.
type outageCount struct {
	from, to  float64 // of the outage, in seconds from the run's beginning
	runStart  float64 // of the run, on the simulated clock
	vain      int
	returning int
}

// policy is the scheduler, with its calls counted.
func (o *outageCount) policy(terms scheduler.Settings, seed uint64, now float64, to scheduler.Host) sim.Policy {
	if o.runStart == 0 {
		o.runStart = now // the first forwarder starts with the run
	}
	counting := &countingHost{Host: to, count: o, now: now}
	return &countingScheduler{Scheduler: scheduler.New(terms, seed, now, counting), host: counting}
}

// sent counts a call.
func (o *outageCount) sent(now float64) {
	switch at := now - o.runStart; {
	case at >= o.from && at < o.to:
		o.vain++
	case at >= o.to && at < o.to+returnSecond:
		o.returning++
	}
}

// countingScheduler is a scheduler whose host knows the time.
type countingScheduler struct {
	*scheduler.Scheduler
	host *countingHost
}

// SetTime sets the time of both.
func (c *countingScheduler) SetTime(now float64) {
	c.host.now = now
	c.Scheduler.SetTime(now)
}

// countingHost passes on what the scheduler decides, and counts calls.
type countingHost struct {
	scheduler.Host
	count *outageCount
	now   float64
}

// Send counts a call; the scenario's destinations take one message in each.
func (h *countingHost) Send(d *scheduler.Message, t *scheduler.Endpoint, timeout float64) {
	h.count.sent(h.now)
	h.Host.Send(d, t, timeout)
}
