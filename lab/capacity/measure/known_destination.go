package measure

import (
	"math"

	"spanflow/scheduler"
)

var (
	knownMemory   = quantity{"memory in the scheduler", "destinations", "bytes"}
	knownChange   = quantity{"processor time of a list change", "destinations", "s"}
	knownFullList = quantity{"processor time of a whole list", "destinations", "s"}
	knownStart    = quantity{"processor time of the scheduler's first start", "destinations", "s"}
	forwarderRSS  = quantity{"memory of the forwarder", "destinations", "bytes"}
	forwarderBoot = quantity{"time until a started forwarder knows all", "destinations", "s"}
	forwarderCPU  = quantity{"processor time until a started forwarder knows all", "destinations", "s"}
)

const listChanges = 2000 // number of changes of the list that are averaged

// measureKnownDestination measures the cost of a destination that is on the list but has no messages.
func measureKnownDestination(t *trial) error {
	if err := t.sweep("the scheduler", 0.3, linearTime, sizes(t.Largest), t.knownInScheduler); err != nil {
		return err
	}
	return t.sweep("the forwarder", 0.7, linearTime, sizes(t.Largest), t.knownInForwarder)
}

func (t *trial) knownInScheduler(size int) error {
	before := t.heapBytes()
	start, err := t.bestOf(func() (float64, error) {
		t.heapBytes()
		return withoutCollection(func() { newScheduler(defaultQueueCapacity, t.Seed).addDestinations(size) }), nil
	})
	if err != nil {
		return err
	}
	t.record(knownStart, float64(size), start)
	s := newScheduler(defaultQueueCapacity, t.Seed)
	lines := s.addDestinations(size)
	fullList, err := t.bestOf(func() (float64, error) { return s.updateFullList(lines), nil })
	if err != nil {
		return err
	}
	t.record(knownFullList, float64(size), fullList)
	lines = nil // not part of the scheduler's memory
	t.record(knownMemory, float64(size), t.heapBytes()-before)
	change, err := t.bestOf(func() (float64, error) { return s.changes(), nil })
	if err != nil {
		return err
	}
	t.record(knownChange, float64(size), change)
	return nil
}

// updateFullList returns the processor time in seconds of one round with a full list that changes nothing.
func (s *measuredScheduler) updateFullList(lines []scheduler.EndpointUpdate) float64 {
	s.advance(1)
	return withoutCollection(func() {
		s.UpdateEndpoints(true, lines)
		s.Reconcile()
	})
}

// changes returns the mean processor time in seconds of a list change that replaces one destination's endpoint.
func (s *measuredScheduler) changes() float64 {
	return withoutCollection(func() {
		for i := range listChanges {
			s.replace(i * len(s.destinations) / listChanges)
		}
	}) / listChanges
}

// replace replaces the endpoint of the nth destination by a new one.
func (s *measuredScheduler) replace(n int) {
	s.advance(0.01)
	removed, added := s.endpoints[n], &scheduler.Endpoint{ID: uint64(n)}
	s.endpoints[n] = added
	s.UpdateEndpoints(false, []scheduler.EndpointUpdate{{Endpoint: removed, Destination: s.destinations[n], State: scheduler.Removed},
		{Endpoint: added, Destination: s.destinations[n], State: scheduler.Ready}})
	s.Reconcile()
}

func (t *trial) knownInForwarder(size int) error {
	var memory int64
	cpu := math.Inf(1)
	took, err := t.bestOf(func() (float64, error) {
		p, server, err := t.startListed(&configuration{destinations: size})
		if err != nil {
			return 0, err
		}
		defer server.close()
		defer p.kill()
		used, err := processorTimeOf(p.pid())
		if err != nil {
			return 0, err
		}
		cpu = math.Min(cpu, used)
		memory, err = t.memoryOf(p)
		return p.readyAfter.Seconds(), err
	})
	if err != nil {
		return err
	}
	t.record(forwarderBoot, float64(size), took)
	t.record(forwarderCPU, float64(size), cpu)
	t.record(forwarderRSS, float64(size), float64(memory))
	return nil
}
