package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"spanflow/forwarder"
	"spanflow/internal/dial"
	"spanflow/internal/settings"
	"spanflow/transport"
)

const (
	descriptorsEach  = 16   // limit for a hollow forwarder, which needs three, or four while it connects
	spareDescriptors = 1024 // descriptors of a worker for everything else
	connectionsEach  = 4    // connection limit of a hollow forwarder
	maxReasons       = 16   // reasons for the end of a watch that are counted separately
	otherReasons     = "other reasons"
)

// schedulerSettings is a format string for the operators' settings of a hollow forwarder. Its arguments are the number
// of the forwarder's zone and the number of forwarders. Discovery is polled at least every ten seconds, as in the
// example of the protocol.
const schedulerSettings = `{"Azs":["zone-1","zone-2","zone-3","zone-4","zone-5","zone-6"],"MyZone":%d,"Kinds":["partner"],
"Classes":[{"Name":"status","Idempotency":"retryable","Slo":3000,"HardLimit":20000}],
"Extra":{"CallsOut":64,"KindBatch":[1]},"Guarantees":{"AskWithin":10000,"Cold":10000,"ColdFrom":0.2,"FallMultiple":2,
"KeyRest":100},"Limits":{"AttemptsCap":6,"MaxOpen":4000,"RetryAfter":true,"MaxRetryAfter":2000,"ConnIdle":10000,
"ConnectTimeout":1500},"Report":{"Fields":[]},"Discovery":"ask","WeightKind":"silent","NInstances":%d,"Tenants":[]}`

// worker is a process that runs hollow forwarders.
type worker struct {
	ctx            context.Context
	start          startRequest
	knownEndpoints transport.EndpointList
	forwarders     []*hollowForwarder
	used           usage // traffic of forwarders that were stopped by a restart; CPU is not set
	before         memoryUsage

	mu         sync.Mutex
	expected   int64
	missing    int           // number of forwarders without the expected revision
	allInForce chan struct{} // closed when missing falls to 0
	endings    map[string]int
	slowTurns  int
}

type hollowForwarder struct {
	index     int // index within the fleet
	dialer    *dial.Dialer
	cancel    context.CancelFunc
	ended     chan struct{}
	err       error // valid once ended is closed
	inForceAt int64 // Unix time in nanoseconds at which the expected revision came into force; guarded by the worker's mu
	revision  int64 // revision in force, 0 before the first; guarded by the worker's mu
}

func newWorker(ctx context.Context) *worker {
	return &worker{ctx: ctx, allInForce: make(chan struct{}), endings: map[string]int{}}
}

func (w *worker) handle(r request) (answer response, err error) {
	switch {
	case r.Start != nil:
		answer.At, err = w.startForwarders(*r.Start)
	case r.Expect != nil:
		w.expect(r.Expect.Revision)
	case r.Restart != nil:
		err = w.restart(r.Restart.EveryNth)
	case r.Await != nil:
		answer, err = w.await(r.Await.Within)
	case r.Usage != nil:
		answer.Usage, err = w.usage()
	case r.Memory != nil:
		answer.Memory = w.memory()
	default:
		err = errUnknownRequest
	}
	return answer, err
}

// startForwarders starts the forwarders and sets the first revision as the expected one. It returns the Unix time in
// nanoseconds just before the first start.
func (w *worker) startForwarders(s startRequest) (at int64, err error) {
	if len(w.forwarders) > 0 {
		return 0, errors.New("the forwarders have already been started")
	}
	if len(s.Addresses) != zoneCount {
		return 0, fmt.Errorf("addresses: got %d, want one for each of the %d zones", len(s.Addresses), zoneCount)
	}
	logging.Output = os.Stderr // standard output carries the answers to the coordinator
	logging.SetLevel(logging.LevelError)
	nbio.MaxOpenFiles = s.Forwarders*descriptorsEach + spareDescriptors
	debug.SetMemoryLimit(s.MemoryLimit)
	w.start = s
	if s.KnowsList {
		w.knownEndpoints = knownList(s.Destinations)
	}
	w.before = processMemory()
	w.expected, w.missing = firstRevision, s.Forwarders
	at = time.Now().UnixNano()
	for i := range s.Forwarders {
		m, err := w.launch(s.FirstIndex + i)
		if err != nil {
			return 0, err
		}
		w.forwarders = append(w.forwarders, m)
	}
	return at, nil
}

// launch starts the forwarder with the given index within the fleet.
func (w *worker) launch(index int) (*hollowForwarder, error) {
	zone := index % zoneCount
	parsed, names, err := settings.Read(fmt.Appendf(nil, schedulerSettings, zone, w.start.Fleet))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config := &forwarder.Config{Name: fmt.Sprint("hollow-", index), Discovery: w.start.Addresses[zone], Scheduler: parsed, Names: names,
		Seed: w.start.Seed + uint64(index), LastEndpoints: w.knownEndpoints, ListBytes: w.start.ListBytes}
	dialer, err := dial.New(config.Name, connectionsEach)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(w.ctx)
	m := &hollowForwarder{index: index, dialer: dialer, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(m.ended)
		m.err = forwarder.FollowEndpoints(ctx, config, forwarder.EndpointFollower{Dialer: dialer, LogTo: w, OnReconciled: func(revision int64) { w.recordRevision(m, revision) }})
	}()
	return m, nil
}

// halt stops a forwarder and waits until it has ended.
func (m *hollowForwarder) halt() {
	m.cancel()
	<-m.ended
	m.dialer.Stop()
}

// stopAll stops forwarders in parallel.
func stopAll(forwarders []*hollowForwarder) {
	var wait sync.WaitGroup
	for _, m := range forwarders {
		wait.Go(m.halt)
	}
	wait.Wait()
}

func (w *worker) stop() { stopAll(w.forwarders) }

// recordRevision records that a revision has come into force at a forwarder.
func (w *worker) recordRevision(m *hollowForwarder, revision int64) {
	now := time.Now().UnixNano()
	w.mu.Lock()
	defer w.mu.Unlock()
	m.revision = revision
	w.markInForce(m, now)
}

// markInForce records that the expected revision came into force at a forwarder. It does nothing if the forwarder has
// an older revision or the time is already recorded. The caller must hold mu.
func (w *worker) markInForce(m *hollowForwarder, now int64) {
	if m.revision < w.expected || m.inForceAt > 0 {
		return
	}
	m.inForceAt = now
	if w.missing--; w.missing == 0 {
		close(w.allInForce)
	}
}

// expect resets the records and sets the revision that is expected next. Forwarders that already have it are
// recorded with the current time.
func (w *worker) expect(revision int64) {
	now := time.Now().UnixNano()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expected, w.missing, w.allInForce = revision, len(w.forwarders), make(chan struct{})
	w.endings, w.slowTurns = map[string]int{}, 0
	for _, m := range w.forwarders {
		m.inForceAt = 0
		if m.revision > 0 {
			w.markInForce(m, now)
		}
	}
}

// isRestarted reports whether a forwarder is among every nth of the fleet, which are spread evenly over the zones.
func isRestarted(index, everyNth int) bool { return (index+index/zoneCount)%everyNth == 0 }

// restart restarts every nth forwarder of the fleet. All of them are stopped before the first one starts again.
func (w *worker) restart(everyNth int) error {
	if everyNth < 1 {
		return fmt.Errorf("every_nth: %d is less than 1", everyNth)
	}
	var stopped []*hollowForwarder
	for _, m := range w.forwarders {
		if isRestarted(m.index, everyNth) {
			stopped = append(stopped, m)
		}
	}
	stopAll(stopped)
	for _, m := range stopped {
		w.used = w.used.plus(m.traffic())
		w.unmarkInForce(m)
	}
	for i, m := range w.forwarders {
		if !isRestarted(m.index, everyNth) {
			continue
		}
		restarted, err := w.launch(m.index)
		if err != nil {
			return err
		}
		w.forwarders[i] = restarted
	}
	return nil
}

// unmarkInForce counts a stopped forwarder as one without the expected revision.
func (w *worker) unmarkInForce(m *hollowForwarder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.inForceAt == 0 {
		return
	}
	if w.missing == 0 {
		w.allInForce = make(chan struct{})
	}
	w.missing++
}

// await waits until the expected revision is in force at all forwarders or it times out. It returns an error if a
// forwarder has ended by then.
func (w *worker) await(within time.Duration) (answer response, err error) {
	w.mu.Lock()
	allInForce := w.allInForce
	w.mu.Unlock()
	select {
	case <-allInForce:
	case <-time.After(within):
	case <-w.ctx.Done():
		return answer, w.ctx.Err()
	}
	for _, m := range w.forwarders {
		select {
		case <-m.ended:
			return answer, fmt.Errorf("forwarder %d ended: %w", m.index, m.err)
		default:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.forwarders {
		answer.InForce = append(answer.InForce, m.inForceAt)
	}
	for reason, count := range w.endings {
		answer.Endings = append(answer.Endings, ending{Why: reason, Count: count})
	}
	answer.SlowTurns = w.slowTurns
	return answer, nil
}

func (m *hollowForwarder) traffic() usage {
	return usage{Received: m.dialer.Received.Load(), Sent: m.dialer.Sent.Load()}
}

func (w *worker) usage() (*usage, error) {
	used := w.used
	for _, m := range w.forwarders {
		used = used.plus(m.traffic())
	}
	var err error
	used.CPU, err = processorTime()
	return &used, err
}

// memory returns the memory of the process in excess of its memory before the forwarders started.
func (w *worker) memory() *memoryUsage {
	now := processMemory()
	return &memoryUsage{Live: now.Live - w.before.Live, Peak: now.Peak - w.before.Resident,
		Resident: now.Resident - w.before.Resident, Before: w.before.Resident}
}

// processMemory returns the memory of this process after a garbage collection.
func processMemory() memoryUsage {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	pid := os.Getpid()
	return memoryUsage{Live: int64(m.HeapAlloc + m.StackInuse), Peak: residentMemory(pid, residentPeak), Resident: residentMemory(pid, residentNow)}
}

// logLine contains the fields that are read from a forwarder's log lines. Why is the older name of Reason.
type logLine struct {
	Message string
	Reason  string
	Why     string
}

// reason returns the reason for the end of a watch. It removes the address in dial errors, as that differs by zone.
func (l *logLine) reason() string {
	reason := l.Reason + l.Why // a line has only one of them
	if strings.HasPrefix(reason, "dial ") {
		_, reason, _ = strings.Cut(reason, ": ")
	}
	return reason
}

// Write receives one log line of a forwarder and counts it if it reports the end of a watch or a slow turn. It never
// returns an error.
func (w *worker) Write(line []byte) (int, error) {
	var parsed logLine
	if json.Unmarshal(line, &parsed) != nil {
		return len(line), nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch parsed.Message {
	case "slow turn", "late": // "late" is the older name
		w.slowTurns++
	case "watch ended":
		reason := parsed.reason()
		if _, known := w.endings[reason]; !known && len(w.endings) >= maxReasons {
			reason = otherReasons
		}
		w.endings[reason]++
	}
	return len(line), nil
}
