package scheduler

import (
	"fmt"
	"math"
	"slices"
)

// Scheduler is one instance of the scheduler.
type Scheduler struct {
	settings            Settings
	host                Host
	random              randomSource
	now                 float64
	startedAt           float64
	destinations        []*Destination
	ring                ring
	keyQueues           map[uint64]*keyQueue
	held                heldList       // not answered, in the order of taking
	lastRank            uint64         // the latest number in the order of taking and of coming back as a retry
	updatedDestinations []*Destination // with news since the last settling
	due                 dueMessages    // what the next review has to look at
	changed             []*Message     // whose wanted state may differ from the present one
	quotaUsedUntil      []float64      // per tenant: up to when its share is used
	cancelUnsent        []*Endpoint    // whose calls are not wanted any more unless they have begun to be sent
	closeIdle           []*Endpoint    // whose idle connections are not wanted
	callsInFlight       int
	storedBytes         int             // bytes of messages that are not over
	stopAt              float64         // when a stopping process ends; 0: it does not stop
	wakeAt              float64         // the wake-up that is set
	idleReuse           successRate     // how calls on idle connections end
	noIdleUntil         float64         // until when no idle connection is kept
	noIdleKindUntil     map[int]float64 // per kind of destination: until when no idle connection is kept
	shortestObjective   float64         // the shortest agreed time of all types, and the shortest life
	shortestTimeToLive  float64
	nextPoll            float64 // when to ask for the list; infinite while it is coming
	listStale           bool    // the list of now counts as told and was not heard yet
	failedPolls         int     // questions for the list that failed in a row
	failedWatches       int     // of these, those that failed for another reason than discovery's load
}

// New starts a forwarder.
func New(terms Settings, seed uint64, now float64, host Host) *Scheduler {
	s := &Scheduler{settings: terms, host: host, random: newRandomSource(seed), now: now, startedAt: now,
		keyQueues: map[uint64]*keyQueue{}, noIdleKindUntil: map[int]float64{}, wakeAt: math.Inf(1), nextPoll: math.Inf(1),
		quotaUsedUntil: make([]float64, len(terms.TenantRate))}
	if terms.PollEndpoints {
		s.nextPoll = now
	}
	s.listStale = terms.LocalAgent
	if s.settings.PollWithin <= 0 {
		s.settings.PollWithin = math.Inf(1)
	}
	if s.settings.LocalAgent {
		s.settings.PollWithin = math.Min(s.settings.PollWithin, agentPollInterval)
	}
	s.shortestObjective, s.shortestTimeToLive = math.Inf(1), math.Inf(1)
	for _, messageType := range terms.Types {
		s.shortestObjective, s.shortestTimeToLive = math.Min(s.shortestObjective, messageType.LatencyObjective), math.Min(s.shortestTimeToLive, messageType.TimeToLive)
	}
	return s
}

// Message is one message held by a forwarder. The caller sets the fields in capitals, once.
type Message struct {
	ID     uint64 // the adapter's id
	Tenant int
	Key    uint64
	Dest   *Destination
	Size   int // bytes that it takes where messages are kept

	AnsweredByNotice bool // its final answer, unless it is delivered in time, is a notice to who judges the time by another clock

	messageType             *MessageType
	deadline                float64
	lifetime                float64 // that it had when it was taken
	keyQueue                *keyQueue
	lane                    *lane
	call                    *call   // the call that carries it now
	attempts                int     // attempts spent
	firstRanAt              float64 // issue of the first attempt that may have run; 0: surely never ran
	firstRanZone            int
	answered                bool
	queued                  bool
	overQuota               bool // beyond its tenant's share
	awaitingAcknowledgement bool // its answer is on its way
	bytesReleased           bool
	recoveredUntried        bool // a restart found it untried

	sequence                        uint64   // its number in the order of taking
	rank                            uint64   // its place among those that wait
	previous, next                  *Message // in heldList
	shedClass                       *shedClass
	shedPrevious, shedNext          *Message
	keyPrevious, keyNext            *Message
	queuePosition, urgencyPosition  int32 // positions in heaps: lane or retries, closing retries,
	deadlinePosition, timerPosition int32 // expiries or calls that are out, timers
	timer                           float64
	stage                           stage
	keyExpiring, considered         bool

	action     action // what is wanted of it; emit brings it about
	endpoint   *Endpoint
	timeout    float64
	retryAfter float64
}

// AwaitingAcknowledgement tells that its final answer is still to be heard.
func (m *Message) AwaitingAcknowledgement() bool { return m.awaitingAcknowledgement }

// Finished tells that nothing more can be heard of the message.
func (m *Message) Finished() bool { return m.answered && m.call == nil && !m.awaitingAcknowledgement }

type action uint8

const (
	actionNone action = iota
	actionSend
	actionReject
	actionFail
)

// Address is one endpoint of a destination.
type Endpoint struct {
	ID uint64 // the adapter's address

	destination         *Destination
	route               *Route
	zone                int
	state               EndpointState
	concurrencyLimit    float64 // calls it is given at once
	calls               []*call
	lastUsed            float64
	calledOften         bool    // the latest call came before an idle connection of the one before would have ended
	idleConnection      bool    // its connection was left open
	lastSuccess         float64 // when it last answered as it should
	consecutiveTimeouts int     // time-outs since it last answered
	lastSuccessBegan    float64 // begin of the latest call that it answered as it should
	health              health
	failureShare        float64 // share of failures of late
	lastFailure         float64
	recoveringSince     float64 // when it came back
	notBefore           float64 // sick or back: not before
}

type health uint8

const (
	healthy health = iota
	ejected
	recovering // answering again, still cold
)

// Route is what a limit and a wait bind: all endpoints of a destination, or one where they are apart.
type Route struct {
	blockedUntil          float64 // told to wait, or turned away: nothing before
	learnedRate           float64 // calls a second that seem to be let through; 0: no limit met
	tokens                float64
	refilledAt            float64 // when the tokens were last topped up
	recentRate            float64 // calls a second of late
	consecutiveFailures   int     // failures since it last answered as it should, and refusals after the first of them
	fastFailure           bool    // an error or a failed connect is among these
	lastSuccess           float64
	consecutiveRejections int     // refusals since a call was let in
	lastRejection         float64 // when one was last taken as news
	firstRejection        float64 // when the first of these was
	noShortWaitSince      float64 // since when calls are refused without a short wait
	reportedLimit         float64 // the limit as reported
	shareReportedAt       float64 // when the share of it that is left was last reported
}

// Destination is one receiver with all its endpoints.
type Destination struct {
	ID uint64 // the adapter's number

	endpoints                         []*Endpoint
	sharedRoute                       *Route
	batchSize                         int     // messages in one call at most
	listedRate                        float64 // calls a second as listed
	lanes                             []*lane // the ring of tenants
	tenantLanes                       []lane  // the last for messages without a tenant
	overQuotaLane                     lane    // beyond the tenants' shares: after all other fresh work
	retries                           retryLane
	shedClasses                       []*shedClass   // of held messages
	deadlines                         *deadlineHeaps // of those that wait; nil while none does
	lateAt                            float64        // when the first of them is late
	latePosition                      int32          // in the heap by that time
	touched                           bool           // the next review looks at it
	ringNode                          *ringNode      // its place in the ring, nil while it is in none
	held                              int            // messages of it that a forwarder has not answered
	waiting                           int            // of these, the ones in a lane
	callsInFlight                     int            // calls
	accepted, attempts, calls         float64        // since the start: messages taken, attempts, calls made
	healthyDeliveries, healthySeconds float64        // messages delivered while no endpoint was sick or back, and the seconds of that
	healthyCountedAt                  float64        // up to when fit is counted
	degraded                          bool           // an endpoint is sick or back
	timelyStreak                      int            // timely answers in a row
	latency                           latencyHistogram
	kind                              int
	inRing                            bool
	updated                           bool
	mode                              string
}

// call is one call, with one message or several.
type call struct {
	endpoint   *Endpoint
	began      float64
	pending    int // messages without an ending yet
	recorded   bool
	reusesIdle bool // on a connection that had been idle, as far as can be told
}

// ReportedValue is a reported figure as AttemptResult.ReportedLimit and AttemptResult.CallerGone have it: reports say 0 where there is none, or none left.
func ReportedValue(reported float64) float64 {
	if reported == 0 {
		return -1
	}
	return reported
}

// HasType tells if the terms state this message type.
func (s *Scheduler) HasType(n int) bool { return n < len(s.settings.Types) }

func (s *Scheduler) SetTime(now float64) { s.now = now }

func (s *Scheduler) markUpdated(destination *Destination) {
	s.due.touch(destination)
	s.ring.unpark(destination.ringNode)
	if !destination.degraded {
		destination.healthySeconds += s.now - destination.healthyCountedAt
	}
	destination.healthyCountedAt = s.now
	if !destination.updated {
		destination.updated = true
		s.updatedDestinations = append(s.updatedDestinations, destination)
	}
}

// lowVolume tells that a destination gets few messages.
func (s *Scheduler) lowVolume(destination *Destination) bool {
	return destination.accepted/(s.now-s.startedAt+2) < lowVolumeRate
}

// TimerFired is a wake-up that was asked for.
func (s *Scheduler) TimerFired() { s.wakeAt = math.Inf(1) }

// Withdraw says that the client does not want the message any more.
func (s *Scheduler) Withdraw(message *Message) { s.finish(message) }

// finish ends the forwarder's duty for a message; a call that carries it may still be out.
func (s *Scheduler) finish(message *Message) {
	if message.answered {
		return
	}
	message.answered = true
	message.Dest.held--
	s.held.remove(message)
	s.unstage(message)
	message.leaveShedClass()
	s.dequeue(message)
	s.leaveKeyQueue(message)
}

// Forget lets go of a destination that no endpoint is listed for and no message is held for, and tells if it did.
// MaxClients may name any.
func (s *Scheduler) Forget(destination *Destination) bool {
	if len(destination.endpoints) > 0 || destination.held > 0 || destination.inRing || destination.updated {
		return false
	}
	s.destinations = without(s.destinations, destination)
	return true
}

// NoticeAcknowledged says that the final answer of a message has reached those whom it is for.
func (s *Scheduler) NoticeAcknowledged(message *Message) {
	message.awaitingAcknowledgement = false
	s.leaveKeyQueue(message)
}

// releaseRemoved ends the memory of endpoints that are gone, once no call to them is out: new ones come all day.
func (s *Scheduler) releaseRemoved(destination *Destination) {
	for i := len(destination.endpoints) - 1; i >= 0; i-- {
		if endpoint := destination.endpoints[i]; endpoint.state == Removed && len(endpoint.calls) == 0 {
			destination.endpoints = slices.Delete(destination.endpoints, i, i+1)
			s.due.touch(destination)
			s.host.ReleaseEndpoint(endpoint)
		}
	}
}

// logModeChanges logs the destinations that changed their mode.
func (s *Scheduler) logModeChanges() {
	for _, destination := range s.updatedDestinations {
		s.releaseRemoved(destination)
		worst := healthy
		for _, endpoint := range destination.endpoints {
			if endpoint.state == Ready && (endpoint.health == ejected || worst == healthy) {
				worst = endpoint.health
			}
		}
		destination.degraded = worst != healthy
		mode := [...]string{"well", "sick", "back"}[worst]
		if s.impaired(destination) && worst == healthy {
			mode = "ill"
		}
		if mode != destination.mode {
			s.host.Log(fmt.Sprintf("dest %d %s > %s: out %d held %d good %d p90 %.2f", destination.ID, destination.mode, mode, destination.callsInFlight,
				destination.held, destination.timelyStreak, destination.latency.p90))
			destination.mode = mode
		}
		destination.updated = false
	}
	s.updatedDestinations = s.updatedDestinations[:0]
}

// successRate counts good and bad ends; both fade with time.
type successRate struct{ successes, failures, updatedAt float64 }

func (r *successRate) record(now, fades float64, bad bool) {
	fade := math.Exp((r.updatedAt - now) / fades)
	r.successes, r.failures, r.updatedAt = r.successes*fade, r.failures*fade, now
	if bad {
		r.failures++
	} else {
		r.successes++
	}
}

// latencyHistogram counts times in bins of growing width and forgets by halving; before much was counted, a guess
// counts along.
type latencyHistogram struct {
	counts, upperEdges [16]float64 // counts, upper edges
	total, maxTotal    float64     // at most so many, then all is halved
	quantile, p90      float64     // slow: the upper edge of the bin that holds this part of the times
	priorBin           int         // the bin of the guess
	priorWeight        float64
}

func newLatencyHistogram(base, step, most, part, guess, guesses float64) latencyHistogram {
	h := latencyHistogram{maxTotal: most, quantile: part, priorWeight: guesses}
	for i := range h.upperEdges {
		base *= step
		h.upperEdges[i] = base
	}
	h.priorBin = h.bin(guess)
	h.updateQuantile()
	return h
}

func (h *latencyHistogram) bin(x float64) int {
	n := 0
	for n < len(h.counts)-1 && x >= h.upperEdges[n] {
		n++
	}
	return n
}

func (h *latencyHistogram) record(x float64) {
	h.counts[h.bin(x)]++
	if h.total++; h.total > h.maxTotal {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.updateQuantile()
}

func (h *latencyHistogram) updateQuantile() {
	sum, want := 0.0, h.quantile*(h.total+h.priorWeight)
	for i, n := range h.counts {
		if sum += n; i == h.priorBin {
			sum += h.priorWeight
		}
		if h.p90 = h.upperEdges[i]; sum >= want {
			return
		}
	}
}

// randomSource is a permuted congruential generator (PCG-XSH-RR 64/32).
type randomSource struct{ state uint64 }

func newRandomSource(seed uint64) randomSource {
	c := randomSource{seed + 1442695040888963407}
	c.uniform()
	return c
}

// uniform is a number from 0 to 1.
func (r *randomSource) uniform() float64 {
	old := r.state
	r.state = old*6364136223846793005 + 1442695040888963407
	word, turn := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(word>>turn|word<<((-turn)&31)) / (1 << 32)
}

func without[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// CallsInFlight tells how many attempts are out.
func (s *Scheduler) CallsInFlight() int { return s.callsInFlight }

// Ejected tells that an endpoint is tried at a trickle only, after it failed.
func (e *Endpoint) Ejected() bool { return e.health == ejected }

// BlockedUntil tells until when an endpoint's route takes no call: a wait that it told, or a pause after refusals.
func (e *Endpoint) BlockedUntil() float64 { return e.route.blockedUntil }

// BlockUntil keeps an endpoint's route shut until then, as an earlier process of this forwarder was told to. Called
// after the endpoint is listed.
func (s *Scheduler) BlockUntil(endpoint *Endpoint, until float64) {
	endpoint.route.blockedUntil = math.Max(endpoint.route.blockedUntil, until)
	s.due.touch(endpoint.destination)
}

// Latencies are the counts of a destination's measured call times, nil if there are none, to be kept beyond a restart.
func (d *Destination) Latencies() []float64 {
	if d.latency.total == 0 {
		return nil
	}
	return d.latency.counts[:]
}

// restore takes counts of an earlier hist, scaled down to so many at most, if nothing was counted yet.
func (h *latencyHistogram) restore(counts []float64, most float64) bool {
	total := 0.0
	for _, n := range counts {
		if !(n >= 0 && n < 1e9) {
			return false
		}
		total += n
	}
	if len(counts) != len(h.counts) || total == 0 || h.total > 0 {
		return false
	}
	for i, n := range counts {
		h.counts[i] = n * math.Min(1, most/total)
		h.total += h.counts[i]
	}
	h.updateQuantile()
	return true
}
