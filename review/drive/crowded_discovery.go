package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	fleetSize     = 24
	lineTimeout   = time.Second            // discovery.timeout_ms of palermo-rotte
	toldAfter     = 6 * time.Second        // a change counts as told so long after discovery could be reached
	messagePeriod = 250 * time.Millisecond // between two messages to one forwarder
)

// crowdedDiscovery plays case 3. Discovery answers nobody for 8 s, and then everybody at once. As it returns,
// the only target of destination 1 begins to leave. Six seconds later that counts as told to all forwarders, whether
// they have asked or not. After the grace the target is gone and its address belongs to a target of destination 2. The
// rule is broken if that target gets messages for destination 1.
func crowdedDiscovery(s *stage) (violations int, err error) {
	addresses, err := s.addresses(4)
	if err != nil {
		return 0, err
	}
	shop := func(uid, address string, dest int, state string) entry {
		return entry{uid, address, "catania-1", "client-shop", dest, state, 200, 0}
	}
	old, err := s.newTarget("s-1", addresses[0], 1, usualWork)
	if err != nil {
		return 0, err
	}
	other, err := s.newTarget("s-2", addresses[1], 2, usualWork)
	if err != nil {
		return 0, err
	}
	replacement, err := s.newTarget("s-3", addresses[2], 1, usualWork)
	if err != nil {
		return 0, err
	}
	d, err := s.newDiscovery(addresses[3], shop("s-1", old.address, 1, "active"), shop("s-2", other.address, 2, "active"))
	if err != nil {
		return 0, err
	}
	var fleet []*forwarder
	for i := range fleetSize {
		f, err := s.newForwarder(fmt.Sprintf("n%d", i+1), d.address, palermoSettings(fleetSize), d.whole())
		if err != nil {
			return 0, err
		}
		fleet = append(fleet, f)
		if err := f.start(); err != nil {
			return 0, err
		}
	}
	if !waitFor(15*time.Second, func() bool { return d.requests() >= fleetSize }) {
		return 0, fmt.Errorf("%w: not all forwarders have asked for the list", errSetup)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for i, f := range fleet {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * messagePeriod / fleetSize)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(messagePeriod):
				}
				f.put(&message{id: fmt.Sprintf("%s-%d", f.name, n), class: "route-update", dest: 1, ms: 8000})
			}
		}()
	}
	time.Sleep(3 * time.Second)
	back := make(chan struct{})
	if s.trouble {
		d.treat(func(string) verdict {
			return verdict{status: http.StatusServiceUnavailable, after: lineTimeout, back: back}
		})
		d.endWatches()
	}
	time.Sleep(outage)
	// Discovery is back, and has the change from this moment on.
	leaves := d.change(shop("s-1", old.address, 1, "leaving"), shop("s-3", replacement.address, 1, "active"))
	d.treat(nil)
	close(back)
	s.record("discovery: back")
	limit := leaves.Add(toldAfter + drainGrace + socketSlop)
	time.Sleep(time.Until(limit.Add(200 * time.Millisecond)))
	d.change(shop("s-1", old.address, 1, "left"))
	old.end()
	successor, err := s.newTarget("s-4", old.address, 2, usualWork)
	if err != nil {
		return 0, err
	}
	d.change(shop("s-4", successor.address, 2, "active"))
	time.Sleep(8 * time.Second)
	for _, c := range old.received() {
		if late := c.at.Sub(limit); late > 0 {
			violations++
			s.record("BROKEN: s-1, leaving, got %s %.0f ms after the limit", c.id, float64(late.Microseconds())/1000)
		}
	}
	for _, c := range successor.received() {
		violations++
		s.record("BROKEN: s-4 of destination 2 got %s, for destination 1, %.0f ms after the limit; s-3 ran it: %v", c.id,
			float64(c.at.Sub(limit).Microseconds())/1000, replacement.has(c.id))
	}
	return violations, nil
}
