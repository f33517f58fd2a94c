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

// Real plays a scene on real sockets: built forwarders as processes, receivers, discovery and clients on loopback. The
// receivers are the same model, on the wall clock.
type Real struct {
	Program string // of one forwarder
	Folder  string // for write-ahead logs, configurations and logs
	Memory  int    // MB that each forwarder is told
	Sockets int
}

// realRun is a day on the wall clock. Its lock is held by whatever touches the model or the log.
type realRun struct {
	Real
	mu                   sync.Mutex
	epoch                time.Time
	scenario             *scenario.Scenario
	destinations         []*receiver.Destination
	group                []int
	log                  *audit.Log
	result               *Result
	effects              map[uint64]*effect
	keyTails             map[uint64]chan struct{} // of each key, closed when its latest message has its answer at the door
	deliveredToForwarder map[uint64]bool          // delivered, as the receiver wrote
	submittedTo          map[uint64]int           // the forwarder that a message was handed in at
	lastID               uint64
	random               *rand.Rand
	discovery            *emulator.Discovery
	endpoints            map[*receiver.Endpoint]*endpointServer
	nodes                []*process
	restartErrors        error // of a forwarder that could not be started again
	wg                   sync.WaitGroup
	ctx                  context.Context
}

// Now and RetryAfter make a realRun a receiver.SetTime.
func (d *realRun) Now() float64 { return startTime + time.Since(d.epoch).Seconds() }

func (d *realRun) After(in float64, do func()) {
	time.AfterFunc(time.Duration(in*float64(time.Second)), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		do()
	})
}

// Play plays a scene with a seed; it takes as long as the scene.
func (r Real) Play(ctx context.Context, s *scenario.Scenario, seed uint64) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &realRun{Real: r, epoch: time.Now(), scenario: s, result: newResult(s, seed), effects: map[uint64]*effect{}, submittedTo: map[uint64]int{}, deliveredToForwarder: map[uint64]bool{}, keyTails: map[uint64]chan struct{}{},
		random: rand.New(rand.NewPCG(seed, 2)), endpoints: map[*receiver.Endpoint]*endpointServer{}, ctx: ctx}
	d.log = audit.New(d, func(dest int) bool { return s.Receivers[d.group[dest]].EndpointLimits }, float64(s.Dispatch.KeyCooldown))
	d.log.Slack = audit.Slack{Answer: 0.35, Wait: 0.15, Drain: 0.3}
	receiverRandom := rand.New(rand.NewPCG(seed, 3))
	var list []emulator.Entry
	for g := range s.Receivers {
		p := &s.Receivers[g]
		for range p.Count {
			dest := receiver.New(len(d.destinations), s.ReceiverBehavior(p), p.Endpoints, s.Zones, d, receiverRandom, &realRecorder{d.log, d})
			d.destinations, d.group = append(d.destinations, dest), append(d.group, g)
			for _, t := range dest.Endpoints {
				if err := d.openEndpoint(t); err != nil {
					return nil, err
				}
				list = append(list, d.entry(t))
			}
		}
	}
	defer func() {
		for _, o := range d.endpoints {
			o.close()
		}
	}()
	var err error
	if d.discovery, err = emulator.NewDiscovery("", list...); err != nil {
		return nil, err
	}
	d.discovery.OnNotice = d.notice
	go func() { // those heard are taken by Hear already
		for {
			select {
			case <-d.discovery.Notices:
			case <-ctx.Done():
				return
			}
		}
	}()
	for n := range s.Dispatch.Forwarders {
		p, err := d.newProcess(n)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return nil, err
		}
		defer p.stop()
		d.nodes = append(d.nodes, p)
	}
	for _, p := range d.nodes {
		if err := p.ready(10 * time.Second); err != nil {
			return nil, err
		}
	}
	d.mu.Lock()
	d.epoch = time.Now()
	d.injectFaults()
	d.mu.Unlock()
	d.startClients(seed)
	end := time.NewTimer(time.Duration(float64(s.Length+s.Drain) * float64(time.Second)))
	defer end.Stop()
	select {
	case <-end.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	cancel()
	d.wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.sum(d.log)
	return d.result, d.restartErrors
}

type realRecorder struct {
	*audit.Log
	run *realRun
}

func (r *realRecorder) MessageExecuted(run receiver.Execution) {
	r.Log.MessageExecuted(run)
	if e := r.run.effects[run.Message.ID]; e != nil && run.Effect && !e.done {
		e.done = true
		r.run.result.delivered(e, run.EndedAt)
	}
}
