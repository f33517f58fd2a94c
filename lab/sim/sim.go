// Package sim plays scenarios. Play simulates a whole fleet of forwarders, each with the real scheduler, in one process
// and on a simulated clock. Its result for a scenario and a seed is byte-for-byte the same on any number of cores.
// Real.Play plays the same scenario with forwarder processes on real sockets.
package sim

import (
	"math/rand/v2"

	"spanflow/lab/audit"
	"spanflow/lab/clock"
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

// Policy makes the decisions of one forwarder. It is implemented by scheduler.Scheduler and by the baselines.
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

// PolicyFactory creates the policy of a forwarder's process. now is in seconds.
type PolicyFactory func(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy

// SchedulerPolicy is the PolicyFactory of the real scheduler.
func SchedulerPolicy(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy {
	return scheduler.New(settings, seed, now, host)
}

// Constants of the simulation. Times are in seconds.
const (
	startTime      = 1000.0 // start of the clock; not 0, because 0 means never in many places
	restartDelay   = 0.8    // time between the kill and the restart of a forwarder
	recoveryGrace  = 1.5    // time after a restart during which a forwarder may answer late
	failoverDelay  = 0.4    // time after which a client tries another forwarder if one does not answer
	drainTime      = 2.0    // time between the start of an endpoint's drain and its removal
	reapedIdleTime = 0.5    // connections that are idle for longer are dead during FaultReap
	messageSize    = 500    // bytes, as the scheduler counts them
	roundUpOffset  = 0.999999
	clockTolerance = 1e-9
)

// The streams of random numbers of a run. Each is seeded with the run's seed and its own number.
const (
	loadStream      = 1
	networkStream   = 2
	receiverStream  = 3
	forwarderStream = 100 // the forwarder's number is added
)

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// simRun is one run on the simulated clock.
type simRun struct {
	clock.Queue
	scenario         *scenario.Scenario
	newPolicy        PolicyFactory
	loadRandom       *rand.Rand
	networkRandom    *rand.Rand // for clients and the network
	log              *audit.Log
	destinations     []*receiver.Destination
	group            []int // index of the scenario.Receiver, by destination
	forwarders       []*forwarder
	effects          map[uint64]*effect     // by message ID; an effect may have several
	submissions      map[uint64]*submission // by message ID
	lastID           uint64
	activeReapFaults int
	activeListFaults int
	result           *Result
}

// Play simulates a scenario with a seed and returns its result.
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

// recorder passes the records of receivers to the audit log and counts the value of the effects.
type recorder struct {
	*audit.Log
	run *simRun
}

// MessageExecuted records an execution, and counts its effect if it takes place for the first time.
func (r *recorder) MessageExecuted(execution receiver.Execution) {
	r.Log.MessageExecuted(execution)
	if e := r.run.effects[execution.Message.ID]; e != nil && execution.Effect && !e.done {
		e.done = true
		r.run.result.recordDelivery(e, execution.EndedAt)
	}
}
