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
		return newPlain(t, now, h)
	},
	"backoff": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newPlain(t, now, h)
		p.backoff = true
		return p
	},
	"bucket": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newPlain(t, now, h)
		p.backoff, p.bucket = true, true
		return p
	},
	"oracle": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newPlain(t, now, h)
		p.seer = true
		return p
	},
	"least-loaded": func(t scheduler.Settings, seed uint64, now float64, h scheduler.Host) Policy {
		p := newPlain(t, now, h)
		p.backoff, p.least = true, true
		return p
	},
}

// plain sends messages in the order of their coming and repeats what may be repeated. It heeds waits, drains, the order
// of keys and what must not run twice; of cold returns and limits it knows nothing.
type plain struct {
	terms   scheduler.Settings
	host    scheduler.Host
	now     float64
	held    []*plainMessage
	byDoor  map[uint64]*plainMessage
	dests   map[uint64]*plainDest
	out     int
	woken   bool
	backoff bool // repeats wait twice as long each time
	bucket  bool // a destination gets at most as many calls a second as it answered of late, and a quarter more
	least   bool // the endpoint with the fewest calls out, not the next in turn
	seer    bool // sends only what would be worked on at once and answered well
	sees    func(door uint64) (ready bool, busy int)
	fault   fault
}

// fault breaks one rule on purpose: the audit's own tests need forwarders that do.
type fault uint8

const (
	sound fault = iota
	overlaps
	disorders
	ignoresWaits
	callsDraining
	answersTwice
	neverAnswers
	answersLate
	repeatsBinding
)

type plainDest struct {
	targets []*plainTarget
	next    int
	tokens  float64
	filled  float64
	rate    float64
	keys    map[uint64][]*plainMessage
}

type plainTarget struct {
	is       *scheduler.Endpoint
	standing scheduler.EndpointState
	out      int
	zone     int
	until    float64 // told to wait
	apart    bool
	batch    int     // messages that one call carries at most
	began    float64 // when the latest call began; what is sent at the same moment joins it
	riders   int     // messages that it carries
}

type plainMessage struct {
	is      *scheduler.Message
	typ     *scheduler.MessageType
	expiry  float64
	out     int
	sent    int
	ran     float64
	zone    int
	next    float64
	done    bool
	to      *plainTarget
	restTil float64
}

const plainTimeout = 2.0

func newPlain(t scheduler.Settings, now float64, h scheduler.Host) *plain {
	return &plain{terms: t, host: h, now: now, byDoor: map[uint64]*plainMessage{}, dests: map[uint64]*plainDest{}}
}

func (p *plain) NewDestination(door uint64) *scheduler.Destination {
	p.dests[door] = &plainDest{keys: map[uint64][]*plainMessage{}, rate: 5, filled: p.now}
	return &scheduler.Destination{ID: door}
}

func (p *plain) UpdateEndpoints(whole bool, lines []scheduler.EndpointUpdate) {
	for _, l := range lines {
		d := p.dests[l.Destination.ID]
		var t *plainTarget
		for _, o := range d.targets {
			if o.is == l.Endpoint {
				t = o
			}
		}
		if t == nil {
			t = &plainTarget{is: l.Endpoint, zone: l.Zone, apart: l.Kind < len(p.terms.KindEndpointLimits) && p.terms.KindEndpointLimits[l.Kind]}
			d.targets = append(d.targets, t)
		}
		t.standing, t.batch = l.State, 1
		if l.Kind < len(p.terms.KindBatchSize) {
			t.batch = max(1, p.terms.KindBatchSize[l.Kind])
		}
	}
}

// joins tells if a message would join the call that has just begun: it needs no place of its own.
func (p *plain) joins(t *plainTarget) bool { return p.seer && t.began == p.now && t.riders < t.batch }

func (p *plain) Admit(size int, left float64) (bool, float64) {
	return len(p.held) < p.terms.QueueCapacity && left > 0.1, math.Min(1, p.terms.MaxRetryAfter)
}

func (p *plain) Accept(d *scheduler.Message, typ int, left float64) {
	x := &plainMessage{is: d, typ: &p.terms.Types[typ], expiry: p.now + left}
	p.held = append(p.held, x)
	p.byDoor[d.ID] = x
	if x.typ.InOrder && d.Key != 0 {
		dest := p.dests[d.Dest.ID]
		dest.keys[d.Key] = append(dest.keys[d.Key], x)
	}
}

func (p *plain) Recover(d *scheduler.Message, typ int, left float64, past scheduler.RecoveredState) {
	p.Accept(d, typ, left)
	x := p.byDoor[d.ID]
	x.sent, x.ran, x.zone = past.Attempts, past.FirstRanAt, past.Zone
	x.next = p.now + p.terms.KeyCooldown
}

func (p *plain) SetTime(now float64) { p.now = now }
func (p *plain) TimerFired()         { p.woken = false }

func (p *plain) AttemptEnded(d *scheduler.Message, e scheduler.AttemptResult) {
	x := p.byDoor[d.ID]
	if x == nil {
		return
	}
	if x.out--; x.out == 0 {
		p.out--
		x.to.out--
	}
	if e.RetryAfter > 0 {
		for _, t := range p.dests[d.Dest.ID].targets {
			if t == x.to || !t.apart {
				t.until = math.Max(t.until, p.now+e.RetryAfter)
			}
		}
	}
	if e.Outcome == scheduler.Delivered {
		p.dests[d.Dest.ID].rate++
	}
	if x.done {
		return
	}
	switch e.Outcome {
	case scheduler.ServerError, scheduler.TimedOut, scheduler.Reset, scheduler.Cancelled:
		if x.ran == 0 {
			x.ran, x.zone = p.now-e.Latency, x.to.zone
		}
		x.restTil = p.now + p.terms.KeyCooldown + 0.01
	}
	if e.Final {
		p.end(x)
		return
	}
	wait := 0.1
	if p.backoff {
		wait *= math.Pow(2, float64(min(x.sent, 5)))
	}
	x.next = p.now + wait
}

// end lets go of a message that has its answer. Its key rests if it may still run.
func (p *plain) end(x *plainMessage) {
	x.done = true
	for i, o := range p.held {
		if o == x {
			p.held = append(p.held[:i:i], p.held[i+1:]...)
			break
		}
	}
	if x.typ.InOrder && x.is.Key != 0 {
		dest := p.dests[x.is.Dest.ID]
		list := dest.keys[x.is.Key]
		for i, o := range list {
			if o == x {
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		if len(list) == 0 {
			delete(dest.keys, x.is.Key)
		} else {
			dest.keys[x.is.Key] = list
			list[0].next = math.Max(list[0].next, x.restTil)
		}
	}
}

// hopeless tells that a message must not be sent any more, and whether it may be handed in again.
func (p *plain) hopeless(x *plainMessage) (over, again bool) {
	switch {
	case p.now >= x.expiry-0.05 || x.sent >= p.terms.MaxAttempts:
		return true, x.ran == 0 || x.typ.Idempotency == scheduler.Idempotent
	case x.ran == 0 || x.typ.Idempotency == scheduler.Idempotent:
		return false, false
	case x.typ.Idempotency == scheduler.AtMostOnce:
		return p.fault != repeatsBinding, false
	}
	return p.now > x.ran+x.typ.DeduplicationWindow-plainTimeout-0.5, false
}

func (p *plain) Reconcile() {
	all := append([]*plainMessage(nil), p.held...)
	if p.seer { // those that can be in time still, before those that are late already
		late := func(x *plainMessage) bool { return p.now > x.expiry-x.typ.TimeToLive+x.typ.LatencyObjective }
		slices.SortStableFunc(all, func(a, b *plainMessage) int {
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
		if x.out > 0 && !(p.fault == overlaps && x.out == 1 && p.now > x.next) {
			continue
		}
		if over, again := p.hopeless(x); over {
			if p.fault == neverAnswers || p.fault == answersLate && p.now < x.expiry+1 {
				continue
			}
			p.end(x)
			for range 1 + map[bool]int{true: 1}[p.fault == answersTwice] {
				if again {
					p.host.Reject(x.is, math.Min(1, p.terms.MaxRetryAfter))
				} else {
					p.host.Fail(x.is)
				}
			}
			continue
		}
		if p.now < x.next || p.out >= p.terms.ConcurrencyLimit {
			continue
		}
		d := p.dests[x.is.Dest.ID]
		if x.typ.InOrder && x.is.Key != 0 && d.keys[x.is.Key][0] != x && p.fault != disorders {
			continue
		}
		if t := p.pick(d, x); t != nil {
			p.send(x, t, d)
		}
	}
	if len(p.held) > 0 && !p.woken {
		p.woken = true
		p.host.Wake(0.02)
	}
}

func (p *plain) pick(d *plainDest, x *plainMessage) *plainTarget {
	if p.bucket {
		d.tokens = math.Min(4, d.tokens+(p.now-d.filled)*math.Max(1, d.rate*1.25))
		d.rate *= math.Exp(d.filled - p.now)
		if d.filled = p.now; d.tokens < 1 {
			return nil
		}
	}
	var best *plainTarget
	least := 0
	for i := range d.targets {
		t := d.targets[(d.next+i)%len(d.targets)]
		if t.standing != scheduler.Ready && p.fault != callsDraining || t.standing == scheduler.Removed || p.now < t.until+0.005 && p.fault != ignoresWaits {
			continue
		}
		if x.ran > 0 && x.typ.Idempotency == scheduler.IdempotentWithKey && x.typ.DeduplicatedPerZone && t.zone != x.zone {
			continue
		}
		if p.joins(t) {
			return t
		}
		if p.seer {
			ready, busy := p.sees(t.is.ID)
			if ready && (best == nil || busy < least) {
				best, least = t, busy
			}
			continue
		}
		if best == nil || p.least && t.out < best.out {
			best = t
		}
	}
	return best
}

func (p *plain) send(x *plainMessage, t *plainTarget, d *plainDest) {
	if d.next++; p.joins(t) {
		t.riders++
	} else {
		t.began, t.riders = p.now, 1
	}
	d.tokens--
	if x.out == 0 {
		p.out++
		t.out++
		x.to = t
	}
	x.out++
	x.sent++
	x.next = p.now + 0.02
	p.host.Send(x.is, t.is, math.Min(plainTimeout, x.expiry-p.now))
}
