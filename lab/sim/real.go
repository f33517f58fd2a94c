package sim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"spanflow/internal/emulator"
	"spanflow/lab/audit"
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
)

// Real plays a scenario on real sockets: forwarders run as processes, and receivers, discovery and clients in this
// process serve them on loopback addresses. The receivers use the same model as in Play, but on the wall clock.
type Real struct {
	Program string // path of the forwarder's binary
	Folder  string // existing folder for write-ahead logs, configurations and logs
	Memory  int    // memory limit of each forwarder in MB
	Sockets int    // limit of sockets that each forwarder may open
}

// realSlack allows for the additional delays of processes on a shared machine.
var realSlack = audit.Slack{Answer: 0.35, Wait: 0.15, Drain: 0.3}

const readyWithin = 10 * time.Second // time-out for the start of a forwarder

// realRun is one run on the wall clock. It implements receiver.Clock. Its lock must be held for every access to the
// receivers' model or the audit log.
type realRun struct {
	Real
	ctx       context.Context
	scenario  *scenario.Scenario
	epoch     time.Time // start of the run's clock, when Now returns startTime
	discovery *emulator.Discovery
	processes []*process
	wg        sync.WaitGroup // counts the goroutines of clients

	mu                   sync.Mutex
	random               *rand.Rand
	destinations         []*receiver.Destination
	group                []int // index of the scenario.Receiver, by destination
	endpoints            map[*receiver.Endpoint]*endpointServer
	log                  *audit.Log
	result               *Result
	effects              map[uint64]*effect       // by message ID; an effect may have several
	keyTails             map[uint64]chan struct{} // by ordering key; closed when its latest submission has been answered
	deliveredToForwarder map[uint64]bool          // by message ID; true if the receiver has sent a successful answer
	submittedTo          map[uint64]int           // number of the forwarder, by message ID
	lastID               uint64
	restartErrors        error // joined errors of forwarders that could not be restarted
}

// Now returns the current time of the run's clock in seconds.
func (run *realRun) Now() float64 { return startTime + time.Since(run.epoch).Seconds() }

// After runs a function after the given number of seconds, with the lock held.
func (run *realRun) After(seconds float64, do func()) {
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
		run.mu.Lock()
		defer run.mu.Unlock()
		do()
	})
}

// Play plays a scenario with a seed in real time. It returns an error if ctx is cancelled, or if a forwarder cannot be
// started or restarted.
func (r Real) Play(ctx context.Context, s *scenario.Scenario, seed uint64) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := newRealRun(ctx, r, s, seed)
	defer run.closeEndpoints()
	if err := run.startReceivers(newRandom(seed, receiverStream)); err != nil {
		return nil, err
	}
	defer run.stopProcesses()
	if err := run.startProcesses(); err != nil {
		return nil, err
	}
	run.mu.Lock()
	run.epoch = time.Now()
	run.injectFaults()
	run.mu.Unlock()
	run.startClients(seed)
	end := time.NewTimer(time.Duration(float64(s.Length+s.Drain) * float64(time.Second)))
	defer end.Stop()
	select {
	case <-end.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	cancel()
	run.wg.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	run.result.finish(run.log)
	return run.result, run.restartErrors
}

func newRealRun(ctx context.Context, r Real, s *scenario.Scenario, seed uint64) *realRun {
	run := &realRun{
		Real:                 r,
		ctx:                  ctx,
		scenario:             s,
		epoch:                time.Now(),
		random:               newRandom(seed, networkStream),
		endpoints:            map[*receiver.Endpoint]*endpointServer{},
		result:               newResult(s, seed),
		effects:              map[uint64]*effect{},
		keyTails:             map[uint64]chan struct{}{},
		deliveredToForwarder: map[uint64]bool{},
		submittedTo:          map[uint64]int{},
	}
	limitsPerEndpoint := func(destination int) bool { return s.Receivers[run.group[destination]].EndpointLimits }
	run.log = audit.New(run, limitsPerEndpoint, float64(s.Dispatch.KeyCooldown))
	run.log.Slack = realSlack
	return run
}

// startReceivers starts a server for each endpoint, and a discovery service that lists the endpoints.
func (run *realRun) startReceivers(random *rand.Rand) error {
	s := run.scenario
	var list []emulator.Entry
	for group := range s.Receivers {
		r := &s.Receivers[group]
		for range r.Count {
			destination := receiver.New(len(run.destinations), s.ReceiverBehavior(r), r.Endpoints, s.Zones, run, random,
				&realRecorder{run.log, run})
			run.destinations = append(run.destinations, destination)
			run.group = append(run.group, group)
			for _, e := range destination.Endpoints {
				if err := run.openEndpoint(e); err != nil {
					return err
				}
				list = append(list, run.discoveryEntry(e))
			}
		}
	}
	discovery, err := emulator.NewDiscovery("", list...)
	if err != nil {
		return err
	}
	run.discovery = discovery
	discovery.OnNotice = run.handleNotice
	go run.drainNotices()
	return nil
}

// drainNotices discards the notices in discovery's channel, which OnNotice has already handled.
func (run *realRun) drainNotices() {
	for {
		select {
		case <-run.discovery.Notices:
		case <-run.ctx.Done():
			return
		}
	}
}

func (run *realRun) closeEndpoints() {
	for _, e := range run.endpoints {
		e.close()
	}
}

// startProcesses starts the forwarders and waits until each is ready.
func (run *realRun) startProcesses() error {
	for n := range run.scenario.Dispatch.Forwarders {
		p, err := run.newProcess(n)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return err
		}
		run.processes = append(run.processes, p)
	}
	for _, p := range run.processes {
		if err := p.awaitReady(readyWithin); err != nil {
			return err
		}
	}
	return nil
}

// stopProcesses kills the forwarders in the reverse order of their start.
func (run *realRun) stopProcesses() {
	for i := len(run.processes) - 1; i >= 0; i-- {
		run.processes[i].stop()
	}
}

// realRecorder passes the records of receivers to the audit log and counts the value of the effects.
type realRecorder struct {
	*audit.Log
	run *realRun
}

// MessageExecuted records an execution, and counts its effect if it takes place for the first time.
func (r *realRecorder) MessageExecuted(execution receiver.Execution) {
	r.Log.MessageExecuted(execution)
	if e := r.run.effects[execution.Message.ID]; e != nil && execution.Effect && !e.done {
		e.done = true
		r.run.result.recordDelivery(e, execution.EndedAt)
	}
}
