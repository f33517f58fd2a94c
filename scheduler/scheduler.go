// Package scheduler decides which message is sent when, to which endpoint, and which is given up. It does no I/O, reads
// no clock and starts no goroutine.
//
// Events go in, one Reconcile follows, and calls to the Host come out. The adapter is the program around a Scheduler:
// it reports the events and implements Host. For all that happens at one moment it calls SetTime, then one method for
// each event in the order of arrival (PauseKeys, ContinueWatch, UpdateEndpoints, PollTimedOut, WatchBroken,
// WatchSilent, Accept, Recover, LoadStored, AnswerWithoutCall, AttemptEnded, NoticeAcknowledged, Withdraw, TimerFired, Stop), and
// then Reconcile once. The event methods only update the state; Reconcile decides what follows from it and calls the
// Host for what differs. Admit says before Accept whether a message may be accepted. A Scheduler, and everything it was
// given, belongs to one goroutine.
//
// Times are seconds on the caller's clock, rates are calls a second unless messages are named. The request path is
// described in docs/design.md. Each concern has a file:
//
//   - host.go, settings.go, message.go, destination.go: the interface to the adapter, and the state of each message
//     and destination
//   - admission.go: quotas, admission, recovery after a restart
//   - scheduling.go, lane.go, ring.go: tenants and destinations take turns; a round has a quantum
//   - keyqueue.go: messages with the same ordering key
//   - endpoints.go: endpoint list, choice of an endpoint, concurrency
//   - attempts.go: begin and end of a call
//   - outlier.go, slowstart.go: failing endpoints are ejected, probed and brought back slowly
//   - ratelimit.go: learned rates, Retry-After and backoff for each route
//   - connections.go: whether idle connections are kept
//   - latency.go, timeout.go: measured call times and the timeouts that follow from them
//   - retry.go: retries, and those that go before fresh messages as little time is left for them
//   - deadline.go, due.go: messages that cannot arrive any more are answered early
//   - shedding.go: load shedding while the queue is nearly full
//   - discovery.go: when to poll for the endpoint list
//   - reconcile.go: the difference between desired and present state
//   - heap.go, random.go: heaps whose members can be removed, and the source of random decisions
package scheduler

import "math"

// Scheduler is one instance of the scheduler. It is not safe for use by several goroutines.
type Scheduler struct {
	settings     Settings
	host         Host
	random       randomSource
	now          float64
	startedAt    float64
	destinations []*Destination

	ring                ring // destinations with waiting messages
	keyQueues           map[uint64]*keyQueue
	keysPausedUntil     float64        // no first attempt of a message in order before
	held                heldList       // messages without a final answer, in the order of admission
	lastRank            uint64         // latest number in the order of admission and of coming back as a retry
	updatedDestinations []*Destination // with events since the last Reconcile
	due                 dueMessages    // what the next check of deadlines has to look at
	changed             []*Message     // whose desired action may not have been carried out
	quotaUsedUntil      []float64      // per tenant: time up to which its quota is used
	cancelUnsent        []*Endpoint    // whose calls are to be cancelled unless they have begun to be sent
	closeIdle           []*Endpoint    // whose idle connections are to be closed
	callsInFlight       int
	storedBytes         int     // of messages of which something can still happen
	stopAt              float64 // when a stopping process ends; 0: it does not stop
	wakeAt              float64 // when the host is to call TimerFired; infinite while no wake-up is set

	idleReuse       successRate     // how calls on reused idle connections end
	noIdleUntil     float64         // until then no idle connection is kept
	noIdleKindUntil map[int]float64 // the same for each kind of destination

	shortestObjective  float64 // least LatencyObjective of all message types
	shortestTimeToLive float64

	maxFirstPoll  float64 // seconds over which the first poll is spread at most
	nextPoll      float64 // when to ask for the endpoint list; infinite while it is watched
	listStale     bool    // the present list counts as known to the forwarder but has not arrived
	failedPolls   int     // in a row
	failedWatches int     // the same for failures that are not due to discovery's load
}

// New returns a scheduler without destinations. The seed determines all its random decisions; now is the present time
// on the clock of SetTime.
func New(settings Settings, seed uint64, now float64, host Host) *Scheduler {
	s := &Scheduler{settings: settings, host: host, random: newRandomSource(seed), now: now, startedAt: now,
		keyQueues: map[uint64]*keyQueue{}, noIdleKindUntil: map[int]float64{}, wakeAt: math.Inf(1),
		nextPoll: math.Inf(1), maxFirstPoll: math.Inf(1), quotaUsedUntil: make([]float64, len(settings.TenantRate))}
	if settings.PollEndpoints {
		s.nextPoll = now
	}
	s.listStale = settings.LocalAgent
	if s.settings.PollWithin <= 0 {
		s.settings.PollWithin = math.Inf(1)
	}
	if s.settings.LocalAgent {
		s.settings.PollWithin = math.Min(s.settings.PollWithin, agentPollInterval)
	}
	s.shortestObjective, s.shortestTimeToLive = math.Inf(1), math.Inf(1)
	for _, messageType := range settings.Types {
		s.shortestObjective = math.Min(s.shortestObjective, messageType.LatencyObjective)
		s.shortestTimeToLive = math.Min(s.shortestTimeToLive, messageType.TimeToLive)
	}
	return s
}

// SetTime sets the present time in seconds, for the events that follow and Reconcile.
func (s *Scheduler) SetTime(now float64) { s.now = now }

// TimerFired reports that the wake-up the host was asked for has come.
func (s *Scheduler) TimerFired() { s.wakeAt = math.Inf(1) }

// Stop reports that the process ends in so many seconds. No call begins that is likely to be in flight then; held
// messages are left to the next process.
//
// Trade-off: calls are not cut off, but if no process follows, held messages are lost.
func (s *Scheduler) Stop(in float64) { s.stopAt = s.now + in }

// Done reports whether a stopping process has nothing left to wait for.
func (s *Scheduler) Done() bool { return s.stopAt > 0 && s.callsInFlight == 0 && s.held.count == 0 }

// CallsInFlight returns the number of calls that have begun and not ended.
func (s *Scheduler) CallsInFlight() int { return s.callsInFlight }

// without removes the first element equal to x from list, in place.
func without[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
