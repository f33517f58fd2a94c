package scheduler

import (
	"fmt"
	"math"
	"slices"
)

// Scheduler is one instance of the scheduler.
type Scheduler struct {
	terms    Settings
	host     Host
	dice     chance
	now      float64
	began    float64
	dests    []*Destination
	ring     ring
	chains   map[uint64]*chain
	held     heldList       // not answered, in the order of taking
	rank     uint64         // the latest number in the order of taking and of coming back as a retry
	heard    []*Destination // with news since the last settling
	due      dueMessages    // what the next review has to look at
	changed  []*Message     // whose wanted state may differ from the present one
	spent    []float64      // per tenant: up to when its share is used
	recall   []*Endpoint    // whose calls are not wanted any more unless they have begun to be sent
	unplug   []*Endpoint    // whose idle connections are not wanted
	out      int
	kept     int             // bytes of messages that are not over
	until    float64         // when a stopping process ends; 0: it does not stop
	wake     float64         // the wake-up that is set
	idle     odds            // how calls on idle connections end
	distrust float64         // until when no idle connection is kept
	tight    map[int]float64 // per kind of destination: until when no idle connection is kept
	agreed   float64         // the shortest agreed time of all types, and the shortest life
	life     float64
	askAt    float64 // when to ask for the list; infinite while it is coming
	blind    bool    // the list of now counts as told and was not heard yet
	unlisted int     // questions for the list that failed in a row
	broken   int     // of these, those that failed for another reason than discovery's load
}

// New starts a forwarder.
func New(terms Settings, seed uint64, now float64, host Host) *Scheduler {
	f := &Scheduler{terms: terms, host: host, dice: newChance(seed), now: now, began: now,
		chains: map[uint64]*chain{}, tight: map[int]float64{}, wake: math.Inf(1), askAt: math.Inf(1),
		spent: make([]float64, len(terms.TenantRate))}
	if terms.PollEndpoints {
		f.askAt = now
	}
	f.blind = terms.LocalAgent
	if f.terms.PollWithin <= 0 {
		f.terms.PollWithin = math.Inf(1)
	}
	if f.terms.LocalAgent {
		f.terms.PollWithin = math.Min(f.terms.PollWithin, agentAsks)
	}
	f.agreed, f.life = math.Inf(1), math.Inf(1)
	for _, typ := range terms.Types {
		f.agreed, f.life = math.Min(f.agreed, typ.LatencyObjective), math.Min(f.life, typ.TimeToLive)
	}
	return f
}

// Message is one message held by a forwarder. The caller sets the fields in capitals, once.
type Message struct {
	ID     uint64 // the adapter's id
	Tenant int
	Key    uint64
	Dest   *Destination
	Size   int // bytes that it takes where messages are kept

	AnsweredByNotice bool // its final answer, unless it is delivered in time, is a notice to who judges the time by another clock

	typ      *MessageType
	expiry   float64
	time     float64 // that it had when it was taken
	chain    *chain
	lane     *lane
	call     *call   // the call that carries it now
	sent     int     // attempts spent
	ranFrom  float64 // issue of the first attempt that may have run; 0: surely never ran
	ranZone  int
	answered bool
	queued   bool
	surplus  bool // beyond its tenant's share
	telling  bool // its answer is on its way
	freed    bool
	owed     bool // a restart found it untried

	taking                   uint64   // its number in the order of taking
	rank                     uint64   // its place among those that wait
	previous, next           *Message // in heldList
	class                    *class
	classPrevious, classNext *Message
	chainPrevious, chainNext *Message
	queueAt, closingAt       int32 // positions in heaps: lane or retries, closing retries,
	expiryAt, timerAt        int32 // expiries or calls that are out, timers
	timer                    float64
	stage                    stage
	fading, considered       bool

	want  answer // what is wanted of it; emit brings it about
	to    *Endpoint
	allow float64
	back  float64
}

// AwaitingAcknowledgement tells that its final answer is still to be heard.
func (d *Message) AwaitingAcknowledgement() bool { return d.telling }

// Finished tells that nothing more can be heard of the message.
func (d *Message) Finished() bool { return d.answered && d.call == nil && !d.telling }

type answer uint8

const (
	wantHeld answer = iota
	wantOut
	wantRejected
	wantAbandoned
)

// Address is one endpoint of a destination.
type Endpoint struct {
	ID uint64 // the adapter's address

	dest     *Destination
	route    *Route
	zone     int
	standing EndpointState
	places   float64 // calls it is given at once
	calls    []*call
	lastUsed float64
	often    bool    // the latest call came before an idle connection of the one before would have ended
	kept     bool    // its connection was left open
	lastGood float64 // when it last answered as it should
	unheard  int     // time-outs since it last answered
	proof    float64 // begin of the latest call that it answered as it should
	state    health
	failing  float64 // share of failures of late
	failedAt float64
	since    float64 // when it came back
	next     float64 // sick or back: not before
}

type health uint8

const (
	well health = iota
	sick
	back // answering again, still cold
)

// Route is what a limit and a wait bind: all endpoints of a destination, or one where they are apart.
type Route struct {
	closed   float64 // told to wait, or turned away: nothing before
	pace     float64 // calls a second that seem to be let through; 0: no limit met
	tokens   float64
	filled   float64 // when the tokens were last topped up
	rate     float64 // calls a second of late
	amiss    int     // failures since it last answered as it should, and refusals after the first of them
	quick    bool    // an error or a failed connect is among these
	lastGood float64
	refused  int     // refusals since a call was let in
	heard    float64 // when one was last taken as news
	since    float64 // when the first of these was
	turned   float64 // since when calls are refused without a short wait
	most     float64 // the limit as reported
	told     float64 // when the share of it that is left was last reported
}

// Destination is one receiver with all its endpoints.
type Destination struct {
	ID uint64 // the adapter's number

	targets            []*Endpoint
	shared             *Route
	batch              int     // messages in one call at most
	listed             float64 // calls a second as listed
	lanes              []*lane // the ring of tenants
	byTenant           []lane  // the last for messages without a tenant
	surplus            lane    // beyond the tenants' shares: after all other fresh work
	retries            retryLane
	classes            []*class  // of held messages
	expiries           *expiries // of those that wait; nil while none does
	lateAt             float64   // when the first of them is late
	latePosition       int32     // in the heap by that time
	touched            bool      // the next review looks at it
	node               *ringNode // its place in the ring, nil while it is in none
	held               int       // messages of it that a forwarder has not answered
	waiting            int       // of these, the ones in a lane
	out                int       // calls
	taken, sent, calls float64   // since the start: messages taken, attempts, calls made
	won, fit           float64   // messages delivered while no endpoint was sick or back, and the seconds of that
	seen               float64   // up to when fit is counted
	unfit              bool      // an endpoint is sick or back
	good               int       // timely answers in a row
	took               hist
	kind               int
	ringed             bool
	heard              bool
	mode               string
}

// call is one call, with one message or several.
type call struct {
	target *Endpoint
	began  float64
	docs   int // messages without an ending yet
	noted  bool
	reused bool // on a connection that had been idle, as far as can be told
}

// ReportedValue is a reported figure as AttemptResult.ReportedLimit and AttemptResult.CallerGone have it: reports say 0 where there is none, or none left.
func ReportedValue(reported float64) float64 {
	if reported == 0 {
		return -1
	}
	return reported
}

// HasType tells if the terms state this message type.
func (f *Scheduler) HasType(n int) bool { return n < len(f.terms.Types) }

func (f *Scheduler) SetTime(now float64) { f.now = now }

func (f *Scheduler) hear(d *Destination) {
	f.due.touch(d)
	f.ring.unpark(d.node)
	if !d.unfit {
		d.fit += f.now - d.seen
	}
	d.seen = f.now
	if !d.heard {
		d.heard = true
		f.heard = append(f.heard, d)
	}
}

// few tells that a destination gets few messages.
func (f *Scheduler) few(d *Destination) bool { return d.taken/(f.now-f.began+2) < fewDocs }

// TimerFired is a wake-up that was asked for.
func (f *Scheduler) TimerFired() { f.wake = math.Inf(1) }

// Withdraw says that the client does not want the message any more.
func (f *Scheduler) Withdraw(d *Message) { f.finish(d) }

// finish ends the forwarder's duty for a message; a call that carries it may still be out.
func (f *Scheduler) finish(d *Message) {
	if d.answered {
		return
	}
	d.answered = true
	d.Dest.held--
	f.held.remove(d)
	f.unstage(d)
	d.declassify()
	f.dequeue(d)
	f.unchain(d)
}

// Forget lets go of a destination that no endpoint is listed for and no message is held for, and tells if it did.
// MaxClients may name any.
func (f *Scheduler) Forget(d *Destination) bool {
	if len(d.targets) > 0 || d.held > 0 || d.ringed || d.heard {
		return false
	}
	f.dests = without(f.dests, d)
	return true
}

// NoticeAcknowledged says that the final answer of a message has reached those whom it is for.
func (f *Scheduler) NoticeAcknowledged(d *Message) {
	d.telling = false
	f.unchain(d)
}

// letGo ends the memory of endpoints that are gone, once no call to them is out: new ones come all day.
func (f *Scheduler) letGo(d *Destination) {
	for i := len(d.targets) - 1; i >= 0; i-- {
		if t := d.targets[i]; t.standing == Removed && len(t.calls) == 0 {
			d.targets = slices.Delete(d.targets, i, i+1)
			f.due.touch(d)
			f.host.ReleaseEndpoint(t)
		}
	}
}

// note logs the destinations that changed their mode.
func (f *Scheduler) note() {
	for _, d := range f.heard {
		f.letGo(d)
		worst := well
		for _, t := range d.targets {
			if t.standing == Ready && (t.state == sick || worst == well) {
				worst = t.state
			}
		}
		d.unfit = worst != well
		mode := [...]string{"well", "sick", "back"}[worst]
		if f.ill(d) && worst == well {
			mode = "ill"
		}
		if mode != d.mode {
			f.host.Log(fmt.Sprintf("dest %d %s > %s: out %d held %d good %d p90 %.2f", d.ID, d.mode, mode, d.out,
				d.held, d.good, d.took.slow))
			d.mode = mode
		}
		d.heard = false
	}
	f.heard = f.heard[:0]
}

// odds counts good and bad ends; both fade with time.
type odds struct{ good, bad, at float64 }

func (o *odds) count(now, fades float64, bad bool) {
	fade := math.Exp((o.at - now) / fades)
	o.good, o.bad, o.at = o.good*fade, o.bad*fade, now
	if bad {
		o.bad++
	} else {
		o.good++
	}
}

// hist counts times in bins of growing width and forgets by halving; before much was counted, a guess
// counts along.
type hist struct {
	bins, edges [16]float64 // counts, upper edges
	total, most float64     // at most so many, then all is halved
	part, slow  float64     // slow: the upper edge of the bin that holds this part of the times
	guess       int         // the bin of the guess
	guesses     float64
}

func newHist(base, step, most, part, guess, guesses float64) hist {
	h := hist{most: most, part: part, guesses: guesses}
	for i := range h.edges {
		base *= step
		h.edges[i] = base
	}
	h.guess = h.bin(guess)
	h.weigh()
	return h
}

func (h *hist) bin(x float64) int {
	n := 0
	for n < len(h.bins)-1 && x >= h.edges[n] {
		n++
	}
	return n
}

func (h *hist) add(x float64) {
	h.bins[h.bin(x)]++
	if h.total++; h.total > h.most {
		h.total = 0
		for i := range h.bins {
			h.bins[i] /= 2
			h.total += h.bins[i]
		}
	}
	h.weigh()
}

func (h *hist) weigh() {
	sum, want := 0.0, h.part*(h.total+h.guesses)
	for i, n := range h.bins {
		if sum += n; i == h.guess {
			sum += h.guesses
		}
		if h.slow = h.edges[i]; sum >= want {
			return
		}
	}
}

// chance is a permuted congruential generator (PCG-XSH-RR 64/32).
type chance struct{ state uint64 }

func newChance(seed uint64) chance {
	c := chance{seed + 1442695040888963407}
	c.unit()
	return c
}

// unit is a number from 0 to 1.
func (c *chance) unit() float64 {
	old := c.state
	c.state = old*6364136223846793005 + 1442695040888963407
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
func (f *Scheduler) CallsInFlight() int { return f.out }

// Ejected tells that an endpoint is tried at a trickle only, after it failed.
func (t *Endpoint) Ejected() bool { return t.state == sick }

// BlockedUntil tells until when an endpoint's route takes no call: a wait that it told, or a pause after refusals.
func (t *Endpoint) BlockedUntil() float64 { return t.route.closed }

// BlockUntil keeps an endpoint's route shut until then, as an earlier process of this forwarder was told to. Called
// after the endpoint is listed.
func (f *Scheduler) BlockUntil(t *Endpoint, until float64) {
	t.route.closed = math.Max(t.route.closed, until)
	f.due.touch(t.dest)
}

// Latencies are the counts of a destination's measured call times, nil if there are none, to be kept beyond a restart.
func (d *Destination) Latencies() []float64 {
	if d.took.total == 0 {
		return nil
	}
	return d.took.bins[:]
}

// refill takes counts of an earlier hist, scaled down to so many at most, if nothing was counted yet.
func (h *hist) refill(counts []float64, most float64) bool {
	total := 0.0
	for _, n := range counts {
		if !(n >= 0 && n < 1e9) {
			return false
		}
		total += n
	}
	if len(counts) != len(h.bins) || total == 0 || h.total > 0 {
		return false
	}
	for i, n := range counts {
		h.bins[i] = n * math.Min(1, most/total)
		h.total += h.bins[i]
	}
	h.weigh()
	return true
}
