package receiver

import (
	"math"
	"math/rand/v2"
	"slices"

	"spanflow/scheduler"
	"spanflow/transport"
)

func exp(x float64) float64 { return math.Exp(x) }

// Settings are what one destination is like.
type Behavior struct {
	Service     Distribution
	Concurrency int // calls that an endpoint works on at once
	Queue       int // calls that wait at an endpoint beyond them; more are turned away

	Rate              float64 // calls a second that the limit lets in, 0: no such limit
	Burst             float64 // calls that it lets in at once after a rest; 0: one
	Count             int     // calls let in within Duration, 0: no such limit
	Span              float64
	EndpointLimits    bool // each endpoint has a limit and outages of its own
	ReportsRetryAfter bool // a call that is turned away by the limit is told how long to wait
	ReportsLimit      bool // answers report the limit

	SlowStartFraction float64 // share of its capacity that it has when it is back
	SlowStartDuration float64 // until it has all again
	OverloadMultiple  float64 // it falls over when met with more than this multiple of its present capacity,
	OverloadWindow    float64 // as a budget for any span of so many seconds,
	OverloadDowntime  float64 // and is down for so long
}

// sustainedRate is the calls a second that the limits let in, 0 if there is none.
func (t *Behavior) sustainedRate() float64 {
	most := t.Rate
	if t.Count > 0 && (most == 0 || float64(t.Count)/t.Span < most) {
		most = float64(t.Count) / t.Span
	}
	return most
}

// Message is a message as a receiver sees it.
type Message struct {
	ID                  uint64
	IdempotencyKey      uint64  // its number, 0 if it has none
	DeduplicationWindow float64 // how long the number is known, from the run on
	DeduplicatedPerZone bool    // and in one zone only
	Tenant              int
}

// Execution is what a receiver writes down of one message of a call.
type Execution struct {
	Message     Message
	Destination int
	Endpoint    int
	Forwarder   int     // the forwarder
	ReceivedAt  float64 // when the call's last byte came
	StartedAt   float64
	EndedAt     float64
	Effect      bool // false: its number was known
}

// Recorder is who writes down what happens at receivers. Nothing of it comes from a forwarder.
type Recorder interface {
	CallReceived(dest, target, from int, docs []Message) // a call came whole, whatever becomes of it
	MessageExecuted(Execution)
	EndpointOverloaded(dest, target int, wise float64)   // wise: the share of what pushed it that came from those who knew of the outage
	RetryAfterSent(dest, target, from int, wait float64) // a wait was told
	EndpointRecovered(dest, target int)                  // it answers again after an outage
}

// Request is one call on its way through an endpoint.
type Call struct {
	Forwarder  int
	Messages   []Message
	Answer     func(Answer) // at most once; never if the answer gets lost
	endpoint   *Endpoint
	receivedAt float64
	queued     bool
	finished   bool // answered, or the caller has gone
}

// RecordAnswer is what a caller gets.
type Answer struct {
	Code              transport.ResultCode
	RetryAfter        float64
	ReportedLimit     float64
	ReportedRemaining float64 // the share of the limit that is left, as choice.AttemptResult has it
}

// Destination is one receiver.
type Destination struct {
	Number        int
	Behavior      Behavior
	Endpoints     []*Endpoint
	clock         Clock
	recorder      Recorder
	random        *rand.Rand
	limit         rateLimiter
	recent        recentCalls
	deduplicators [2]deduplicator // of the zones; what is known in all of them, in the first
	informed      map[int]bool    // forwarders that have heard of a call that failed or was refused in the latest outage
}

// Address is one endpoint of a destination.
type Endpoint struct {
	Destination *Destination
	Number      int
	Zone        int
	Fault       Fault
	limit       rateLimiter
	recent      recentCalls
	informed    map[int]bool // where routes are apart
	inService   int
	queue       []*Call
	recoveredAt float64 // when it came back cold; 0: it has been up for long
	outages     int     // outages that are on
	hung        []*Call // taken up while it hangs
	executing   []*Call
	Approaching int // calls on their way to it, for Ready
}

// Fault is what is wrong with an endpoint now. Several may be on at once.
type Fault struct {
	Hang          int     // works on nothing; what came meanwhile is worked on after it
	Silent        int     // nothing comes in or goes out
	Slow          float64 // times are multiplied by it; 0: not
	SlowFor       int     // only for this tenant, if above 0: its number plus one
	Err           float64 // share of calls that end with an error, half of them after running
	Reset         float64 // share of calls whose connection breaks, half of them after running
	Lose          float64 // share of answers that get lost after running
	Spoil         float64 // share of answers that cannot be read
	LimitFraction float64 // the limit is this share of what it was; 0: whole
	Every         int     // gray: only one of so many calls meets Err, Reset, Lose and Spoil; 0: all
	OddForwarders bool    // gray: only calls of forwarders with odd numbers do
	Draining      bool
	Removed       bool
	seen          int
}

// New makes a destination with endpoints spread over zones.
func New(number int, terms Behavior, targets, zones int, clock Clock, dice *rand.Rand, record Recorder) *Destination {
	d := &Destination{Number: number, Behavior: terms, clock: clock, recorder: record, random: dice}
	d.limit.reset(&terms, clock.Now())
	for i := range targets {
		d.AddEndpoint(i % max(1, zones))
	}
	return d
}

// AddEndpoint makes a further endpoint.
func (d *Destination) AddEndpoint(zone int) *Endpoint {
	t := &Endpoint{Destination: d, Number: len(d.Endpoints), Zone: zone}
	t.limit.reset(&d.Behavior, d.clock.Now())
	d.Endpoints = append(d.Endpoints, t)
	return t
}

// capacity is the calls a second that so many of its endpoints get done when they are warm.
func (d *Destination) capacity(targets int) float64 {
	return float64(targets*d.Behavior.Concurrency) / d.Behavior.Service.Mean
}

// Connectivity tells if a connection to the endpoint comes up: refused is the immediate no, silent none at all.
func (t *Endpoint) Connectivity() (refused, silent bool) {
	return t.outages > 0 || t.Fault.Removed, t.Fault.Silent > 0
}

// AttemptClosed begins an outage, EndOutage ends one: the endpoint returns cold.
func (t *Endpoint) BeginOutage() {
	t.outages++
	for _, c := range t.queue {
		c.queued = false
		c.finish(Answer{Code: transport.ResultClosed})
	}
	t.queue = nil
	for _, c := range t.executing { // runs on, and nobody hears of it
		c.finish(Answer{Code: transport.ResultClosed})
	}
	t.recent = recentCalls{}
}

// EndOutage ends an outage.
func (t *Endpoint) EndOutage() {
	if t.outages--; t.outages == 0 {
		t.Recover()
	}
}

// Recover says that an outage is over: the endpoint is cold from here on.
func (t *Endpoint) Recover() {
	t.recoveredAt = t.Destination.clock.Now()
	t.recent = recentCalls{}
	if !t.Destination.Behavior.EndpointLimits {
		t.Destination.recent = recentCalls{}
	}
	t.Destination.recorder.EndpointRecovered(t.Destination.Number, t.Number)
}

// EndHang ends a hang: what was taken up meanwhile is worked on.
func (t *Endpoint) EndHang() {
	if t.Fault.Hang--; t.Fault.Hang > 0 {
		return
	}
	stuck := t.hung
	t.hung = nil
	t.Recover()
	for _, c := range stuck {
		t.execute(c)
	}
}

// capacityFraction is how much of its capacity the endpoint has now.
func (t *Endpoint) capacityFraction() float64 {
	d := t.Destination
	if t.recoveredAt == 0 || d.Behavior.SlowStartDuration <= 0 {
		return 1
	}
	warm := (d.clock.Now() - t.recoveredAt) / d.Behavior.SlowStartDuration
	if warm >= 1 {
		t.recoveredAt = 0
		return 1
	}
	return d.Behavior.SlowStartFraction + (1-d.Behavior.SlowStartFraction)*warm
}

// MostlyFails tells that so much is wrong with an endpoint that it does not pay to try: an outage too.
func (r *Fault) MostlyFails() bool {
	share := (r.Err + r.Reset + r.Lose + r.Spoil) / float64(max(1, r.Every))
	if r.OddForwarders { // about half of the forwarders meet it
		share /= 2
	}
	return share > mostlyFailsFraction
}

// inOutage tells that one is on.
func (t *Endpoint) inOutage() bool {
	return t.outages > 0 || t.Fault.Hang > 0 || t.Fault.Silent > 0 || t.Fault.MostlyFails()
}

// overloadState is who knows of the latest outage, the calls met since, and how many endpoints share them.
func (t *Endpoint) overloadState() (wise *map[int]bool, m *recentCalls, targets int) {
	d := t.Destination
	if d.Behavior.EndpointLimits {
		return &t.informed, &t.recent, 1
	}
	for _, o := range d.Endpoints {
		if !o.Fault.Removed && o.outages == 0 {
			targets++
		}
	}
	return &d.informed, &d.recent, targets
}

// ForwarderSawFailure says that a forwarder has heard of a call to the endpoint that failed or was refused. Only what it hears
// while the outage lasts counts.
func (t *Endpoint) ForwarderSawFailure(from int) {
	if !t.inOutage() {
		return
	}
	wise, _, _ := t.overloadState()
	if *wise == nil {
		*wise = map[int]bool{}
	}
	(*wise)[from] = true
}

// ForwarderRestarted says that a forwarder starts anew and knows of no outage.
func (d *Destination) ForwarderRestarted(from int) {
	delete(d.informed, from)
	for _, t := range d.Endpoints {
		delete(t.informed, from)
	}
}

// overloads counts a call that came to a cold endpoint and tells if that pushes it over, and how much of what did came
// from forwarders that knew of the outage. As the rule has it: what arrives within any span stays under a multiple of
// the present capacity, with one call's slack for chance.
func (t *Endpoint) overloads(from int) (fell bool, wise float64) {
	d, share := t.Destination, t.capacityFraction()
	if share >= 1 || d.Behavior.OverloadMultiple <= 0 {
		return false, 0
	}
	known, m, n := t.overloadState()
	span := d.Behavior.OverloadWindow
	met, wise := m.count(d.clock.Now(), span, (*known)[from])
	return met > d.Behavior.OverloadMultiple*share*d.capacity(n)*span+1, wise / met
}

// recentCalls is the calls within the span past, and which of them came from forwarders that knew of the outage.
type recentCalls struct {
	at       []float64
	informed []bool
}

func (m *recentCalls) count(now, span float64, wise bool) (all, knowing float64) {
	for len(m.at) > 0 && m.at[0] <= now-span {
		m.at, m.informed = m.at[1:], m.informed[1:]
	}
	m.at, m.informed = append(m.at, now), append(m.informed, wise)
	for _, w := range m.informed {
		if w {
			knowing++
		}
	}
	return float64(len(m.at)), knowing
}

const mostlyFailsFraction = 0.6 // from such a share of failures on it does not pay to try

// Ready tells if a call that came now would be worked on at once and answered well. No forwarder can know it: it serves
// the ceiling that others are compared with.
func (t *Endpoint) Ready(from int) bool {
	d, r := t.Destination, &t.Fault
	if refused, silent := t.Connectivity(); refused || silent || r.Hang > 0 || r.Draining || t.inService+t.Approaching >= d.Behavior.Concurrency {
		return false
	}
	if r.Err+r.Reset+r.Lose+r.Spoil > mostlyFailsFraction && !(r.OddForwarders && from%2 == 0) {
		return false
	}
	l, coming := &d.limit, 0
	for _, o := range d.Endpoints {
		coming += o.Approaching
	}
	if d.Behavior.EndpointLimits {
		l, coming = &t.limit, t.Approaching
	}
	now := d.clock.Now()
	if share := t.capacityFraction(); share < 1 && d.Behavior.OverloadMultiple > 0 {
		_, m, n := t.overloadState()
		met := coming + 1
		for _, at := range m.at {
			if at > now-d.Behavior.OverloadWindow {
				met++
			}
		}
		if float64(met) > d.Behavior.OverloadMultiple*share*d.capacity(n)*d.Behavior.OverloadWindow+1 {
			return false
		}
	}
	peek := rateLimiter{l.tokens, l.refilledAt, slices.Clone(l.admitted)}
	for range coming + 1 {
		if _, full := peek.admit(&d.Behavior, r.LimitFraction, now); full {
			return false
		}
	}
	return true
}

// StatusOverloaded is how many calls the endpoint works on.
func (t *Endpoint) InService() int { return t.inService }

// Accept takes a call whose last byte has come. Whoever calls has seen by Up that a connection stands.
func (t *Endpoint) Accept(c *Call) {
	d := t.Destination
	now := d.clock.Now()
	c.endpoint, c.receivedAt = t, now
	d.recorder.CallReceived(d.Number, t.Number, c.Forwarder, c.Messages)
	switch refused, silent := t.Connectivity(); {
	case silent:
		return // as if it had never come
	case refused:
		c.finish(Answer{Code: transport.ResultClosed})
		return
	}
	if fell, wise := t.overloads(c.Forwarder); fell {
		d.recorder.EndpointOverloaded(d.Number, t.Number, wise)
		for _, o := range d.Endpoints {
			if o == t || !d.Behavior.EndpointLimits {
				o.BeginOutage()
				d.clock.After(d.Behavior.OverloadDowntime, o.EndOutage)
			}
		}
		c.finish(Answer{Code: transport.ResultClosed})
		return
	}
	if t.Fault.Draining || t.Fault.Removed {
		c.finish(Answer{Code: transport.ResultOverloaded})
		return
	}
	l := &d.limit
	if d.Behavior.EndpointLimits {
		l = &t.limit
	}
	if wait, full := l.admit(&d.Behavior, t.Fault.LimitFraction, now); full {
		a := Answer{Code: transport.ResultOverloaded}
		if d.Behavior.ReportsRetryAfter {
			a = Answer{Code: transport.ResultRetryAfter, RetryAfter: wait}
			d.recorder.RetryAfterSent(d.Number, t.Number, c.Forwarder, wait)
		}
		c.finish(t.withLimitReport(a))
		return
	}
	switch {
	case t.inService < d.Behavior.Concurrency:
		t.inService++
		t.execute(c)
	case len(t.queue) < d.Behavior.Queue:
		c.queued = true
		t.queue = append(t.queue, c)
	default:
		c.finish(t.withLimitReport(Answer{Code: transport.ResultOverloaded}))
	}
}

func (t *Endpoint) withLimitReport(a Answer) Answer {
	if t.Destination.Behavior.ReportsLimit {
		if a.ReportedLimit = t.Destination.Behavior.sustainedRate(); a.ReportedLimit == 0 {
			a.ReportedLimit = -1
		} else if t.Fault.LimitFraction > 0 {
			a.ReportedLimit *= t.Fault.LimitFraction
		}
		if a.ReportedLimit > 0 {
			l := &t.Destination.limit
			if t.Destination.Behavior.EndpointLimits {
				l = &t.limit
			}
			a.ReportedRemaining = scheduler.ReportedValue(l.remaining(&t.Destination.Behavior, t.Fault.LimitFraction, t.Destination.clock.Now()))
		}
	}
	return a
}

// Cancel says that the caller has gone. A call that waits is not worked on; one that is being worked on runs on.
func (c *Call) Cancel() {
	c.finished = true
	if !c.queued {
		return
	}
	c.queued = false
	line := c.endpoint.queue
	for i, o := range line {
		if o == c {
			c.endpoint.queue = append(line[:i:i], line[i+1:]...)
			return
		}
	}
}

func (c *Call) finish(a Answer) {
	if !c.finished {
		c.finished = true
		c.Answer(a)
	}
}

// execute works on a call for which there is a place.
func (t *Endpoint) execute(c *Call) {
	d := t.Destination
	if t.Fault.Hang > 0 {
		t.hung = append(t.hung, c)
		return
	}
	took := d.Behavior.Service.Draw(d.random) / t.capacityFraction()
	if s := t.Fault.Slow; s > 0 && (t.Fault.SlowFor == 0 || len(c.Messages) > 0 && c.Messages[0].Tenant == t.Fault.SlowFor-1) {
		took *= s
	}
	end, runs, lost := t.drawOutcome(c)
	began := d.clock.Now()
	t.executing = append(t.executing, c)
	d.clock.After(took, func() {
		for i, o := range t.executing {
			if o == c {
				t.executing = append(t.executing[:i], t.executing[i+1:]...)
				break
			}
		}
		if runs {
			for _, doc := range c.Messages {
				d.recordExecution(t, c, doc, began)
			}
		}
		if !lost && t.Fault.Silent == 0 && t.outages == 0 {
			c.finish(t.withLimitReport(Answer{Code: end}))
		}
		t.startNext()
	})
}

// drawOutcome draws what troubles do to a call.
func (t *Endpoint) drawOutcome(c *Call) (end transport.ResultCode, runs, lost bool) {
	end, runs = transport.ResultOK, true
	r := &t.Fault
	if r.Err+r.Reset+r.Lose+r.Spoil == 0 || r.OddForwarders && c.Forwarder%2 == 0 {
		return end, runs, false
	}
	if r.seen++; r.Every > 1 && r.seen%r.Every != 0 {
		return end, runs, false
	}
	switch x := t.Destination.random.Float64(); {
	case x < r.Err:
		return transport.ResultServerError, x < r.Err/2, false
	case x < r.Err+r.Reset:
		return transport.ResultClosed, x < r.Err+r.Reset/2, false
	case x < r.Err+r.Reset+r.Lose:
		return end, runs, true
	case x < r.Err+r.Reset+r.Lose+r.Spoil:
		return transport.ResultMalformed, runs, false
	}
	return end, runs, false
}

// startNext takes the place that came free.
func (t *Endpoint) startNext() {
	if len(t.queue) == 0 || t.outages > 0 {
		t.inService--
		return
	}
	c := t.queue[0]
	t.queue = t.queue[1:]
	c.queued = false
	t.execute(c)
}

func (d *Destination) recordExecution(t *Endpoint, c *Call, doc Message, began float64) {
	now, zone := d.clock.Now(), 0
	if doc.DeduplicatedPerZone {
		zone = t.Zone % len(d.deduplicators)
	}
	effect := true
	if doc.IdempotencyKey != 0 && doc.DeduplicationWindow > 0 {
		effect = d.deduplicators[zone].firstSeen(doc.IdempotencyKey, c.receivedAt, now, doc.DeduplicationWindow)
	}
	d.recorder.MessageExecuted(Execution{Message: doc, Destination: d.Number, Endpoint: t.Number, Forwarder: c.Forwarder, ReceivedAt: c.receivedAt, StartedAt: began, EndedAt: now, Effect: effect})
}

// deduplicator are those that a destination remembers, from the run on: never less than forwarders count on, who know only
// when they sent.
type deduplicator struct {
	until map[uint64]float64
	order []uint64
}

// firstSeen tells if a number is new to a call that came at a moment and has run by now. It is looked up as of the coming:
// a call that a hang kept for long is known by what was known then.
func (n *deduplicator) firstSeen(mark uint64, came, now, memory float64) (fresh bool) {
	for len(n.order) > 0 && n.until[n.order[0]] <= now-deduplicationMargin {
		delete(n.until, n.order[0])
		n.order = n.order[1:]
	}
	if n.until == nil {
		n.until = map[uint64]float64{}
	}
	until, known := n.until[mark]
	if known && until > came {
		return false
	}
	if !known {
		n.order = append(n.order, mark)
	}
	n.until[mark] = now + memory
	return true
}

const deduplicationMargin = 120 // seconds: calls that came in time may run so much later

// rateLimiter is a plain rate (a bucket that fills), a count within a span, or both.
type rateLimiter struct {
	tokens, refilledAt float64
	admitted           []float64
}

func (l *rateLimiter) reset(t *Behavior, now float64) {
	l.tokens, l.refilledAt = math.Max(1, t.Burst), now
}

// remaining is the share of the limit that is left just now, the least of both where there are two.
func (l *rateLimiter) remaining(t *Behavior, cut, now float64) float64 {
	if cut == 0 {
		cut = 1
	}
	left := 1.0
	if t.Rate > 0 {
		left = math.Min(1, (l.tokens+(now-l.refilledAt)*t.Rate*cut)/math.Max(1, t.Burst))
	}
	if t.Count > 0 {
		used := 0
		for _, at := range l.admitted {
			if at > now-t.Span {
				used++
			}
		}
		left = math.Min(left, 1-float64(used)/math.Max(1, float64(t.Count)*cut))
	}
	return math.Max(0, left)
}

// admit lets a call in or tells after what time one would be.
func (l *rateLimiter) admit(t *Behavior, cut, now float64) (wait float64, full bool) {
	if cut == 0 {
		cut = 1
	}
	if rate := t.Rate * cut; t.Rate > 0 {
		l.tokens = math.Min(math.Max(1, t.Burst), l.tokens+(now-l.refilledAt)*rate)
		l.refilledAt = now
		if l.tokens < 1-1e-9 {
			return (1 - l.tokens) / rate, true
		}
	}
	if t.Count > 0 {
		for len(l.admitted) > 0 && l.admitted[0] <= now-t.Span {
			l.admitted = l.admitted[1:]
		}
		if most := max(1, int(float64(t.Count)*cut)); len(l.admitted) >= most {
			return l.admitted[len(l.admitted)-most] + t.Span - now, true
		}
		l.admitted = append(l.admitted, now)
	}
	if t.Rate > 0 {
		l.tokens--
	}
	return 0, false
}
