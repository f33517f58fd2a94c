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
	descriptorsEach = 16   // of a hollow forwarder at most; it needs three, and one more while it connects
	spareOpen       = 1024 // descriptors that a worker has for all else
	linesEach       = 4    // connections of a hollow forwarder at most
	maxReasons      = 16   // different reasons for the end of a watch that are kept apart
	otherReasons    = "other reasons"
)

// schedulerSettings are the operators' settings of a hollow forwarder: its zone's number and the number of forwarders
// are put in. Discovery is asked, and at least every ten seconds, as in the protocol's own example.
const schedulerSettings = `{"Azs":["zone-1","zone-2","zone-3","zone-4","zone-5","zone-6"],"MyZone":%d,"Kinds":["partner"],
"Classes":[{"Name":"status","Idempotency":"retryable","Slo":3000,"HardLimit":20000}],
"Extra":{"CallsOut":64,"KindBatch":[1]},"Guarantees":{"AskWithin":10000,"Cold":10000,"ColdFrom":0.2,"FallMultiple":2,
"KeyRest":100},"Limits":{"AttemptsCap":6,"MaxOpen":4000,"RetryAfter":true,"MaxRetryAfter":2000,"ConnIdle":10000,
"ConnectTimeout":1500},"Report":{"Fields":[]},"Discovery":"ask","WeightKind":"silent","NInstances":%d,"Tenants":[]}`

// worker is a process with hollow forwarders.
type worker struct {
	ctx     context.Context
	start   startRequest
	known   transport.EndpointList
	members []*hollowForwarder
	used    usage // by members that were ended; CPU is not counted here
	before  memoryUsage

	mu       sync.Mutex
	expected int64
	missing  int           // forwarders that do not have the expected revision
	all      chan struct{} // closed when there are none
	endings  map[string]int
	late     int
}

// hollowForwarder is one hollow forwarder.
type hollowForwarder struct {
	index   int // within the fleet
	dialer  *dial.Dialer
	cancel  context.CancelFunc
	ended   chan struct{}
	err     error // read once ended is closed
	inForce int64 // when the expected revision was, Unix time in nanoseconds; under the worker's lock
	holds   int64 // revision in force, 0 before there is one; under the worker's lock
}

func newWorker(ctx context.Context) *worker {
	return &worker{ctx: ctx, all: make(chan struct{}), endings: map[string]int{}}
}

func (w *worker) handle(r request) (answer response, err error) {
	switch {
	case r.Start != nil:
		answer.At, err = w.begin(*r.Start)
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

// begin starts the forwarders, which are expected to have the first revision, and returns when it began to.
func (w *worker) begin(s startRequest) (at int64, err error) {
	if len(w.members) > 0 {
		return 0, errors.New("the forwarders were started before")
	}
	if len(s.Addresses) != zoneCount {
		return 0, fmt.Errorf("addresses: %d, not one for each of %d zones", len(s.Addresses), zoneCount)
	}
	logging.Output = os.Stderr // standard output is the connection to the coordinator
	logging.SetLevel(logging.LevelError)
	nbio.MaxOpenFiles = s.Forwarders*descriptorsEach + spareOpen
	debug.SetMemoryLimit(s.MemoryLimit)
	w.start = s
	if s.KnowsList {
		w.known = knownList(s.Destinations)
	}
	w.before = processMemory()
	w.expected, w.missing = firstRevision, s.Forwarders
	at = time.Now().UnixNano()
	for i := range s.Forwarders {
		m, err := w.launch(s.FirstIndex + i)
		if err != nil {
			return 0, err
		}
		w.members = append(w.members, m)
	}
	return at, nil
}

// launch starts a forwarder.
func (w *worker) launch(index int) (*hollowForwarder, error) {
	zone := index % zoneCount
	read, names, err := settings.Read(fmt.Appendf(nil, schedulerSettings, zone, w.start.Fleet))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	order := &forwarder.Config{Name: fmt.Sprint("hollow-", index), Discovery: w.start.Addresses[zone], Scheduler: read, Names: names,
		Seed: w.start.Seed + uint64(index), LastEndpoints: w.known, ListBytes: w.start.ListBytes}
	dialer, err := dial.New(order.Name, linesEach)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(w.ctx)
	m := &hollowForwarder{index: index, dialer: dialer, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(m.ended)
		m.err = forwarder.FollowEndpoints(ctx, order, forwarder.EndpointFollower{Dialer: dialer, LogTo: w, OnReconciled: func(revision int64) { w.recordRevision(m, revision) }})
	}()
	return m, nil
}

// halt ends a forwarder.
func (m *hollowForwarder) halt() {
	m.cancel()
	<-m.ended
	m.dialer.Stop()
}

// stopAll ends forwarders at once.
func stopAll(members []*hollowForwarder) {
	var wait sync.WaitGroup
	for _, m := range members {
		wait.Go(m.halt)
	}
	wait.Wait()
}

func (w *worker) stop() { stopAll(w.members) }

// recordRevision records which revision a forwarder has in force now.
func (w *worker) recordRevision(m *hollowForwarder, revision int64) {
	now := time.Now().UnixNano()
	w.mu.Lock()
	defer w.mu.Unlock()
	m.holds = revision
	w.markInForce(m, now)
}

// markInForce notes that a forwarder has the expected revision, if it has and that was not known; the lock is held.
func (w *worker) markInForce(m *hollowForwarder, now int64) {
	if m.holds < w.expected || m.inForce > 0 {
		return
	}
	m.inForce = now
	if w.missing--; w.missing == 0 {
		close(w.all)
	}
}

// expect forgets what was noted, and notes from now on who has a revision.
func (w *worker) expect(revision int64) {
	now := time.Now().UnixNano()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expected, w.missing, w.all = revision, len(w.members), make(chan struct{})
	w.endings, w.late = map[string]int{}, 0
	for _, m := range w.members {
		m.inForce = 0
		if m.holds > 0 {
			w.markInForce(m, now)
		}
	}
}

// restarts tells whether a forwarder is among every so manyth of the fleet; these are spread over the zones.
func restarts(index, everyNth int) bool { return (index+index/zoneCount)%everyNth == 0 }

// restart ends every so manyth forwarder of the fleet and starts it anew. All are ended before the first starts.
func (w *worker) restart(everyNth int) error {
	if everyNth < 1 {
		return fmt.Errorf("every_nth: %d is under 1", everyNth)
	}
	var ended []*hollowForwarder
	for _, m := range w.members {
		if restarts(m.index, everyNth) {
			ended = append(ended, m)
		}
	}
	stopAll(ended)
	for _, m := range ended {
		w.used = w.used.plus(m.traffic())
		w.unmarkInForce(m)
	}
	for i, m := range w.members {
		if !restarts(m.index, everyNth) {
			continue
		}
		anew, err := w.launch(m.index)
		if err != nil {
			return err
		}
		w.members[i] = anew
	}
	return nil
}

// unmarkInForce counts a forwarder that has ended among those without the expected revision.
func (w *worker) unmarkInForce(m *hollowForwarder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.inForce == 0 {
		return
	}
	if w.missing == 0 {
		w.all = make(chan struct{})
	}
	w.missing++
}

// await waits until all forwarders have the expected revision, one has ended, or the time is over.
func (w *worker) await(within time.Duration) (answer response, err error) {
	w.mu.Lock()
	all := w.all
	w.mu.Unlock()
	select {
	case <-all:
	case <-time.After(within):
	case <-w.ctx.Done():
		return answer, w.ctx.Err()
	}
	for _, m := range w.members {
		select {
		case <-m.ended:
			return answer, fmt.Errorf("forwarder %d ended: %w", m.index, m.err)
		default:
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.members {
		answer.InForce = append(answer.InForce, m.inForce)
	}
	for why, count := range w.endings {
		answer.Endings = append(answer.Endings, ending{Why: why, Count: count})
	}
	answer.Late = w.late
	return answer, nil
}

func (m *hollowForwarder) traffic() usage {
	return usage{Received: m.dialer.Received.Load(), Sent: m.dialer.Sent.Load()}
}

func (w *worker) usage() (*usage, error) {
	used := w.used
	for _, m := range w.members {
		used = used.plus(m.traffic())
	}
	var err error
	used.CPU, err = processorTime()
	return &used, err
}

// memory is what the forwarders take beyond what the process took before them.
func (w *worker) memory() *memoryUsage {
	now := processMemory()
	return &memoryUsage{Live: now.Live - w.before.Live, Peak: now.Peak - w.before.Resident,
		Resident: now.Resident - w.before.Resident, Before: w.before.Resident}
}

// processMemory is what this process takes, after a collection.
func processMemory() memoryUsage {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	pid := os.Getpid()
	return memoryUsage{Live: int64(m.HeapAlloc + m.StackInuse), Peak: residentMemory(pid, residentPeak), Resident: residentMemory(pid, residentNow)}
}

// logLine is what is read of a forwarder's log line. Why is the older name of Reason.
type logLine struct {
	Message string
	Reason  string
	Why     string
}

// reason is why a watch ended, without the address, which differs from zone to zone.
func (l *logLine) reason() string {
	reason := l.Reason + l.Why // a line has one of them
	if strings.HasPrefix(reason, "dial ") {
		_, reason, _ = strings.Cut(reason, ": ")
	}
	return reason
}

// Write takes the forwarders' log lines, of which it counts the ends of watches and the slow turns. It implements
// io.Writer and returns no errors.
func (w *worker) Write(line []byte) (int, error) {
	var parsed logLine
	if json.Unmarshal(line, &parsed) != nil {
		return len(line), nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch parsed.Message {
	case "slow turn", "late": // the latter is the older name
		w.late++
	case "watch ended":
		reason := parsed.reason()
		if _, known := w.endings[reason]; !known && len(w.endings) >= maxReasons {
			reason = otherReasons
		}
		w.endings[reason]++
	}
	return len(line), nil
}
