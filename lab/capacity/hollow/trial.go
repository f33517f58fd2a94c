package hollow

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"spanflow/lab/capacity"
)

const (
	warmUpDivisor = 10                     // a trial warms up for Config.Duration divided by this before it measures
	changePause   = 250 * time.Millisecond // pause between two changes
	maxEndings    = 3                      // maximum number of reasons for ended watches in the notes
)

// titles are the names of the scenarios in results.
var titles = map[Scenario]string{Idle: "idle", Change: "change", Restart: "restart of a third", Outage: "discovery away",
	Zone: "zone cut off", FullList: "whole list"}

// trial runs one scenario with one fleet.
type trial struct {
	config    Config
	scenario  Scenario
	fleet     *fleet
	revision  int64 // latest revision of the list
	delays    []time.Duration
	missed    int
	endings   map[string]int
	slowTurns int
	notes     []string
	result    capacity.FleetTrial
}

func (t *trial) run() error {
	t.revision, t.endings = firstRevision, map[string]int{}
	t.result = capacity.FleetTrial{Scenario: titles[t.scenario], Forwarders: t.fleet.size.forwarders, Destinations: t.config.Destinations}
	if t.fleet.size.note != "" {
		t.notes = append(t.notes, t.fleet.size.note)
	}
	if t.config.ListBytes > 0 {
		t.notes = append(t.notes, fmt.Sprintf("an object of a watch may have %d MB, against the forwarder's own limit", t.config.ListBytes>>20))
	}
	if t.scenario == FullList {
		return t.runFullList()
	}
	if _, err := t.fleet.launch(true); err != nil {
		return err
	}
	started, err := t.fleet.await(inForceTimeout)
	if err != nil {
		return err
	}
	if slices.Contains(started.inForce, 0) {
		return fmt.Errorf("%d forwarders received nothing from discovery within %s", count(started.inForce, 0), inForceTimeout)
	}
	if err := t.pause(t.config.Duration / warmUpDivisor); err != nil {
		return err
	}
	if err := t.measureIdle(); err != nil {
		return err
	}
	if t.scenario != Idle {
		if err := t.measureEvent(); err != nil {
			return err
		}
	}
	return t.finish()
}

// runFullList starts all forwarders without a list and then measures the idle window.
func (t *trial) runFullList() error {
	before, err := t.fleet.snapshot()
	if err != nil {
		return err
	}
	began, err := t.fleet.launch(false)
	if err != nil {
		return err
	}
	if err := t.awaitInForce(func(int) int64 { return began }); err != nil {
		return err
	}
	after, err := t.fleet.snapshot()
	if err != nil {
		return err
	}
	t.result.Changes = 1
	if t.missed == 0 { // forwarders that missed the list would keep asking for it and not be idle
		if err := t.pause(t.config.Duration / warmUpDivisor); err != nil {
			return err
		}
		if err := t.measureIdle(); err != nil {
			return err
		}
	}
	t.account(before, after)
	return t.finish()
}

// measureIdle measures a window in which nothing changes.
func (t *trial) measureIdle() error {
	t.config.progress("%s: idle for %s", t.scenario, t.config.Duration)
	before, err := t.fleet.snapshot()
	if err != nil {
		return err
	}
	if err := t.pause(t.config.Duration); err != nil {
		return err
	}
	after, err := t.fleet.snapshot()
	if err != nil {
		return err
	}
	seconds := after.at.Sub(before.at).Seconds()
	used, n := after.workers.minus(before.workers), float64(t.result.Forwarders)
	t.result.ForwarderIdleBytes, t.result.ForwarderIdleCPU = used.bytes()/seconds/n, used.CPU/seconds/n
	if t.scenario == Idle {
		server := after.server.minus(before.server)
		t.result.ServerBytes, t.result.ServerCPU = server.bytes(), server.CPU
		t.notes = append(t.notes, fmt.Sprintf("server figures of %.0f s", seconds))
	}
	return nil
}

// measureEvent runs the scenario's event and measures its cost.
func (t *trial) measureEvent() error {
	before, err := t.fleet.snapshot()
	if err != nil {
		return err
	}
	events := map[Scenario]func() error{Change: t.change, Restart: t.restart, Outage: t.outage, Zone: t.cutOff}
	if err := events[t.scenario](); err != nil {
		return err
	}
	after, err := t.fleet.snapshot()
	if err != nil {
		return err
	}
	t.account(before, after)
	return nil
}

// account computes the cost of the changes between two snapshots. The cost of an idle window of the same length is
// subtracted from the forwarders' cost.
func (t *trial) account(before, after snapshot) {
	used, server := after.workers.minus(before.workers), after.server.minus(before.server)
	n, changes, seconds := float64(t.result.Forwarders), float64(t.result.Changes), after.at.Sub(before.at).Seconds()
	t.result.ForwarderBytesPerChange = max(0, used.bytes()/n-t.result.ForwarderIdleBytes*seconds) / changes
	if cpu := used.CPU/n - t.result.ForwarderIdleCPU*seconds; cpu > 0 {
		t.result.ForwarderCPUPerChange = cpu / changes
	} else {
		t.notes = append(t.notes, "the forwarders took no more CPU than in the idle window")
	}
	t.result.ServerBytes, t.result.ServerCPU = server.bytes(), server.CPU
	t.notes = append(t.notes, fmt.Sprintf("server and machine figures of %.1f s, machine %.0f%% busy, forwarders' processes %.1f s of CPU",
		seconds, 100*busyFraction(before.machine, after.machine), used.CPU))
}

// publish changes the list and returns the Unix time of the change in nanoseconds.
func (t *trial) publish() (at int64, err error) {
	t.revision++
	t.result.Changes++
	return t.fleet.publish()
}

// awaitInForce waits until the latest revision is in force at all forwarders and records the delays. since returns the
// earliest time at which a forwarder could receive the revision.
func (t *trial) awaitInForce(since func(forwarder int) int64) error {
	result, err := t.fleet.await(inForceTimeout)
	if err != nil {
		return err
	}
	for forwarder, at := range result.inForce {
		if at == 0 {
			t.missed++
			continue
		}
		t.delays = append(t.delays, time.Duration(at-since(forwarder)))
	}
	t.slowTurns += result.slowTurns
	for reason, n := range result.endings {
		t.endings[reason] += n
	}
	return nil
}

func (t *trial) change() error {
	for range t.config.Changes {
		if err := t.fleet.expect(t.revision + 1); err != nil {
			return err
		}
		at, err := t.publish()
		if err != nil {
			return err
		}
		if err := t.awaitInForce(func(int) int64 { return at }); err != nil {
			return err
		}
		if err := t.pause(changePause); err != nil {
			return err
		}
	}
	return nil
}

// restart restarts a third of the forwarders and changes the list while they start.
func (t *trial) restart() error {
	if err := t.fleet.expect(t.revision + 1); err != nil {
		return err
	}
	_, err := t.fleet.requestAll(func(int) request { return request{Restart: &restartRequest{EveryNth: restartEveryNth}} })
	if err != nil {
		return err
	}
	at, err := t.publish()
	if err != nil {
		return err
	}
	return t.awaitInForce(func(int) int64 { return at })
}

// outage stops discovery, changes the list during the outage, and measures delays from the end of the outage.
func (t *trial) outage() error {
	if err := t.fleet.expect(t.revision + 1); err != nil {
		return err
	}
	if _, err := t.fleet.setReach(reachDown, 0); err != nil {
		return err
	}
	if err := t.pause(t.config.Duration / 2); err != nil {
		return err
	}
	if _, err := t.publish(); err != nil {
		return err
	}
	if err := t.pause(t.config.Duration / 2); err != nil {
		return err
	}
	restoredAt, err := t.fleet.setReach(reachUp, 0)
	if err != nil {
		return err
	}
	t.notes = append(t.notes, fmt.Sprintf("away for %s; times from its return", t.config.Duration))
	return t.awaitInForce(func(int) int64 { return restoredAt })
}

// cutOff cuts a zone off and changes the list. Delays are measured from the change, but in the cut-off zone from the
// end of the cut.
func (t *trial) cutOff() error {
	if err := t.fleet.expect(t.revision + 1); err != nil {
		return err
	}
	if _, err := t.fleet.setReach(reachCut, cutZone); err != nil {
		return err
	}
	publishedAt, err := t.publish()
	if err != nil {
		return err
	}
	if err := t.pause(t.config.Duration); err != nil {
		return err
	}
	restoredAt, err := t.fleet.setReach(reachRestored, cutZone)
	if err != nil {
		return err
	}
	t.notes = append(t.notes, fmt.Sprintf("%d forwarders cut off for %s; their times from its end", t.inZone(cutZone), t.config.Duration))
	return t.awaitInForce(func(forwarder int) int64 {
		if forwarder%zoneCount == cutZone {
			return restoredAt
		}
		return publishedAt
	})
}

func (t *trial) inZone(zone int) int { return (t.result.Forwarders - zone + zoneCount - 1) / zoneCount }

// finish completes the result with the memory, the delays and the note.
func (t *trial) finish() error {
	memory, err := t.fleet.memory()
	if err != nil {
		return err
	}
	n := float64(t.result.Forwarders)
	t.result.ForwarderMemory = float64(memory.Live) / n
	t.notes = append(t.notes, fmt.Sprintf("resident memory per forwarder %.2f MB, at most %.2f MB", float64(memory.Resident)/n/(1<<20),
		float64(max(memory.Peak, memory.Resident))/n/(1<<20)))
	if t.result.Changes > 0 {
		t.summarise()
	}
	t.result.Note = strings.Join(t.notes, "; ")
	return nil
}

// summarise adds the delays to the result, and notes about delays that were too long.
func (t *trial) summarise() {
	slices.Sort(t.delays)
	total := len(t.delays) + t.missed
	t.result.Missed = t.missed
	t.result.InForce50, t.result.InForce99 = percentile(t.delays, total, 0.5), percentile(t.delays, total, 0.99)
	if len(t.delays) > 0 {
		t.result.InForceLast = t.delays[len(t.delays)-1].Seconds()
	}
	tooLate := t.missed
	for _, d := range t.delays {
		if d > InForceTarget {
			tooLate++
		}
	}
	if tooLate > 0 {
		t.notes = append(t.notes, fmt.Sprintf("NOT IN TIME: %d of %d had it after more than %s or not within %s", tooLate, total, InForceTarget, inForceTimeout))
	}
	if t.slowTurns > 0 {
		t.notes = append(t.notes, fmt.Sprintf("%d late turns", t.slowTurns))
	}
	reasons := slices.SortedFunc(maps.Keys(t.endings), func(a, b string) int { return t.endings[b] - t.endings[a] })
	for _, reason := range reasons[:min(len(reasons), maxEndings)] {
		t.notes = append(t.notes, fmt.Sprintf("watches ended %d times: %s", t.endings[reason], reason))
	}
}

// percentile returns the nearest-rank percentile of the delays of all forwarders in seconds. Forwarders that missed the
// revision have no entry in sorted and rank last; percentile returns 0 if the rank falls on one of them.
func percentile(sorted []time.Duration, total int, share float64) float64 {
	rank := int(math.Ceil(share * float64(total)))
	if rank < 1 || rank > len(sorted) {
		return 0
	}
	return sorted[rank-1].Seconds()
}

func (t *trial) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-t.fleet.ctx.Done():
		return context.Cause(t.fleet.ctx)
	}
}

func count(times []int64, value int64) (n int) {
	for _, at := range times {
		if at == value {
			n++
		}
	}
	return n
}
