// Package sim plays a scenario on a simulated clock: whole fleets of forwarders, each with the real scheduler, in one
// process. The same scenario and seed give the same result, to the byte, on any number of cores. Real plays the same
// scenario with forwarder processes on real sockets.
package sim

import (
	"math/rand/v2"

	"spanflow/lab/audit"
	"spanflow/lab/clock"
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

// Policy decides for one forwarder. The scheduler is one; so are the baselines. Its methods are those of
// scheduler.Scheduler.
type Policy interface {
	NewDestination(id uint64) *scheduler.Destination
	UpdateEndpoints(all bool, updates []scheduler.EndpointUpdate)
	Admit(size int, left float64) (admitted bool, retryAfter float64)
	Accept(m *scheduler.Message, typeIndex int, left float64)
	Recover(m *scheduler.Message, typeIndex int, left float64, state scheduler.RecoveredState)
	AttemptEnded(m *scheduler.Message, result scheduler.AttemptResult)
	SetTime(now float64)
	TimerFired()
	Reconcile()
}

// PolicyFactory makes the policy of a forwarder. now is in seconds.
type PolicyFactory func(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy

// SchedulerPolicy makes the scheduler.
func SchedulerPolicy(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy {
	return scheduler.New(settings, seed, now, host)
}

// Times in seconds.
const (
	startTime      = 1000.0 // the clock's first moment: 0 stands for never in many places
	restartDelay   = 0.8    // until a forwarder that was killed starts again
	recoveryGrace  = 1.5    // for which it may be late with answers after that
	failoverDelay  = 0.4    // until a client whose forwarder is gone turns to another
	drainTime      = 2.0    // until an endpoint that drains leaves
	reapedIdleTime = 0.5    // connections that were idle for longer are dead while a reap fault is on
	messageSize    = 500    // bytes, as the scheduler counts them
	roundUpOffset  = 0.999999
	clockTolerance = 1e-9
)

// The streams of random numbers that a run draws from its seed.
const (
	loadStream      = 1
	networkStream   = 2
	receiverStream  = 3
	forwarderStream = 100 // plus the forwarder's number
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// simRun is one run on the simulated clock.
type simRun struct {
	clock.Queue
	scenario         *scenario.Scenario
	newPolicy        PolicyFactory
	loadRandom       *rand.Rand
	networkRandom    *rand.Rand // of clients and the network
	log              *audit.Log
	destinations     []*receiver.Destination
	group            []int // by destination: index of its scenario.Receiver
	forwarders       []*forwarder
	effects          map[uint64]*effect     // by the id of each of its messages
	submissions      map[uint64]*submission // by id
	lastID           uint64
	activeReapFaults int // that are on
	activeListFaults int // that are on
	result           *Result
}

// Play plays a scenario with a seed.
func Play(s *scenario.Scenario, seed uint64, newPolicy PolicyFactory) *Result {
	run := newSimRun(s, seed, newPolicy)
	for _, f := range run.forwarders {
		f.start()
	}
	run.scheduleArrivals()
	run.injectFaults()
	end := startTime + float64(s.Length+s.Drain)
	for at := startTime + 1; at <= end+clockTolerance; at++ {
		for run.Step(at) {
		}
		run.SetTime(at)
		run.result.recordSecond(run)
	}
	run.result.Events = run.Events()
	run.result.finish(run.log)
	return run.result
}

func newSimRun(s *scenario.Scenario, seed uint64, newPolicy PolicyFactory) *simRun {
	run := &simRun{
		scenario:      s,
		newPolicy:     newPolicy,
		loadRandom:    newRandom(seed, loadStream),
		networkRandom: newRandom(seed, networkStream),
		effects:       map[uint64]*effect{},
		submissions:   map[uint64]*submission{},
		result:        newResult(s, seed),
	}
	run.SetTime(startTime)
	limitsPerEndpoint := func(destination int) bool { return s.Receivers[run.group[destination]].EndpointLimits }
	run.log = audit.New(run, limitsPerEndpoint, float64(s.Dispatch.KeyCooldown))
	receiverRandom := newRandom(seed, receiverStream)
	for group := range s.Receivers {
		r := &s.Receivers[group]
		for range r.Count {
			destination := receiver.New(len(run.destinations), s.ReceiverBehavior(r), r.Endpoints, s.Zones, run, receiverRandom,
				&recorder{run.log, run})
			run.destinations = append(run.destinations, destination)
			run.group = append(run.group, group)
		}
	}
	for n := range s.Dispatch.Forwarders {
		forwarderSeed := newRandom(seed, uint64(forwarderStream+n)).Uint64()
		run.forwarders = append(run.forwarders, &forwarder{run: run, number: n, seed: forwarderSeed})
	}
	return run
}

// recorder passes on what receivers record and counts the value of the effects.
type recorder struct {
	*audit.Log
	run *simRun
}

// MessageExecuted records an execution and counts its effect, if it is the first.
func (r *recorder) MessageExecuted(execution receiver.Execution) {
	r.Log.MessageExecuted(execution)
	if e := r.run.effects[execution.Message.ID]; e != nil && execution.Effect && !e.done {
		e.done = true
		r.run.result.recordDelivery(e, execution.EndedAt)
	}
}
