package main

import (
	"fmt"
	"time"
)

const (
	drainGrace = 250 * time.Millisecond // rules.drain_grace_ms of palermo-rotte
	socketSlop = 50 * time.Millisecond  // each time limit on sockets is so much longer
	usualWork  = 60 * time.Millisecond
)

// palermoSettings are the settings of a small deployment of palermo-rotte.
func palermoSettings(forwarders int) map[string]any {
	return map[string]any{
		"Azs":   []string{"catania-1"},
		"Kinds": []string{"member-dispatch", "client-shop"},
		"Classes": []map[string]any{
			{"Name": "stop-confirm", "Idempotency": "dedup", "Group": "all", "Slo": 2000, "HardLimit": 24000,
				"MemorySpan": 25000, "LateShare": 0.3, "Worth": 1, "Streaming": false},
			{"Name": "route-update", "Idempotency": "retryable", "Group": "all", "Slo": 1000, "HardLimit": 8000,
				"LateShare": 0, "Worth": 2, "Streaming": false},
		},
		"Extra": map[string]any{"CallsOut": 8, "Decay": "line", "KindBatch": []int{5, 1},
			"SeparateRoutes": []bool{false, false}, "RefusalCost": 0.05},
		"Guarantees": map[string]any{"AskWithin": 10000, "Cold": 12000, "ColdFrom": 0.2, "DrainGrace": 250,
			"FallMultiple": 2, "GraceToAnswer": 20, "OverloadFor": 1500},
		"Limits": map[string]any{"AttemptsCap": 8, "Cancel": true, "ConnIdle": 5000, "ConnectTimeout": 1500,
			"MaxOpen": 120, "MaxRetryAfter": 2000, "RetryAfter": false, "StreamsPerConn": 1},
		"Report":     map[string]any{"Fields": []string{}, "Source": "silent"},
		"Discovery":  "ask",
		"WeightKind": "nominal",
		"NInstances": forwarders,
		"Me":         0,
		"MyZone":     0,
		"Tenants":    []any{},
	}
}

// lateConnection plays case 1. The only target of destination 1 is replaced while calls to it wait for their
// connections, which come up late. Discovery tells it with a whole list that no longer has the target. Its address is
// then given to a target of destination 2. The rule is broken if that target gets messages for destination 1.
func lateConnection(s *stage) (violations int, err error) {
	addresses, err := s.addresses(4)
	if err != nil {
		return 0, err
	}
	shop := func(uid, address string, dest int, state string) entry {
		return entry{uid, address, "catania-1", "client-shop", dest, state, 5, 0}
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
	f, err := s.newForwarder("n1", d.address, palermoSettings(2), d.whole())
	if err != nil {
		return 0, err
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	// A quiet time in which all connections come up at once.
	for i := range 8 {
		for dest, target := range map[int]*target{1: old, 2: other} {
			m := &message{id: fmt.Sprintf("quiet-%d-%d", dest, i), class: "route-update", dest: dest, ms: 8000}
			f.put(m)
			if !m.taken() || !waitFor(2*time.Second, func() bool { return target.has(m.id) }) {
				return 0, fmt.Errorf("%w: %s was not delivered", errSetup, m.id)
			}
		}
		time.Sleep(usualWork)
	}
	// From here on new connections to the target come up late.
	if s.trouble {
		if err := old.holdConnections(); err != nil {
			return 0, err
		}
	}
	// The watch ends. When the forwarder asks anew, clients hand messages in; a moment later it is told the whole list,
	// in which destination 1 has another target.
	asked := make(chan struct{})
	answer := make(chan struct{})
	first := true
	d.treat(func(string) verdict {
		if first {
			first = false
			close(asked)
			<-answer
		}
		return verdict{whole: true}
	})
	d.endWatches()
	d.change(shop("s-1", old.address, 1, "leaving"))
	select {
	case <-asked:
	case <-time.After(5 * time.Second):
		return 0, fmt.Errorf("%w: discovery is not asked again", errSetup)
	}
	var messages []*message
	for i := range 3 {
		m := &message{id: fmt.Sprintf("order-%d", i), class: "stop-confirm", key: fmt.Sprintf("k%d", i), dest: 1, ms: 24000}
		f.put(m)
		if !m.taken() {
			return 0, fmt.Errorf("%w: %s was not taken on", errSetup, m.id)
		}
		messages = append(messages, m)
	}
	time.Sleep(150 * time.Millisecond)
	d.change(shop("s-1", old.address, 1, "left"), shop("s-3", replacement.address, 1, "active"))
	version := d.whole().Rev
	close(answer)
	if !waitFor(time.Second, func() bool { return !d.toldAt(version).IsZero() }) {
		return 0, fmt.Errorf("%w: the list was not told", errSetup)
	}
	told := d.toldAt(version)
	time.Sleep(30 * time.Millisecond)
	old.end()
	// The grace of the rule on drains passes before the address is given to a target of another destination.
	time.Sleep(time.Until(told.Add(drainGrace + socketSlop + 50*time.Millisecond)))
	successor, err := s.newTarget("s-4", old.address, 2, usualWork)
	if err != nil {
		return 0, err
	}
	d.change(shop("s-4", successor.address, 2, "active"))
	// Everything else goes on: some more messages for both destinations.
	time.Sleep(1500 * time.Millisecond)
	for i := range 6 {
		m := &message{id: fmt.Sprintf("after-%d", i), class: "route-update", dest: 1 + i%2, ms: 8000}
		f.put(m)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	limit := told.Add(drainGrace + socketSlop)
	for _, m := range messages {
		switch {
		case successor.has(m.id):
			violations++
			s.record("BROKEN: %s, for destination 1, was run by %s of destination 2; %s ran it: %v; notice: %q",
				m.id, successor.uid, replacement.uid, replacement.has(m.id), d.noticeOf(m.id).State)
		default:
			s.record("kept: %s: run by s-1 %v, by %s %v", m.id, old.has(m.id), replacement.uid, replacement.has(m.id))
		}
	}
	for _, c := range successor.received() {
		s.record("%s got %s %.0f ms after the list was told, %.0f ms after the limit", c.target, c.id,
			float64(c.at.Sub(told).Microseconds())/1000, float64(c.at.Sub(limit).Microseconds())/1000)
	}
	late := 0
	if s.trouble {
		late = len(messages)
	}
	all := len(old.received()) + len(other.received()) + len(replacement.received()) + len(successor.received())
	s.record("connections to targets that came up late: %d of %d", late, all)
	f.recordLog("call failed", "not delivered", "watch ended")
	return violations, nil
}
