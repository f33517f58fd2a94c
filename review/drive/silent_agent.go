package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	claimsGrace  = 500 * time.Millisecond  // rules.drain_grace_ms of lubbock-claims
	restartPause = 600 * time.Millisecond  // from SIGKILL to the next start
	outage       = 7900 * time.Millisecond // the pages have 8 s
)

// claimsSettings are the settings of a small deployment of lubbock-claims, where lists are pushed.
func claimsSettings() map[string]any {
	return map[string]any{
		"Azs":   []string{"lubbock-1"},
		"Kinds": []string{"maker", "insurer", "vendor"},
		"Classes": []map[string]any{
			{"Name": "claim-submit", "Idempotency": "dedup", "Group": "all", "Slo": 3000, "HardLimit": 20000,
				"MemorySpan": 5000, "LateShare": 0.4, "Worth": 2, "Streaming": false},
			{"Name": "status-update", "Idempotency": "retryable", "Group": "all", "Slo": 3000, "HardLimit": 20000,
				"LateShare": 0.4, "Worth": 1, "Streaming": false},
		},
		"Extra": map[string]any{"CallsOut": 12, "Decay": "line", "KindBatch": []int{1, 1, 1},
			"SeparateRoutes": []bool{false, false, false}, "RefusalCost": 0.05},
		"Guarantees": map[string]any{"Cold": 12000, "ColdFrom": 0.2, "DrainGrace": 500, "FallMultiple": 2,
			"GraceToAnswer": 20, "OverloadFor": 1500},
		"Limits": map[string]any{"AttemptsCap": 8, "Cancel": true, "ConnIdle": 15000, "ConnectTimeout": 1500,
			"MaxOpen": 200, "MaxRetryAfter": 3000, "RetryAfter": true, "StreamsPerConn": 1},
		"Report":     map[string]any{"Fields": []string{}, "Source": "silent"},
		"Discovery":  "push",
		"WeightKind": "rough",
		"NInstances": 2,
		"Me":         0,
		"MyZone":     0,
		"Tenants":    []any{},
	}
}

// silentAgent plays case 2. While a forwarder restarts, its agent gets word that the only target of destination 1 begins
// to leave and has a successor. Then discovery is down for 8 s. What the agent has counts as told from the first moment of
// the new process. After the grace the target is gone and its address belongs to a target of destination 2. The rule is
// broken if the new process sends messages for destination 1 to the address after the grace.
func silentAgent(s *stage) (violations int, err error) {
	addresses, err := s.addresses(4)
	if err != nil {
		return 0, err
	}
	vendor := func(uid, address string, dest int, state string) entry {
		return entry{uid, address, "lubbock-1", "vendor", dest, state, 10, 0}
	}
	old, err := s.newTarget("s-1", addresses[0], 1, usualWork)
	if err != nil {
		return 0, err
	}
	other, err := s.newTarget("s-2", addresses[1], 2, usualWork)
	if err != nil {
		return 0, err
	}
	d, err := s.newDiscovery(addresses[3], vendor("s-1", old.address, 1, "active"), vendor("s-2", other.address, 2, "active"))
	if err != nil {
		return 0, err
	}
	f, err := s.newForwarder("n1", d.address, claimsSettings(), d.whole()) // the list as it has it when it is killed
	if err != nil {
		return 0, err
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	for i := range 4 {
		for _, target := range []*target{old, other} {
			m := &message{id: fmt.Sprintf("quiet-%d-%d", target.dest, i), class: "status-update", dest: target.dest, ms: 20000}
			f.put(m)
			if !m.taken() || !waitFor(2*time.Second, func() bool { return target.has(m.id) }) {
				return 0, fmt.Errorf("%w: %s was not delivered", errSetup, m.id)
			}
		}
		time.Sleep(usualWork)
	}
	// A planned restart, as SIGKILL alone. Meanwhile the target begins to leave.
	f.kill()
	killed := time.Now()
	replacement, err := s.newTarget("s-3", addresses[2], 1, usualWork)
	if err != nil {
		return 0, err
	}
	d.change(vendor("s-1", old.address, 1, "leaving"), vendor("s-3", replacement.address, 1, "active"))
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		d.treat(func(string) verdict { return verdict{status: http.StatusServiceUnavailable} })
		s.record("discovery: down")
	}
	down := time.Now()
	time.Sleep(time.Until(killed.Add(restartPause)))
	started := time.Now()
	if err := f.start(); err != nil {
		return 0, err
	}
	limit := started.Add(claimsGrace + socketSlop)
	time.Sleep(time.Until(limit.Add(100 * time.Millisecond)))
	old.end()
	successor, err := s.newTarget("s-4", old.address, 2, usualWork)
	if err != nil {
		return 0, err
	}
	var messages []*message
	for i := range 11 {
		class := []string{"status-update", "claim-submit"}[i%2]
		m := &message{id: fmt.Sprintf("claim-%d", i), class: class, key: fmt.Sprintf("k%d", i), dest: 1, ms: 20000}
		f.put(m)
		messages = append(messages, m)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(down.Add(outage)))
	d.change(vendor("s-1", old.address, 1, "left"), vendor("s-4", successor.address, 2, "active"))
	d.treat(nil)
	s.record("discovery: up")
	time.Sleep(2 * time.Second)
	for _, c := range append(old.received(), successor.received()...) {
		late := float64(c.at.Sub(limit).Microseconds()) / 1000
		if late > 0 {
			violations++
			s.record("BROKEN: %s got %s, %.0f ms after the limit", c.target, c.id, late)
		}
	}
	for _, m := range messages {
		s.record("%s for destination 1, %s: run by s-4 of destination 2: %v, by s-3 of destination 1: %v, notice %q",
			m.id, m.reply, successor.has(m.id), replacement.has(m.id), d.noticeOf(m.id).State)
	}
	f.recordLog("call failed", "not delivered", "watch ended")
	return violations, nil
}
