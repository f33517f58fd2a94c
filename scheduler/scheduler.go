// Package scheduler decides when and to which endpoint each message is sent, and which messages are rejected or failed.
// It does no I/O, reads no clock and starts no goroutine.
//
// The adapter is the program around a Scheduler: it reports events to the scheduler and implements Host. To process
// everything that happened up to one moment, it calls SetTime, then one method for each event in the order of arrival
// (PauseKeys, ContinueWatch, RestoreListLease, UpdateEndpoints, OverrideEndpoint, ListCurrentUntil, PollTimedOut,
// WatchBroken, WatchFailed, WatchSilent, WatchMoved, Accept, Recover, LoadStored, AnswerWithoutCall, AttemptEnded,
// NoticeAcknowledged, Withdraw, ClientReset, TimerFired, Stop, CancelUnsentCalls), and finally Reconcile once. The event
// methods only update the state. Reconcile makes the decisions and calls the Host to carry them out. Before Accept, the
// adapter calls Admit to learn whether a message may be accepted. A Scheduler, and everything that was passed to it, must
// be used by one goroutine only.
//
// Times are seconds on the adapter's clock. Rates are calls per second unless they are said to be of messages. The
// request path is described in docs/design.md. Each concern has a file:
//
//   - host.go, settings.go, message.go, destination.go: the interface to the adapter, and the state of each message
//     and destination
//   - admission.go: quotas, admission, recovery after a restart
//   - scheduling.go, lane.go, ring.go: round-robin over destinations (with a quantum) and over tenants
//   - keyqueue.go: messages with the same ordering key
//   - endpoints.go: endpoint list, choice of an endpoint, concurrency
//   - attempts.go: start and end of a call
//   - unsent.go: messages whose call has not begun when they end
//   - callsize.go: how many messages a call carries, and what follows if the destination takes fewer
//   - outlier.go, slowstart.go: ejection, probing and slow start of failing endpoints
//   - ratelimit.go: learned rates, Retry-After and backoff for each route
//   - connections.go: whether idle connections are kept
//   - latency.go, timeout.go: measured call times and the timeouts derived from them
//   - retry.go: retries, and the urgent ones that go before fresh messages
//   - deadline.go, due.go: early answers to messages that can no longer be delivered
//   - shedding.go: load shedding while the queue is nearly full
//   - discovery.go: when to poll for the endpoint list
//   - listlease.go: how long the list is used without word from discovery
//   - reconcile.go: the decisions that follow from the events, and the calls to the Host
//   - heap.go, random.go: heaps from which any member can be removed, and the random number generator
package scheduler

import "math"

// Scheduler makes the decisions of one forwarder. It is not safe for concurrent use.
type Scheduler struct {
	settings     Settings
	host         Host
	random       randomSource
	now          float64
	startedAt    float64
	destinations []*Destination

	ring                ring // destinations with queued messages
	keyQueues           map[uint64]*keyQueue
	keysPausedUntil     float64        // time before which no message with an ordering key gets its first attempt
	held                heldList       // messages without a final answer, in the order of admission
	lastRank            uint64         // the latest Message.rank
	updatedDestinations []*Destination // destinations with events since the last Reconcile
	due                 dueMessages    // messages for the next deadline check
	changed             []*Message     // messages with an action that the host has not carried out yet
	quotaUsedUntil      []float64      // per tenant: time until which the quota is used up
	cancelUnsent        []*Endpoint    // endpoints whose unsent calls are to be cancelled
	departed            []*Message     // messages in a call whose clients have left
	closeIdle           []*Endpoint    // endpoints whose idle connections are to be closed
	callsInFlight       int
	storedBytes         int     // size of all unfinished messages
	stopAt              float64 // when a stopping process ends; 0 while it is not stopping
	wakeAt              float64 // when the host is to call TimerFired; infinite while no wake-up is set

	idleReuse       successRate     // results of calls on reused idle connections
	noIdleUntil     float64         // no idle connection is kept until then
	noIdleKindUntil map[int]float64 // the same for each kind of destination

	shortestObjective  float64 // shortest LatencyObjective of all message types
	shortestTimeToLive float64

	maxFirstPoll  float64 // longest random delay of the first poll, in seconds
	nextPoll      float64 // when to request the endpoint list; infinite while it is being watched
	awaitingList  bool    // the local agent has not sent its list to this process yet, so no call begins
	lease         listLease
	polledAt      float64 // when the endpoint list was requested last
	failedPolls   int     // consecutive polls that timed out
	pollsInPhase  bool    // these come every pollPeriod, at a random time that has been chosen
	failedWatches int     // consecutive failures that are not due to the load of discovery
}

// New returns a scheduler without destinations. The seed determines all its random decisions. The current time, now, is
// on the clock of SetTime.
func New(settings Settings, seed uint64, now float64, host Host) *Scheduler {
	s := &Scheduler{settings: settings, host: host, random: newRandomSource(seed), now: now, startedAt: now,
		keyQueues: map[uint64]*keyQueue{}, noIdleKindUntil: map[int]float64{}, wakeAt: math.Inf(1),
		nextPoll: math.Inf(1), maxFirstPoll: math.Inf(1), quotaUsedUntil: make([]float64, len(settings.TenantRate))}
	if settings.PollEndpoints {
		s.nextPoll = now
	}
	s.awaitingList = settings.LocalAgent
	if s.settings.PollWithin <= 0 {
		s.settings.PollWithin = math.Inf(1)
	}
	if s.settings.LocalAgent {
		s.settings.PollWithin = math.Min(s.settings.PollWithin, maxAgentPollInterval(&settings))
	}
	s.lease = s.newListLease()
	s.shortestObjective, s.shortestTimeToLive = math.Inf(1), math.Inf(1)
	for _, messageType := range settings.Types {
		s.shortestObjective = math.Min(s.shortestObjective, messageType.LatencyObjective)
		s.shortestTimeToLive = math.Min(s.shortestTimeToLive, messageType.TimeToLive)
	}
	return s
}

// SetTime sets the current time in seconds, for the events that follow and for Reconcile.
func (s *Scheduler) SetTime(now float64) { s.now = now }

// TimerFired reports that the time requested with Host.Wake has passed.
func (s *Scheduler) TimerFired() { s.wakeAt = math.Inf(1) }

// Stop reports that the process ends after the given number of seconds. Once Stop has been called, no call begins that
// is likely to still be in flight at the end. Held messages are left to the next process.
//
// Trade-off: calls are not cut off, but held messages are lost if there is no next process.
func (s *Scheduler) Stop(in float64) { s.stopAt = s.now + in }

// Done reports whether the process is stopping, no call is in flight and no message is held.
func (s *Scheduler) Done() bool { return s.stopAt > 0 && s.callsInFlight == 0 && s.held.count == 0 }

// CallsInFlight returns the number of calls in flight to all destinations.
func (s *Scheduler) CallsInFlight() int { return s.callsInFlight }

// removeFirst removes the first element equal to x from list, in place.
func removeFirst[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
