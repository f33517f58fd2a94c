// Package sim plays a scene on a simulated clock: whole fleets of forwarders, each the real scheduler, in one
// process. The same scene and seed give the same result, to the byte, on any number of cores.
package sim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"spanflow/lab/audit"
	"spanflow/lab/clock"
	"spanflow/lab/load"
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

// Policy decides for one forwarder. The scheduler is one; so are the baselines.
type Policy interface {
	NewDestination(id uint64) *scheduler.Destination
	UpdateEndpoints(whole bool, lines []scheduler.EndpointUpdate)
	Admit(size int, left float64) (taken bool, comeBack float64)
	Accept(d *scheduler.Message, typ int, left float64)
	Recover(d *scheduler.Message, typ int, left float64, past scheduler.RecoveredState)
	AttemptEnded(d *scheduler.Message, e scheduler.AttemptResult)
	SetTime(now float64)
	TimerFired()
	Reconcile()
}

// Maker makes the policy of a forwarder.
type Maker func(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy

// SchedulerPolicy is the scheduler.
func SchedulerPolicy(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy {
	return scheduler.New(settings, seed, now, host)
}

const (
	startTime      = 1000.0 // the clock's first moment: 0 stands for never in many places
	restartDelay   = 0.8    // a forwarder that is killed starts again after so long
	recoveryGrace  = 1.5    // and may be late with answers for so long after that
	failoverDelay  = 0.4    // a client whose forwarder is gone goes to another after so long
	drainTime      = 2.0    // an endpoint that drains leaves after so long
	reapedIdleTime = 0.5    // connections that were idle for longer are dead while the trouble reap is on
)

// effect is what a client wants done, whatever number of messages it takes.
type effect struct {
	id             uint64
	typ            *scenario.Type
	typeIndex      int
	submittedAt    float64 // the intended moment
	expiry         float64
	tenant         int
	key            uint64
	idempotencyKey uint64
	destination    int
	done           bool
	answer         string // the last final answer heard
	refused        int
}

// submission is one message: an effect handed in once.
type submission struct {
	id           uint64
	effect       *effect
	message      *scheduler.Message
	node         *node
	recovered    scheduler.RecoveredState
	attemptStart float64 // begin of the attempt that is out
	attemptZone  int     // the zone of its endpoint
	expiry       float64
	finished     bool
}

type simRun struct {
	clock.Queue
	scenario      *scenario.Scenario
	newPolicy     Maker
	loadRandom    *rand.Rand // of the load
	networkRandom *rand.Rand // of clients and network
	log           *audit.Log
	destinations  []*receiver.Destination
	group         []int // of each destination
	nodes         []*node
	effects       map[uint64]*effect // by the id of a message
	submissions   map[uint64]*submission
	lastID        uint64
	reapFaults    int
	listFaults    int
	result        *Result
}

// Play plays a scene with a seed.
func Play(s *scenario.Scenario, seed uint64, make Maker) *Result {
	d := &simRun{scenario: s, newPolicy: make, loadRandom: rand.New(rand.NewPCG(seed, 1)), networkRandom: rand.New(rand.NewPCG(seed, 2)), effects: map[uint64]*effect{}, submissions: map[uint64]*submission{}}
	d.Set(startTime)
	d.result = newResult(s, seed)
	d.log = audit.New(d, func(dest int) bool { return s.Receivers[d.group[dest]].EndpointLimits }, float64(s.Dispatch.KeyCooldown))
	receiverRandom := rand.New(rand.NewPCG(seed, 3))
	for g := range s.Receivers {
		p := &s.Receivers[g]
		for range p.Count {
			d.destinations = append(d.destinations, receiver.New(len(d.destinations), s.ReceiverBehavior(p), p.Endpoints, s.Zones, d, receiverRandom, &recorder{d.log, d}))
			d.group = append(d.group, g)
		}
	}
	for n := range s.Dispatch.Forwarders {
		d.nodes = append(d.nodes, newNode(d, n, rand.New(rand.NewPCG(seed, uint64(100+n))).Uint64()))
	}
	for _, n := range d.nodes {
		n.start()
	}
	d.scheduleArrivals()
	d.injectFaults()
	end := startTime + float64(s.Length+s.Drain)
	for at := startTime + 1; at <= end+1e-9; at++ {
		for d.Step(at) {
		}
		d.Set(at)
		d.result.second(d)
	}
	d.result.finish(d)
	return d.result
}

// recorder passes on what receivers write down and counts the value of what took place.
type recorder struct {
	*audit.Log
	run *simRun
}

func (r *recorder) MessageExecuted(run receiver.Execution) {
	r.Log.MessageExecuted(run)
	if e := r.run.effects[run.Message.ID]; e != nil && run.Effect && !e.done {
		e.done = true
		r.run.result.delivered(e, run.EndedAt)
	}
}

// scheduleArrivals puts what clients want on the time line. All of it is drawn beforehand: nothing that happens moves an arrival.
func (d *simRun) scheduleArrivals() {
	for _, e := range planArrivals(d.scenario, d.loadRandom) {
		d.At(e.submittedAt, func() {
			d.result.offered(e)
			d.submit(e, e.expiry, forwarderFor(e, d.networkRandom, len(d.nodes)))
		})
	}
}

// planArrivals draws what clients want on a day.
func planArrivals(s *scenario.Scenario, random *rand.Rand) []*effect {
	shape := s.Shape()
	for i := range shape {
		shape[i].At += startTime
	}
	end := startTime + float64(s.Length)
	moments := load.Even(shape, end)
	if s.Load.Arrivals == "poisson" {
		moments = load.Poisson(shape, end, random)
	}
	moments.StartAt(startTime)
	var weights, parts, shares []float64
	for _, p := range s.Receivers {
		for _, w := range load.Zipf(p.Count, p.Skew).Weights() {
			weights = append(weights, w*p.LoadWeight)
		}
	}
	for _, t := range s.Types {
		parts = append(parts, t.LoadWeight)
	}
	for _, t := range s.Tenants {
		shares = append(shares, t.LoadWeight)
	}
	dests, types, tenants := load.Weighted(weights), load.Weighted(parts), load.Weighted(shares)
	var all []*effect
	one := func(at float64, dest, tenant int, key uint64) {
		e := &effect{submittedAt: at, destination: dest, tenant: tenant}
		e.typeIndex = types.Pick(random)
		e.typ = &s.Types[e.typeIndex]
		e.expiry = at + float64(e.typ.TimeToLive)
		if e.typ.Idempotency == "numbered" {
			e.idempotencyKey = random.Uint64() | 1
		}
		if e.typ.InOrder {
			if e.key = key; key == 0 { // a key belongs to a destination
				e.key = uint64(dest+1)<<32 | uint64(e.typeIndex)<<24 | uint64(random.IntN(e.typ.Keys)+1)
			}
		}
		all = append(all, e)
	}
	tenant := func() int {
		if len(s.Tenants) == 0 {
			return 0
		}
		return tenants.Pick(random)
	}
	for {
		at, more := moments.Next()
		if !more {
			break
		}
		one(at, dests.Pick(random), tenant(), 0)
	}
	for i, c := range s.Load.Bursts {
		for range c.Count {
			dest, who, key := c.Destination, tenant(), uint64(0)
			if dest < 0 {
				dest = dests.Pick(random)
			}
			for t := range s.Tenants {
				if s.Tenants[t].Name == c.Tenant {
					who = t
				}
			}
			if c.SameKey {
				key = uint64(dest+1)<<32 | 0xff<<24 | uint64(i+1)
			}
			one(startTime+float64(c.At), dest, who, key)
		}
	}
	slices.SortStableFunc(all, func(a, b *effect) int { return cmp.Compare(a.submittedAt, b.submittedAt) })
	return all
}

// forwarderFor is the forwarder to which a client goes: any, but for a key always the same, as forwarders share nothing.
func forwarderFor(e *effect, random *rand.Rand, forwarders int) int {
	if e.key != 0 {
		return int((e.key * 0x9e3779b97f4a7c15 >> 33) % uint64(forwarders))
	}
	return random.IntN(forwarders)
}

// nextForwarder is the one to which it goes when that one is not there.
func nextForwarder(e *effect, n, forwarders int) int {
	if e.key != 0 {
		return n
	}
	return (n + 1) % forwarders
}

// submit hands an effect in at a forwarder, as a message of its own.
func (d *simRun) submit(e *effect, expiry float64, n int) {
	d.After(float64(d.scenario.NetworkDelay), func() {
		node := d.nodes[n]
		if !node.up { // refused: to another a little later
			d.After(failoverDelay, func() {
				if d.Now() < expiry {
					d.submit(e, expiry, nextForwarder(e, n, len(d.nodes)))
				}
			})
			return
		}
		node.do(func() {
			if d.Now() < expiry {
				node.admit(e, expiry)
			}
		})
	})
}

// resubmit hands in anew what was turned away or rejected. A number is known for its memory only, so a numbered message
// comes with no more time than that.
func (d *simRun) resubmit(e *effect, comeBack float64) {
	expiry, wait, comes := e.resubmission(d.scenario, d.Now(), comeBack, d.networkRandom)
	if !comes {
		return
	}
	d.After(wait, func() { d.submit(e, expiry, forwarderFor(e, d.networkRandom, len(d.nodes))) })
}

// resubmission tells if a client hands an effect in anew, after what time, and with what expiry.
func (e *effect) resubmission(s *scenario.Scenario, now, comeBack float64, random *rand.Rand) (expiry, wait float64, comes bool) {
	if expiry = e.expiry; e.idempotencyKey != 0 {
		expiry = min(expiry, e.submittedAt+float64(e.typ.DeduplicationWindow))
	}
	wait = comeBack + 0.1 + 0.2*random.Float64()
	return expiry, wait, s.Resubmit && !e.done && now+wait+0.05 < expiry
}

// notifyClient tells a client a final answer.
func (d *simRun) notifyClient(h *submission, what string, comeBack float64) {
	d.After(float64(d.scenario.NetworkDelay), func() {
		d.log.FinalAnswer(h.id, what)
		h.effect.answer = what
		if what == "returned" {
			d.resubmit(h.effect, comeBack)
		}
	})
}
