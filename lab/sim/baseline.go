package sim

import (
	"math"
	"slices"

	"spanflow/scheduler"
)

// Baselines to compare the scheduler with. They are for the laboratory only. The oracle sees the true state of all
// endpoints and is a ceiling that may be out of reach.
var Baselines = map[string]Maker{
	"fifo": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		return newBaseline(t, now, h)
	},
	"backoff": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newBaseline(t, now, h)
		p.backoff = true
		return p
	},
	"bucket": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newBaseline(t, now, h)
		p.backoff, p.bucket = true, true
		return p
	},
	"oracle": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newBaseline(t, now, h)
		p.oracle = true
		return p
	},
	"least-loaded": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newBaseline(t, now, h)
		p.backoff, p.leastLoaded = true, true
		return p
	},
}

// baseline sends messages in the order of their coming and repeats what may be repeated. It heeds waits, drains, the order
// of keys and what must not run twice; of cold returns and limits it knows nothing.
type baseline struct {
	settings     scheduler.Settings
	host         scheduler.Host
	now          float64
	held         []*baselineMessage
	messageByID  map[uint64]*baselineMessage
	destinations map[uint64]*baselineDestination
	openCalls    int
	timerSet     bool
	backoff      bool // repeats wait twice as long each time
	bucket       bool // a destination gets at most as many calls a second as it answered of late, and a quarter more
	leastLoaded  bool // the endpoint with the fewest calls out, not the next in turn
	oracle       bool // sends only what would be worked on at once and answered well
	inspect      func(id uint64) (ready bool, busy int)
	misbehavior  misbehavior
}

// misbehavior breaks one rule on purpose: the audit's own tests need forwarders that do.
type misbehavior uint8

const (
	behaves misbehavior = iota
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
	next       int
	tokens     float64
	refilledAt float64
	rate       float64
	keyQueues  map[uint64][]*baselineMessage
}

type baselineEndpoint struct {
	handle       *scheduler.Endpoint
	state        scheduler.EndpointState
	openCalls    int
	zone         int
	blockedUntil float64 // told to wait
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
	firstRanAt      float64
	zone            int
	notBefore       float64
	done            bool
	endpoint        *baselineEndpoint
	keyBlockedUntil float64
}

const baselineTimeout = 2.0

func newBaseline(t scheduler.Settings, now float64, h scheduler.Host) *baseline {
	return &baseline{settings: t, host: h, now: now, messageByID: map[uint64]*baselineMessage{}, destinations: map[uint64]*baselineDestination{}}
}

func (p *baseline) NewDestination(id uint64) *scheduler.Destination {
	p.destinations[id] = &baselineDestination{keyQueues: map[uint64][]*baselineMessage{}, rate: 5, refilledAt: p.now}
	return &scheduler.Destination{ID: id}
}

func (p *baseline) UpdateEndpoints(whole bool, lines []scheduler.EndpointUpdate) {
	for _, l := range lines {
		d := p.destinations[l.Destination.ID]
		var t *baselineEndpoint
		for _, o := range d.endpoints {
			if o.handle == l.Endpoint {
				t = o
			}
		}
		if t == nil {
			t = &baselineEndpoint{handle: l.Endpoint, zone: l.Zone, ownLimits: l.Kind < len(p.settings.KindEndpointLimits) && p.settings.KindEndpointLimits[l.Kind]}
			d.endpoints = append(d.endpoints, t)
		}
		t.state, t.batchSize = l.State, 1
		if l.Kind < len(p.settings.KindBatchSize) {
			t.batchSize = max(1, p.settings.KindBatchSize[l.Kind])
		}
	}
}

// joinsBatch tells if a message would join the call that has just begun: it needs no place of its own.
func (p *baseline) joinsBatch(t *baselineEndpoint) bool {
	return p.oracle && t.callStarted == p.now && t.callMessages < t.batchSize
}

func (p *baseline) Admit(size int, left float64) (bool, float64) {
	return len(p.held) < p.settings.QueueCapacity && left > 0.1, math.Min(1, p.settings.MaxRetryAfter)
}

func (p *baseline) Accept(d *scheduler.Message, typ int, left float64) {
	x := &baselineMessage{handle: d, messageType: &p.settings.Types[typ], expiry: p.now + left}
	p.held = append(p.held, x)
	p.messageByID[d.ID] = x
	if x.messageType.InOrder && d.Key != 0 {
		dest := p.destinations[d.Dest.ID]
		dest.keyQueues[d.Key] = append(dest.keyQueues[d.Key], x)
	}
}

func (p *baseline) Recover(d *scheduler.Message, typ int, left float64, past scheduler.RecoveredState) {
	p.Accept(d, typ, left)
	x := p.messageByID[d.ID]
	x.attempts, x.firstRanAt, x.zone = past.Attempts, past.FirstRanAt, past.Zone
	x.notBefore = p.now + p.settings.KeyCooldown
}

func (p *baseline) SetTime(now float64) { p.now = now }
func (p *baseline) TimerFired()         { p.timerSet = false }

func (p *baseline) AttemptEnded(d *scheduler.Message, e scheduler.AttemptResult) {
	x := p.messageByID[d.ID]
	if x == nil {
		return
	}
	if x.openAttempts--; x.openAttempts == 0 {
		p.openCalls--
		x.endpoint.openCalls--
	}
	if e.RetryAfter > 0 {
		for _, t := range p.destinations[d.Dest.ID].endpoints {
			if t == x.endpoint || !t.ownLimits {
				t.blockedUntil = math.Max(t.blockedUntil, p.now+e.RetryAfter)
			}
		}
	}
	if e.Outcome == scheduler.Delivered {
		p.destinations[d.Dest.ID].rate++
	}
	if x.done {
		return
	}
	switch e.Outcome {
	case scheduler.ServerError, scheduler.TimedOut, scheduler.Reset, scheduler.Cancelled:
		if x.firstRanAt == 0 {
			x.firstRanAt, x.zone = p.now-e.Latency, x.endpoint.zone
		}
		x.keyBlockedUntil = p.now + p.settings.KeyCooldown + 0.01
	}
	if e.Final {
		p.finish(x)
		return
	}
	wait := 0.1
	if p.backoff {
		wait *= math.Pow(2, float64(min(x.attempts, 5)))
	}
	x.notBefore = p.now + wait
}

// finish lets go of a message that has its answer. Its key rests if it may still run.
func (p *baseline) finish(x *baselineMessage) {
	x.done = true
	for i, o := range p.held {
		if o == x {
			p.held = append(p.held[:i:i], p.held[i+1:]...)
			break
		}
	}
	if x.messageType.InOrder && x.handle.Key != 0 {
		dest := p.destinations[x.handle.Dest.ID]
		list := dest.keyQueues[x.handle.Key]
		for i, o := range list {
			if o == x {
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		if len(list) == 0 {
			delete(dest.keyQueues, x.handle.Key)
		} else {
			dest.keyQueues[x.handle.Key] = list
			list[0].notBefore = math.Max(list[0].notBefore, x.keyBlockedUntil)
		}
	}
}

// exhausted tells that a message must not be sent any more, and whether it may be handed in again.
func (p *baseline) exhausted(x *baselineMessage) (over, again bool) {
	switch {
	case p.now >= x.expiry-0.05 || x.attempts >= p.settings.MaxAttempts:
		return true, x.firstRanAt == 0 || x.messageType.Idempotency == scheduler.Idempotent
	case x.firstRanAt == 0 || x.messageType.Idempotency == scheduler.Idempotent:
		return false, false
	case x.messageType.Idempotency == scheduler.AtMostOnce:
		return p.misbehavior != repeatsAtMostOnce, false
	}
	return p.now > x.firstRanAt+x.messageType.DeduplicationWindow-baselineTimeout-0.5, false
}

func (p *baseline) Reconcile() {
	all := append([]*baselineMessage(nil), p.held...)
	if p.oracle { // those that can be in time still, before those that are late already
		late := func(x *baselineMessage) bool {
			return p.now > x.expiry-x.messageType.TimeToLive+x.messageType.LatencyObjective
		}
		slices.SortStableFunc(all, func(a, b *baselineMessage) int {
			switch la, lb := late(a), late(b); {
			case la == lb:
				return 0
			case lb:
				return -1
			}
			return 1
		})
	}
	for _, x := range all {
		if x.openAttempts > 0 && !(p.misbehavior == overlapsAttempts && x.openAttempts == 1 && p.now > x.notBefore) {
			continue
		}
		if over, again := p.exhausted(x); over {
			if p.misbehavior == neverAnswers || p.misbehavior == answersLate && p.now < x.expiry+1 {
				continue
			}
			p.finish(x)
			for range 1 + map[bool]int{true: 1}[p.misbehavior == answersTwice] {
				if again {
					p.host.Reject(x.handle, math.Min(1, p.settings.MaxRetryAfter))
				} else {
					p.host.Fail(x.handle)
				}
			}
			continue
		}
		if p.now < x.notBefore || p.openCalls >= p.settings.ConcurrencyLimit {
			continue
		}
		d := p.destinations[x.handle.Dest.ID]
		if x.messageType.InOrder && x.handle.Key != 0 && d.keyQueues[x.handle.Key][0] != x && p.misbehavior != breaksKeyOrder {
			continue
		}
		if t := p.pick(d, x); t != nil {
			p.send(x, t, d)
		}
	}
	if len(p.held) > 0 && !p.timerSet {
		p.timerSet = true
		p.host.Wake(0.02)
	}
}

func (p *baseline) pick(d *baselineDestination, x *baselineMessage) *baselineEndpoint {
	if p.bucket {
		d.tokens = math.Min(4, d.tokens+(p.now-d.refilledAt)*math.Max(1, d.rate*1.25))
		d.rate *= math.Exp(d.refilledAt - p.now)
		if d.refilledAt = p.now; d.tokens < 1 {
			return nil
		}
	}
	var best *baselineEndpoint
	least := 0
	for i := range d.endpoints {
		t := d.endpoints[(d.next+i)%len(d.endpoints)]
		if t.state != scheduler.Ready && p.misbehavior != callsDraining || t.state == scheduler.Removed || p.now < t.blockedUntil+0.005 && p.misbehavior != ignoresRetryAfter {
			continue
		}
		if x.firstRanAt > 0 && x.messageType.Idempotency == scheduler.IdempotentWithKey && x.messageType.DeduplicatedPerZone && t.zone != x.zone {
			continue
		}
		if p.joinsBatch(t) {
			return t
		}
		if p.oracle {
			ready, busy := p.inspect(t.handle.ID)
			if ready && (best == nil || busy < least) {
				best, least = t, busy
			}
			continue
		}
		if best == nil || p.leastLoaded && t.openCalls < best.openCalls {
			best = t
		}
	}
	return best
}

func (p *baseline) send(x *baselineMessage, t *baselineEndpoint, d *baselineDestination) {
	if d.next++; p.joinsBatch(t) {
		t.callMessages++
	} else {
		t.callStarted, t.callMessages = p.now, 1
	}
	d.tokens--
	if x.openAttempts == 0 {
		p.openCalls++
		t.openCalls++
		x.endpoint = t
	}
	x.openAttempts++
	x.attempts++
	x.notBefore = p.now + 0.02
	p.host.Send(x.handle, t.handle, math.Min(baselineTimeout, x.expiry-p.now))
}
