package hollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const memoryEvery = 500 * time.Millisecond // between two looks at the processes' memory

// fleet is the processes of a trial.
type fleet struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	config    Config
	size      fleetSize
	addresses []string // of discovery, by zone
	server    *process
	workers   []*process
	watched   sync.WaitGroup
}

// newFleet starts the processes, without forwarders. The caller ends it.
func newFleet(ctx context.Context, config Config, size fleetSize, environment ...string) (*fleet, error) {
	f := &fleet{config: config, size: size}
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	if err := f.startProcesses(environment); err != nil {
		err = f.reason(err)
		f.end()
		return nil, err
	}
	f.watched.Go(f.watchMemory)
	return f, nil
}

func (f *fleet) startProcesses(environment []string) (err error) {
	if f.server, err = startProcess(f.ctx, "discovery", f.config.Program, RoleServer); err != nil {
		return err
	}
	for i := range f.size.processes {
		worker, err := startProcess(f.ctx, fmt.Sprintf("worker %d", i+1), f.config.Program, RoleWorker, environment...)
		if err != nil {
			return err
		}
		f.workers = append(f.workers, worker)
	}
	answer, err := f.server.call(request{Serve: &serveRequest{Destinations: f.config.Destinations, Seed: f.config.Seed}})
	f.addresses = answer.Addresses
	return err
}

// end ends all processes and waits until they have ended.
func (f *fleet) end() {
	var wait sync.WaitGroup
	for _, p := range f.processes() {
		wait.Go(p.end)
	}
	wait.Wait()
	f.cancel(nil)
	f.watched.Wait()
}

func (f *fleet) processes() []*process {
	if f.server == nil {
		return nil
	}
	return append([]*process{f.server}, f.workers...)
}

// reason is why the processes were killed, if they were, in place of the error of a call that follows from it.
func (f *fleet) reason(err error) error {
	if cause := context.Cause(f.ctx); cause != nil {
		return cause
	}
	return err
}

// watchMemory ends the processes when they take more than is allowed.
func (f *fleet) watchMemory() {
	ticker := time.NewTicker(memoryEvery)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
		var sum int64
		for _, p := range f.processes() {
			sum += residentMemory(p.pid(), residentNow)
		}
		if sum > f.config.MemoryBytes {
			f.cancel(fmt.Errorf("memory: the processes took %d MB, %d MB are allowed", sum>>20, f.config.MemoryBytes>>20))
			return
		}
	}
}

// requestAll asks all workers at once.
func (f *fleet) requestAll(requestOf func(worker int) request) ([]response, error) {
	answers, errs := make([]response, len(f.workers)), make([]error, len(f.workers))
	var wait sync.WaitGroup
	for i, worker := range f.workers {
		wait.Go(func() { answers[i], errs[i] = worker.call(requestOf(i)) })
	}
	wait.Wait()
	return answers, errors.Join(errs...)
}

// launch starts the forwarders and returns when the first worker began to.
func (f *fleet) launch(knowsList bool) (at int64, err error) {
	n, processes := f.size.forwarders, f.size.processes
	answers, err := f.requestAll(func(worker int) request {
		first, next := worker*n/processes, (worker+1)*n/processes
		return request{Start: &startRequest{Addresses: f.addresses, Fleet: f.config.Forwarders, FirstIndex: first,
			Forwarders: next - first, Destinations: f.config.Destinations, KnowsList: knowsList,
			ListBytes: f.config.ListBytes, Seed: f.config.Seed, MemoryLimit: f.size.memoryLimit}}
	})
	for _, a := range answers {
		if at == 0 || a.At < at {
			at = a.At
		}
	}
	return at, err
}

// expect has all workers note when their forwarders have a revision in force.
func (f *fleet) expect(revision int64) error {
	_, err := f.requestAll(func(int) request { return request{Expect: &expectRequest{Revision: revision}} })
	return err
}

// outcome is what became of an expectation.
type outcome struct {
	inForce []int64        // when, by forwarder, Unix time in nanoseconds; 0: not within the time
	endings map[string]int // watches that ended meanwhile, by reason
	late    int            // turns of forwarders that took over 100 ms, or waited so long; at most one a second each
}

// await waits until all forwarders have the expected revision in force, or for so long.
func (f *fleet) await(within time.Duration) (outcome, error) {
	answers, err := f.requestAll(func(int) request { return request{Await: &awaitRequest{Within: within}} })
	result := outcome{endings: map[string]int{}}
	for _, a := range answers {
		result.inForce = append(result.inForce, a.InForce...)
		result.late += a.Late
		for _, e := range a.Endings {
			result.endings[e.Why] += e.Count
		}
	}
	return result, err
}

// publish makes a change and returns its moment, Unix time in nanoseconds.
func (f *fleet) publish() (at int64, err error) {
	answer, err := f.server.call(request{Publish: &publishRequest{}})
	return answer.At, err
}

// setReach changes who can reach discovery and returns the moment, Unix time in nanoseconds.
func (f *fleet) setReach(r reach, zone int) (at int64, err error) {
	answer, err := f.server.call(request{Reach: &reachRequest{Reach: r, Zone: zone}})
	return answer.At, err
}

// snapshot is what the processes have used up to a moment.
type snapshot struct {
	at      time.Time
	server  usage
	workers usage // all together
	machine machineTime
}

func (f *fleet) snapshot() (snapshot, error) {
	s := snapshot{at: time.Now(), machine: readMachineTime()}
	answer, err := f.server.call(request{Usage: &usageRequest{}})
	if err != nil {
		return s, err
	}
	s.server = *answer.Usage
	answers, err := f.requestAll(func(int) request { return request{Usage: &usageRequest{}} })
	if err != nil {
		return s, err
	}
	for _, a := range answers {
		s.workers = s.workers.plus(*a.Usage)
	}
	return s, nil
}

// memory is what the forwarders take, all together.
func (f *fleet) memory() (memoryUsage, error) {
	answers, err := f.requestAll(func(int) request { return request{Memory: &memoryRequest{}} })
	if err != nil {
		return memoryUsage{}, err
	}
	var sum memoryUsage
	for _, a := range answers {
		sum.Live += a.Memory.Live
		sum.Resident += a.Memory.Resident
		sum.Peak += a.Memory.Peak
		sum.Before += a.Memory.Before
	}
	return sum, nil
}

// measureFootprint starts the one forwarder of a pilot and returns what the parts of a trial need.
func (f *fleet) measureFootprint(knowsList bool) (footprint, error) {
	if _, err := f.launch(knowsList); err != nil {
		return footprint{}, err
	}
	if _, err := f.await(inForceWithin / 4); err != nil {
		return footprint{}, err
	}
	memory, err := f.memory()
	return footprint{server: residentMemory(f.server.pid(), residentPeak), worker: memory.Before, forwarder: memory.Peak}, err
}
