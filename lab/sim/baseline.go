package sim

import (
	"math"
	"slices"

	"spanflow/scheduler"
)

// Baselines are policies to compare the scheduler with, by name. They are for the laboratory only. The oracle sees the
// true state of all endpoints and is a ceiling that may be out of reach.
var Baselines = map[string]PolicyFactory{
	"fifo":         baselineFactory(func(*baseline) {}),
	"backoff":      baselineFactory(func(b *baseline) { b.backoff = true }),
	"bucket":       baselineFactory(func(b *baseline) { b.backoff, b.bucket = true, true }),
	"oracle":       baselineFactory(func(b *baseline) { b.oracle = true }),
	"least-loaded": baselineFactory(func(b *baseline) { b.backoff, b.leastLoaded = true, true }),
}

// baselineFactory makes baselines with a variation.
func baselineFactory(configure func(*baseline)) PolicyFactory {
	return func(settings scheduler.Settings, _ uint64, now float64, host scheduler.Host) Policy {
		b := newBaseline(settings, now, host)
		configure(b)
		return b
	}
}

// Times in seconds, rates per second.
const (
	baselineTimeout     = 2.0  // of an attempt
	baselineRetryDelay  = 0.1  // before an attempt after one that failed; with backoff it doubles
	baselineTick        = 0.02 // between two looks at what is held
	minAdmissionTime    = 0.1  // that a message needs to be admitted
	minAttemptTime      = 0.05 // that a message needs for a further attempt
	maxBackoffDoublings = 5
	initialAnswerRate   = 5.0 // of a destination, for bucket
	bucketBurst         = 4.0
	bucketGrowth        = 1.25 // over the rate at which a destination answers
)

// baseline sends messages in the order of their coming and retries what may be retried. It heeds retry-afters, drains,
// the order of keys and what must not be executed twice; of slow starts and limits it knows nothing.
type baseline struct {
	settings     scheduler.Settings
	host         scheduler.Host
	now          float64
	unanswered   []*baselineMessage
	messageByID  map[uint64]*baselineMessage
	destinations map[uint64]*baselineDestination
	openCalls    int
	timerSet     bool
	backoff      bool // retries wait twice as long each time
	bucket       bool // a destination gets at most as many calls a second as it answered of late, and a quarter more
	leastLoaded  bool // the endpoint with the fewest open calls, not the next in turn
	oracle       bool // sends only what would be executed at once and answered well
	inspect      func(id uint64) (ready bool, inService int)
	misbehavior  misbehavior
}

// misbehavior breaks one rule on purpose: the audit's own tests need forwarders that do.
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
	next       int // of the endpoints, in turn
	tokens     float64
	refilledAt float64
	rate       float64 // of its answers
	keyQueues  map[uint64][]*baselineMessage
}

type baselineEndpoint struct {
	handle       *scheduler.Endpoint
	state        scheduler.EndpointState
	openCalls    int
	zone         int
	blockedUntil float64 // by a retry-after
	ownLimits    bool
	batchSize    int     // messages that one call carries at most
	callStarted  float64 // when the latest call began; what is sent at the same moment joins it
	callMessages int     // messages that it carries
}

type baselineMessage struct {
	handle          *scheduler.Message
	messageType     *scheduler.MessageType
	expiry          float64
	openAttempts    int
	attempts        int
	firstRanAt      float64 // when it may first have been executed; 0: never
	zone            int     // of that execution
	notBefore       float64 // for a further attempt
	done            bool
	endpoint        *baselineEndpoint // of the attempt that is out
	keyBlockedUntil float64
}

func newBaseline(settings scheduler.Settings, now float64, host scheduler.Host) *baseline {
	return &baseline{settings: settings, host: host, now: now, messageByID: map[uint64]*baselineMessage{},
		destinations: map[uint64]*baselineDestination{}}
}

// NewDestination makes a destination.
func (b *baseline) NewDestination(id uint64) *scheduler.Destination {
	b.destinations[id] = &baselineDestination{keyQueues: map[uint64][]*baselineMessage{}, rate: initialAnswerRate, refilledAt: b.now}
	return &scheduler.Destination{ID: id}
}

// UpdateEndpoints takes changed endpoints.
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

// endpoint is the destination's endpoint with a handle, made if it is new.
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

// Admit admits a message while there is capacity and time.
func (b *baseline) Admit(_ int, left float64) (admitted bool, retryAfter float64) {
	return len(b.unanswered) < b.settings.QueueCapacity && left > minAdmissionTime, b.retryAfter()
}

// retryAfter is after how many seconds clients may submit again.
func (b *baseline) retryAfter() float64 { return math.Min(1, b.settings.MaxRetryAfter) }

// Accept takes a message.
func (b *baseline) Accept(message *scheduler.Message, typeIndex int, left float64) {
	m := &baselineMessage{handle: message, messageType: &b.settings.Types[typeIndex], expiry: b.now + left}
	b.unanswered = append(b.unanswered, m)
	b.messageByID[message.ID] = m
	if m.inOrder() {
		d := b.destinations[message.Dest.ID]
		d.keyQueues[message.Key] = append(d.keyQueues[message.Key], m)
	}
}

// inOrder tells whether the message has an ordering key.
func (m *baselineMessage) inOrder() bool { return m.messageType.InOrder && m.handle.Key != 0 }

// Recover takes a message that an earlier process left unanswered.
func (b *baseline) Recover(message *scheduler.Message, typeIndex int, left float64, state scheduler.RecoveredState) {
	b.Accept(message, typeIndex, left)
	m := b.messageByID[message.ID]
	m.attempts, m.firstRanAt, m.zone = state.Attempts, state.FirstRanAt, state.Zone
	m.notBefore = b.now + b.settings.KeyCooldown
}

// SetTime sets the clock.
func (b *baseline) SetTime(now float64) { b.now = now }

// TimerFired says that the timer has fired.
func (b *baseline) TimerFired() { b.timerSet = false }

// AttemptEnded takes the result of an attempt.
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

// block heeds a retry-after of an endpoint, which is for all of the destination that share its limits.
func (d *baselineDestination) block(from *baselineEndpoint, until float64) {
	for _, e := range d.endpoints {
		if e == from || !e.ownLimits {
			e.blockedUntil = math.Max(e.blockedUntil, until)
		}
	}
}

// finish drops a message that has its answer. Its key waits if it may still be executed.
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

// withoutMessage is a list withoutMessage one message; the list itself stays as it is.
func withoutMessage(list []*baselineMessage, m *baselineMessage) []*baselineMessage {
	i := slices.Index(list, m)
	if i < 0 {
		return list
	}
	return append(list[:i:i], list[i+1:]...)
}
