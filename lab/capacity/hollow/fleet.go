package hollow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const memoryCheckInterval = 500 * time.Millisecond // interval at which the processes' memory is checked

// fleet is the set of processes of a trial.
type fleet struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	config      Config
	size        fleetSize
	addresses   []string // addresses of discovery, by zone
	server      *process
	workers     []*process
	memoryWatch sync.WaitGroup
}

// newFleet starts the processes without forwarders. The caller must call end. environment contains additional
// environment variables of the workers.
func newFleet(ctx context.Context, config Config, size fleetSize, environment ...string) (*fleet, error) {
	f := &fleet{config: config, size: size}
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	if err := f.startProcesses(environment); err != nil {
		err = f.cancelCause(err)
		f.end()
		return nil, err
	}
	f.memoryWatch.Go(f.watchMemory)
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
	f.memoryWatch.Wait()
}

func (f *fleet) processes() []*process {
	if f.server == nil {
		return nil
	}
	return append([]*process{f.server}, f.workers...)
}

// cancelCause returns the reason why the fleet was cancelled, or err if it was not. Calls fail once the processes are
// killed, so the reason is more informative than their errors.
func (f *fleet) cancelCause(err error) error {
	if cause := context.Cause(f.ctx); cause != nil {
		return cause
	}
	return err
}

// watchMemory kills the processes if together they exceed the memory limit.
func (f *fleet) watchMemory() {
	ticker := time.NewTicker(memoryCheckInterval)
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
			f.cancel(fmt.Errorf("memory: the processes took %d MB, the limit is %d MB", sum>>20, f.config.MemoryBytes>>20))
			return
		}
	}
}

// requestAll sends a request to each worker in parallel and returns the answers.
func (f *fleet) requestAll(requestOf func(worker int) request) ([]response, error) {
	answers, errs := make([]response, len(f.workers)), make([]error, len(f.workers))
	var wait sync.WaitGroup
	for i, worker := range f.workers {
		wait.Go(func() { answers[i], errs[i] = worker.call(requestOf(i)) })
	}
	wait.Wait()
	return answers, errors.Join(errs...)
}

// launch starts the forwarders and returns the Unix time in nanoseconds at which the first worker began to start them.
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

// expect makes all workers record when a revision comes into force at their forwarders.
func (f *fleet) expect(revision int64) error {
	_, err := f.requestAll(func(int) request { return request{Expect: &expectRequest{Revision: revision}} })
	return err
}

// outcome is the result of waiting for an expected revision.
type outcome struct {
	inForce   []int64        // Unix time in nanoseconds at which it came into force, by forwarder; 0 means not in time
	endings   map[string]int // number of watches that ended since the expectation, by reason
	slowTurns int            // event loop turns that took or waited over 100 ms; each loop reports at most one a second
}

// await waits until the expected revision is in force at all forwarders, or until it times out.
func (f *fleet) await(within time.Duration) (outcome, error) {
	answers, err := f.requestAll(func(int) request { return request{Await: &awaitRequest{Within: within}} })
	result := outcome{endings: map[string]int{}}
	for _, a := range answers {
		result.inForce = append(result.inForce, a.InForce...)
		result.slowTurns += a.SlowTurns
		for _, e := range a.Endings {
			result.endings[e.Why] += e.Count
		}
	}
	return result, err
}

// publish changes the list and returns the Unix time of the change in nanoseconds.
func (f *fleet) publish() (at int64, err error) {
	answer, err := f.server.call(request{Publish: &publishRequest{}})
	return answer.At, err
}

// setReach changes which forwarders can reach discovery and returns the Unix time of the change in nanoseconds.
func (f *fleet) setReach(r reach, zone int) (at int64, err error) {
	answer, err := f.server.call(request{Reach: &reachRequest{Reach: r, Zone: zone}})
	return answer.At, err
}

// snapshot contains the resources that the processes have used up to a time.
type snapshot struct {
	at      time.Time
	server  usage
	workers usage // sum of all workers
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

// memory returns the total memory of all forwarders.
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

// measureFootprint starts the single forwarder of a pilot fleet and returns the memory that the parts of a trial need.
func (f *fleet) measureFootprint(knowsList bool) (footprint, error) {
	if _, err := f.launch(knowsList); err != nil {
		return footprint{}, err
	}
	if _, err := f.await(inForceTimeout / 4); err != nil {
		return footprint{}, err
	}
	memory, err := f.memory()
	return footprint{server: residentMemory(f.server.pid(), residentPeak), worker: memory.Before, forwarder: memory.Peak}, err
}
