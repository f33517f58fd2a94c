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

// realDay is a day on the wall clock. Its lock is held by whatever touches the model or the log.
type realDay struct {
	Real
	mu        sync.Mutex
	epoch     time.Time
	scene     *scenario.Scenario
	dests     []*receiver.Destination
	group     []int
	log       *audit.Log
	result    *Result
	effects   map[uint64]*effect
	tails     map[uint64]chan struct{} // of each key, closed when its latest message has its answer at the door
	heard     map[uint64]bool          // delivered, as the receiver wrote
	from      map[uint64]int           // the forwarder that a message was handed in at
	lastID    uint64
	dice      *rand.Rand
	disc      *emulator.Discovery
	endpoints map[*receiver.Endpoint]*endpoint
	nodes     []*process
	failed    error // of a forwarder that could not be started again
	wg        sync.WaitGroup
	ctx       context.Context
}

// Now and RetryAfter make a realDay a receiver.SetTime.
func (d *realDay) Now() float64 { return begins + time.Since(d.epoch).Seconds() }

func (d *realDay) After(in float64, do func()) {
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
	d := &realDay{Real: r, epoch: time.Now(), scene: s, result: newResult(s, seed), effects: map[uint64]*effect{}, from: map[uint64]int{}, heard: map[uint64]bool{}, tails: map[uint64]chan struct{}{},
		dice: rand.New(rand.NewPCG(seed, 2)), endpoints: map[*receiver.Endpoint]*endpoint{}, ctx: ctx}
	d.log = audit.New(d, func(dest int) bool { return s.Receivers[d.group[dest]].EndpointLimits }, float64(s.Dispatch.KeyCooldown))
	d.log.Slack = audit.Slack{Answer: 0.35, Wait: 0.15, Drain: 0.3}
	partners := rand.New(rand.NewPCG(seed, 3))
	var list []emulator.Entry
	for g := range s.Receivers {
		p := &s.Receivers[g]
		for range p.Count {
			dest := receiver.New(len(d.dests), s.ReceiverBehavior(p), p.Endpoints, s.Zones, d, partners, &realRecorder{d.log, d})
			d.dests, d.group = append(d.dests, dest), append(d.group, g)
			for _, t := range dest.Endpoints {
				if err := d.open(t); err != nil {
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
	if d.disc, err = emulator.NewDiscovery("", list...); err != nil {
		return nil, err
	}
	d.disc.OnNotice = d.notice
	go func() { // those heard are taken by Hear already
		for {
			select {
			case <-d.disc.Notices:
			case <-ctx.Done():
				return
			}
		}
	}()
	for n := range s.Dispatch.Forwarders {
		p, err := d.process(n)
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
	d.befall()
	d.mu.Unlock()
	d.clients(seed)
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
	return d.result, d.failed
}

type realRecorder struct {
	*audit.Log
	day *realDay
}

func (r *realRecorder) MessageExecuted(run receiver.Execution) {
	r.Log.MessageExecuted(run)
	if e := r.day.effects[run.Message.ID]; e != nil && run.Effect && !e.done {
		e.done = true
		r.day.result.delivered(e, run.EndedAt)
	}
}
