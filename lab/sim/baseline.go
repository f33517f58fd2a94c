package sim

import (
	"math"
	"slices"

	"spanflow/scheduler"
)

// Baselines contains, by name, simple policies for comparison with the scheduler. Only the laboratory uses them. The
// oracle sees the true state of all endpoints; it is an upper bound that real policies may be unable to reach.
var Baselines = map[string]PolicyFactory{
	"fifo":         baselineFactory(func(*baseline) {}),
	"backoff":      baselineFactory(func(b *baseline) { b.backoff = true }),
	"bucket":       baselineFactory(func(b *baseline) { b.backoff, b.bucket = true, true }),
	"oracle":       baselineFactory(func(b *baseline) { b.oracle = true }),
	"least-loaded": baselineFactory(func(b *baseline) { b.backoff, b.leastLoaded = true, true }),
}

// baselineFactory returns a factory that creates baselines and passes each to configure.
func baselineFactory(configure func(*baseline)) PolicyFactory {
	return func(settings scheduler.Settings, _ uint64, now float64, host scheduler.Host) Policy {
		b := newBaseline(settings, now, host)
		configure(b)
		return b
	}
}

// Constants of the baselines. Times are in seconds, rates per second.
const (
	baselineTimeout     = 2.0  // time-out of an attempt
	baselineRetryDelay  = 0.1  // delay after a failed attempt; with backoff, it doubles with each attempt
	baselineTick        = 0.02 // timer interval while there are unanswered messages
	minAdmissionTime    = 0.1  // minimum time to expiry for a message to be admitted
	minAttemptTime      = 0.05 // minimum time to expiry for a message to be sent again
	maxBackoffDoublings = 5
	initialAnswerRate   = 5.0  // initial estimate of a destination's rate of successful answers, used by bucket
	bucketBurst         = 4.0  // size of the token bucket
	bucketGrowth        = 1.25 // ratio of the bucket's refill rate to the rate of successful answers
)

// baseline sends messages in the order of their arrival and retries those that may be retried. It respects Retry-After
// answers, drains, ordering keys and the rule that no effect takes place twice. It ignores slow starts and limits.
type baseline struct {
	settings     scheduler.Settings
	host         scheduler.Host
	now          float64
	unanswered   []*baselineMessage
	messageByID  map[uint64]*baselineMessage
	destinations map[uint64]*baselineDestination
	openCalls    int
	timerSet     bool
	backoff      bool // exponential backoff between attempts
	bucket       bool // limits calls to a destination to bucketGrowth times its recent rate of successful answers
	leastLoaded  bool // picks the endpoint with the fewest open calls; otherwise endpoints take turns
	oracle       bool // sends only calls that would be executed immediately and answered successfully
	// inspect returns the true state of an endpoint, for the oracle.
	inspect     func(id uint64) (ready bool, inService int)
	misbehavior misbehavior
}

// misbehavior selects a rule that the baseline violates intentionally, for tests of the audit.
type misbehavior uint8

const (
	noMisbehavior misbehavior = iota
	overlapsAttempts
	breaksKeyOrder
	ignoresRetryAfter
	callsDraining
	answersTwice
	neverAnswers
	answersLate
	repeatsAtMostOnce
)

type baselineDestination struct {
	endpoints  []*baselineEndpoint
	next       int // index of the next endpoint in round-robin order
	tokens     float64
	refilledAt float64
	rate       float64                       // recent rate of successful answers, decaying with a time constant of 1 s
	keyQueues  map[uint64][]*baselineMessage // by ordering key, in order of arrival
}

type baselineEndpoint struct {
	handle       *scheduler.Endpoint
	state        scheduler.EndpointState
	openCalls    int
	zone         int
	blockedUntil float64 // end of the endpoint's Retry-After
	ownLimits    bool    // does not share its limits with the destination's other endpoints
	batchSize    int     // maximum number of messages in a call
	callStarted  float64 // start of the latest call; messages sent at the same time join it
	callMessages int     // number of messages in that call
}

type baselineMessage struct {
	handle          *scheduler.Message
	messageType     *scheduler.MessageType
	expiry          float64
	openAttempts    int
	attempts        int
	firstRanAt      float64 // earliest time at which it may have been executed; 0 means never
	zone            int     // zone of that execution
	notBefore       float64 // earliest time of the next attempt
	done            bool
	endpoint        *baselineEndpoint // endpoint of the open attempt
	keyBlockedUntil float64           // earliest time at which the next message of its ordering key may be sent
}

func newBaseline(settings scheduler.Settings, now float64, host scheduler.Host) *baseline {
	return &baseline{settings: settings, host: host, now: now, messageByID: map[uint64]*baselineMessage{},
		destinations: map[uint64]*baselineDestination{}}
}

// NewDestination adds a destination without endpoints.
func (b *baseline) NewDestination(id uint64) *scheduler.Destination {
	b.destinations[id] = &baselineDestination{keyQueues: map[uint64][]*baselineMessage{}, rate: initialAnswerRate, refilledAt: b.now}
	return &scheduler.Destination{ID: id}
}

// UpdateEndpoints applies changes of the endpoint list.
func (b *baseline) UpdateEndpoints(_ bool, updates []scheduler.EndpointUpdate) {
	for _, u := range updates {
		e := b.destinations[u.Destination.ID].endpoint(u.Endpoint)
		e.zone, e.state, e.batchSize = u.Zone, u.State, 1
		e.ownLimits = u.Kind < len(b.settings.KindEndpointLimits) && b.settings.KindEndpointLimits[u.Kind]
		if u.Kind < len(b.settings.KindBatchSize) {
			e.batchSize = max(1, b.settings.KindBatchSize[u.Kind])
		}
	}
}

// endpoint returns the destination's endpoint with the given handle, and adds it if it is new.
func (d *baselineDestination) endpoint(handle *scheduler.Endpoint) *baselineEndpoint {
	for _, e := range d.endpoints {
		if e.handle == handle {
			return e
		}
	}
	e := &baselineEndpoint{handle: handle}
	d.endpoints = append(d.endpoints, e)
	return e
}

// Admit admits a message if there is queue capacity and at least minAdmissionTime left.
func (b *baseline) Admit(_ int, left float64) (admitted bool, retryAfter float64) {
	return len(b.unanswered) < b.settings.QueueCapacity && left > minAdmissionTime, b.retryAfter()
}

// retryAfter returns the delay in seconds after which clients may submit a message again.
func (b *baseline) retryAfter() float64 { return math.Min(1, b.settings.MaxRetryAfter) }

// Accept queues an admitted message. left is the time until its expiry in seconds.
func (b *baseline) Accept(message *scheduler.Message, typeIndex int, left float64) {
	m := &baselineMessage{handle: message, messageType: &b.settings.Types[typeIndex], expiry: b.now + left}
	b.unanswered = append(b.unanswered, m)
	b.messageByID[message.ID] = m
	if m.inOrder() {
		d := b.destinations[message.Dest.ID]
		d.keyQueues[message.Key] = append(d.keyQueues[message.Key], m)
	}
}

// inOrder reports whether the message has an ordering key.
func (m *baselineMessage) inOrder() bool { return m.messageType.InOrder && m.handle.Key != 0 }

// Recover queues a message that a previous process left unanswered.
func (b *baseline) Recover(message *scheduler.Message, typeIndex int, left float64, state scheduler.RecoveredState) {
	b.Accept(message, typeIndex, left)
	m := b.messageByID[message.ID]
	m.attempts, m.firstRanAt, m.zone = state.Attempts, state.FirstRanAt, state.Zone
	m.notBefore = b.now + b.settings.KeyCooldown
}

// SetTime sets the current time in seconds.
func (b *baseline) SetTime(now float64) { b.now = now }

// TimerFired must be called when the timer set by Host.Wake fires.
func (b *baseline) TimerFired() { b.timerSet = false }

// AttemptEnded handles the result of an attempt.
func (b *baseline) AttemptEnded(message *scheduler.Message, result scheduler.AttemptResult) {
	m := b.messageByID[message.ID]
	if m == nil {
		return
	}
	if m.openAttempts--; m.openAttempts == 0 {
		b.openCalls--
		m.endpoint.openCalls--
	}
	d := b.destinations[message.Dest.ID]
	if result.RetryAfter > 0 {
		d.block(m.endpoint, b.now+result.RetryAfter)
	}
	if result.Outcome == scheduler.Delivered {
		d.rate++
	}
	if m.done {
		return
	}
	switch result.Outcome {
	case scheduler.ServerError, scheduler.Malformed, scheduler.TimedOut, scheduler.Reset, scheduler.Cancelled:
		if m.firstRanAt == 0 {
			m.firstRanAt, m.zone = b.now-result.Latency, m.endpoint.zone
		}
		m.keyBlockedUntil = b.now + b.settings.KeyCooldown + 0.01
	}
	if result.Final {
		b.finish(m)
		return
	}
	delay := baselineRetryDelay
	if b.backoff {
		delay *= math.Pow(2, float64(min(m.attempts, maxBackoffDoublings)))
	}
	m.notBefore = b.now + delay
}

// block applies a Retry-After of an endpoint to all endpoints of the destination that share its limits.
func (d *baselineDestination) block(from *baselineEndpoint, until float64) {
	for _, e := range d.endpoints {
		if e == from || !e.ownLimits {
			e.blockedUntil = math.Max(e.blockedUntil, until)
		}
	}
}

// finish removes an answered message. If the message may still be executing, its key stays blocked for the cooldown.
func (b *baseline) finish(m *baselineMessage) {
	m.done = true
	b.unanswered = withoutMessage(b.unanswered, m)
	if !m.inOrder() {
		return
	}
	d := b.destinations[m.handle.Dest.ID]
	queue := withoutMessage(d.keyQueues[m.handle.Key], m)
	if len(queue) == 0 {
		delete(d.keyQueues, m.handle.Key)
		return
	}
	d.keyQueues[m.handle.Key] = queue
	queue[0].notBefore = math.Max(queue[0].notBefore, m.keyBlockedUntil)
}

// withoutMessage returns a list without the given message. It does not modify the original list.
func withoutMessage(list []*baselineMessage, m *baselineMessage) []*baselineMessage {
	i := slices.Index(list, m)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
