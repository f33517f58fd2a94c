// Package scheduler decides which message goes out when, to which endpoint, and which is given up.
//
// How to call it: New at the start; then, for all that happens at one moment, SetTime, then the news in the
// order of arrival (UpdateEndpoints, PollTimedOut, WatchBroken, WatchSilent, Accept, Recover, AttemptEnded, NoticeAcknowledged, Withdraw, TimerFired, Stop), and
// Reconcile once. Where the room at the door is the scheduler's to mind, Admit comes before Accept. The interface is
// in port.go, what is remembered in state.go. The ordinary path is that of docs/design.md.
//
// Mechanisms beside the design:
//  1. recovery: an endpoint or route that fails is tried at a trickle, then paced up (cool, doubt, pace)
//  2. limits: a learned pace, pauses, rests and Retry-After times for each route (refusal, open)
//  3. places: calls and connections that an endpoint gets; fewer when it fails, none while silent (place, trust)
//  4. time-outs from observed times (timeout)
//  5. early answers: what cannot arrive, or what crowds the holding room (review, crowd, over)
//  6. closing retries: one that is about to become impossible goes before fresh work (pick)
package scheduler

import (
	"math"
	"slices"
)

const (
	capWell           = 0.75 // of the slots, a destination in good health
	capIll            = 0.5  // one that failed lately or is silent
	allIll            = 0.85 // of all slots, from here on none for a destination that failed lately
	restored          = 3    // timely answers that restore the cap
	turnSize          = 2    // messages a turn, more only where one call carries more
	roomFull          = 0.97 // of the holding room: from here on the longest line is cut
	overdue           = 0.01 // seconds after expiry: the call's end should have come
	lookAgain         = 0.02 // seconds between looks at lines that wait
	lastCall          = 0.04 // seconds before expiry: nothing is sent after, so that the end is told in time
	edge              = 0.1  // seconds before expiry: a delivery may count as late by its client's clock
	firstGuess        = 0.9  // seconds a call takes before any was measured
	blame             = 0.2  // weight of one failure in an endpoint's share of failures, twice that if nothing was heard
	mostFail          = 0.6  // share of failures from which on an endpoint is sick
	fewDocs           = 1.0  // messages a second for a destination: under it refusals teach no pace, two failures shut
	shutWait          = 2.5  // seconds; a limit has room again sooner
	manyLost          = 2.0  // losses on idle connections, a fifth of the calls on them, that end trust in them
	fadeTime          = 8.0  // seconds in which a failure loses most of its weight in the choice between siblings
	blip              = 3.0  // seconds of silence that are no outage
	kept              = 5.0  // calls that an earlier process's times count as, at most
	agentAsks         = 0.4  // seconds between questions to an agent: what it has counts as told, heard or not
	asksAtOnce        = 4.0  // questions a second for the list, all forwarders together
	askWait           = 2.7  // seconds to the next question, 1.3 times that at most, where discovery was out of reach
	CommandTimeout    = 2.7  // seconds in which a client has to bring a whole command: slow ones may ask after two
	ClientIdleTimeout = 3.0  // seconds that it may be connected between two
)

// NewDestination is called by the adapter at the first mention of a destination.
func (f *Scheduler) NewDestination(door uint64) *Destination {
	d := &Destination{ID: door, shared: &Route{filled: f.now}, good: restored, mode: "well", seen: f.now,
		byTenant: make([]lane, len(f.terms.TenantRate)+1),
		took:     newHist(0.02, 1.5, 100, 0.9, firstGuess, 1)}
	f.dests = append(f.dests, d)
	return d
}

// UpdateEndpoints takes news of the endpoints; whole means that all are named.
func (f *Scheduler) UpdateEndpoints(whole bool, lines []EndpointUpdate) {
	named := map[*Endpoint]bool{}
	f.unlisted, f.broken, f.blind = 0, 0, f.blind && f.now == f.began
	if f.now == f.began && f.askAt == f.now && len(lines) > 0 { // as last known: the question can wait
		f.askAt += f.asking() * f.dice.unit()
	}
	for _, l := range lines {
		t, d := l.Endpoint, l.Destination
		named[t] = true
		if t.dest == nil {
			// The first call goes anywhere: guards against all forwarders starting with the first endpoint listed.
			t.dest, t.places, t.route, t.standing, t.lastUsed = d, 2, d.shared, Removed, -f.dice.unit()
			if l.Kind < len(f.terms.KindEndpointLimits) && f.terms.KindEndpointLimits[l.Kind] {
				t.route = &Route{filled: f.now}
			}
			d.targets = append(d.targets, t)
		}
		if t.standing == Removed && l.State == Ready && f.now > f.began {
			t.next = f.now + f.dice.unit()*0.3 // all forwarders hear of a new endpoint at about the same time
		}
		if f.hear(d); l.State != Ready && len(t.calls) > 0 {
			f.recall = append(f.recall, t)
		}
		if l.WarmingUp && l.State == Ready {
			t.state, t.since, t.places = back, f.now, 1
			t.next = math.Max(t.next, f.now+f.gap(t)*f.dice.unit())
		}
		t.zone, t.standing, d.batch, d.kind = l.Zone, l.State, 1, l.Kind
		if l.Kind < len(f.terms.KindBatchSize) {
			d.batch = max(1, f.terms.KindBatchSize[l.Kind])
		}
		if l.Rate > 0 && l.Rate < 1e9 { // else it tells nothing
			d.listed = l.Rate
		}
	}
	for i := 0; whole && i < len(f.dests); i++ {
		for _, t := range f.dests[i].targets {
			if !named[t] {
				t.standing = Removed
				f.hear(t.dest)
			}
		}
	}
}

// PollTimedOut says that a question for the list went wrong or that the list stopped coming. Each failure in a
// row doubles the time to the next question. Guards against all forwarders together keeping discovery's line
// so long that nobody is served in time; hurts when it was down and is back.
func (f *Scheduler) PollTimedOut() { f.askAgain(&f.unlisted, f.terms.PollWithin) }

// WatchBroken says that the list stopped coming, or that discovery is down or out of reach: no line of questions
// is to be kept short. Reason it has counts as told six seconds after it could be reached, so that the next
// question cannot wait longer. Guards against calls to what began to drain in an outage; costs questions in vain.
func (f *Scheduler) WatchBroken() { f.askAgain(&f.broken, math.Min(f.terms.PollWithin, askWait)) }

func (f *Scheduler) askAgain(failures *int, most float64) {
	wait := math.Min(math.Max(1, f.asking())*math.Pow(2, float64(*failures)), most)
	*failures, f.blind = min(*failures+1, 4), false
	f.askAt = f.now + wait*(0.3+f.dice.unit())
}

// WatchSilent says that the list fell silent. Reason it missed soon counts as told: the question cannot wait.
func (f *Scheduler) WatchSilent() { f.askAt = f.now + math.Min(1, f.asking())*f.dice.unit() }

// asking is the span over which all forwarders that ask at the same moment spread: those of a fleet are
// started, or lose discovery, together. At most half of the time in which the rules want a question.
func (f *Scheduler) asking() float64 {
	if f.terms.LocalAgent { // nobody else asks it
		return 0
	}
	return math.Min(float64(f.terms.Forwarders-1)/asksAtOnce, f.terms.PollWithin/2)
}

// Admit tells if a message is taken on, or when to come back with it.
func (f *Scheduler) Admit(size int, left float64) (taken bool, comeBack float64) {
	if f.held.count >= f.terms.QueueCapacity || f.terms.MaxStoredBytes > 0 && f.kept+size > f.terms.MaxStoredBytes || left <= lastCall {
		return false, f.comeBack()
	}
	return true, 0
}

// Recover takes a message that an earlier process of this forwarder had taken on, in the order of taking.
// Reason was out then may have run and is a retry now; what has no way left is answered by the next settling.
func (f *Scheduler) Recover(d *Message, typ int, left float64, past RecoveredState) {
	f.Accept(d, typ, left)
	if past.CallerGone { // Its caller may have come again with another message for the same effect. Guards against a
		// second effect; hurts a caller that relied on this one. One that may still run lets its key rest.
		if past.Attempts > 0 && d.chain != nil {
			d.chain.rest = math.Max(d.chain.rest, f.now+f.terms.KeyCooldown+0.001)
		}
		f.finish(d)
	} else if past.Answered { // and is not sent any more
		d.telling = true
		f.finish(d)
	} else {
		d.sent, d.ranFrom, d.ranZone, d.owed = past.Attempts, past.FirstRanAt, past.Zone, past.Attempts == 0
		f.resume(d)
	}
}

// RestoreLatencies takes the call times that an earlier process measured, of all that it learnt the only figures that
// mean the same in a fleet of another size: paces, loads and health start afresh. They count as a few calls.
func (f *Scheduler) RestoreLatencies(d *Destination, times []float64) bool {
	return d.took.refill(times, kept)
}

// Stop says that the process ends after so long. No call begins that is likely to be out then: what is held
// stays owed for the next process. Guards against cutting calls off. Hurts when no process follows.
func (f *Scheduler) Stop(in float64) { f.until = f.now + in }

// Done tells a stopping process that nothing is left to wait for.
func (f *Scheduler) Done() bool { return f.until > 0 && f.out == 0 && f.held.count == 0 }

// Accept accepts a message of a type, with so much time left.
func (f *Scheduler) Accept(d *Message, typ int, left float64) {
	d.typ, d.expiry, d.time = &f.terms.Types[typ], f.now+left, left
	d.taking = f.nextRank()
	d.rank = d.taking
	f.held.add(d)
	f.kept += d.Size
	d.Dest.held++
	d.Dest.taken++
	f.chain(d)
	dest := d.Dest
	f.hear(dest)
	d.lane = &dest.byTenant[min(d.Tenant, len(f.terms.TenantRate))]
	if d.surplus = f.over(d.Tenant); d.surplus {
		d.lane = &dest.surplus
	}
	dest.classify(d)
	if !d.lane.ringed && !d.surplus {
		d.lane.ringed = true
		dest.lanes = append(dest.lanes, d.lane)
	}
	f.enqueue(d)
	f.await(d)
}

// over tells if a tenant has had its share of late, as far as this forwarder's even part of it goes, and
// counts one more message. Guards against a tenant's burst crowding out what others have a right to.
func (f *Scheduler) over(tenant int) bool {
	if tenant >= len(f.terms.TenantRate) {
		return false
	}
	part := f.terms.TenantRate[tenant] / float64(f.terms.Forwarders)
	at := math.Max(f.spent[tenant], f.now-1)
	if part <= 0 || at > f.now {
		return true
	}
	f.spent[tenant] = at + 1/part
	return false
}

// AttemptEnded takes the end of the attempt that is out for a message.
func (f *Scheduler) AttemptEnded(d *Message, e AttemptResult) {
	c := d.call
	// On the edge of its time a delivery may be late by its client's clock, that is none. Guards against a
	// message without an end; costs a needless notice.
	if e.Final && e.Outcome == Delivered && d.AnsweredByNotice && !d.answered && f.now > d.expiry-edge {
		d.want, d.telling = wantAbandoned, true
		f.changed = append(f.changed, d)
	}
	if e.Final {
		f.finish(d)
	}
	if c == nil {
		return
	}
	t := c.target
	f.hear(t.dest)
	d.call = nil
	if c.docs--; c.docs == 0 {
		f.out--
		t.dest.out--
		t.calls, t.kept = without(t.calls, c), true
		// A connection that the next call would come too late for is not kept, judged by the call before, nor any
		// at destinations of a kind of which one failed a connect in the last 30 s. Guards against the idle
		// connections of many forwarders filling tables that take a dozen; costs handshakes.
		if len(t.calls) == 0 && (f.now < f.tight[t.dest.kind] || !t.often) || f.now < f.distrust {
			f.unplug = append(f.unplug, t)
		}
	}
	// Reason is on its way while a wait is told, but not sent, comes too late: connecting can take long.
	if e.RetryAfter > 0 { // each message of a call may be told its own
		for _, o := range t.dest.targets {
			if o.route == t.route && len(o.calls) > 0 {
				f.recall = append(f.recall, o)
			}
		}
		t.route.closed = math.Max(t.route.closed, f.now+e.RetryAfter+0.002+0.05*f.dice.unit())
	}
	if !c.noted {
		c.noted = true
		f.observe(t, c, e)
	}
	maybe := e.Outcome == TimedOut || e.Outcome == Reset || e.Outcome == Cancelled
	if maybe && d.chain != nil {
		d.chain.rest = math.Max(d.chain.rest, f.now+f.terms.KeyCooldown+0.001)
	}
	if (maybe || e.Outcome == ServerError) && d.ranFrom == 0 {
		d.ranFrom, d.ranZone = c.began, t.zone
	}
	if e.Outcome == Delivered && !t.dest.unfit {
		t.dest.won++
	}
	if e.Final {
		f.finish(d)
	}
	f.unchain(d)
	if !d.answered {
		f.retry(d)
		f.await(d)
	}
}

func (f *Scheduler) observe(t *Endpoint, c *call, e AttemptResult) {
	d, r := t.dest, t.route
	if e.ReportedLimit != 0 && math.Abs(e.ReportedLimit) < 1e9 { // what is no number, or none of calls, tells nothing
		r.most = e.ReportedLimit
	}
	if left := math.Min(1, e.ReportedShare); r.most > 0 && (left > 0 || left < 0) {
		f.share(t, math.Max(0, left))
	}
	switch e.Outcome {
	case Delivered:
		f.trust(c, false)
		// Silence with answers before and after is loss on the way: nothing is cold after it.
		if t.state == sick && t.unheard > 0 && f.now-t.lastGood < blip {
			t.state, t.next, t.failing = well, f.now, blame
		}
		t.unheard, t.lastGood, t.proof = 0, f.now, math.Max(t.proof, c.began)
		t.failing *= 1 - blame
		r.refused, r.amiss, r.quick, r.lastGood = 0, 0, false, f.now
		if e.Latency > 4*d.took.slow {
			d.good = 0
		} else {
			d.good++
			t.places = math.Min(t.places+1/t.places, math.Max(1, float64(f.terms.ConcurrencyLimit)))
		}
		d.took.add(e.Latency)
		if t.state == sick {
			if r.pace > 0 { // it was learned during the outage
				r.pace = math.Max(r.pace, f.usual(t))
			}
			for _, o := range d.targets { // an outage mostly takes all of a route's endpoints, and ends for all
				if o.route == r && o.state == sick {
					o.state, o.since, o.failing = back, f.now, math.Min(o.failing, blame)
					o.next = f.now + f.gap(o)
				}
			}
		} else if t.state == back && f.now-t.since > f.terms.SlowStartDuration {
			t.state = well
		}
	case ServerError, TimedOut, NoConnection, Reset:
		d.good = 0
		if e.Outcome == NoConnection {
			f.tight[d.kind] = f.now + 30
			t.next = math.Max(t.next, f.now+0.2+0.8*f.dice.unit()) // a full table is as full at once after
			f.unplug = append(f.unplug, d.targets...)
		}
		if e.Outcome == TimedOut {
			t.unheard++
		}
		weight := blame
		if t.proof >= c.began {
			weight /= 2 // it answered a call that began later: this one was lost alone
		} else if e.Outcome == TimedOut || e.Outcome == NoConnection && f.now-r.lastGood > blip {
			weight *= 2
		}
		t.failing, t.failedAt, t.places = t.failing+weight*(1-t.failing), f.now, math.Max(1, t.places/2)
		if e.Outcome != ServerError {
			f.unplug = append(f.unplug, t) // its connections may be dead, or too many
			f.trust(c, true)
		}
		sibling := func(o *Endpoint) bool { return o.standing == Ready && o.state == sick && o.route == t.route }
		if r.amiss++; e.Outcome == NoConnection && e.Latency > firstGuess {
			r.amiss++ // not even turned away: silence
		}
		r.quick = r.quick || e.Outcome == ServerError || e.Outcome == NoConnection
		if t.failing > mostFail || weight > blame && slices.ContainsFunc(t.dest.targets, sibling) {
			f.cool(t)
		}
		if r.amiss > 1 && f.now-r.lastGood > blip {
			r.closed = math.Max(r.closed, f.now+f.rest(t)*f.dice.unit())
		}
		f.doubt(t)
	case Overloaded:
		if r.amiss > 0 {
			r.amiss++
			f.doubt(t)
		}
		f.refusal(t, c, e)
	}
}

// doubt shuts a route after three failures in a row, two where messages are few; refusals count after the first,
// one is quick, and no answer came for a while. Guards against many forwarders with few calls that go on until
// each is sure, and together push a destination over as it returns. Hurts after chance failures.
func (f *Scheduler) doubt(t *Endpoint) {
	r, enough := t.route, 3
	if f.few(t.dest) {
		enough = 2
	}
	for _, o := range t.dest.targets {
		if r.quick && r.amiss >= enough && f.now-r.lastGood > blip && o.route == r && o.state != sick {
			f.cool(o)
		}
	}
}

// trust counts how calls on connections that had been idle end; when many are lost none is kept for a while.
// Guards against connections that go dead unseen while idle; hurts by handshakes when all else fails too.
func (f *Scheduler) trust(c *call, lost bool) {
	if !c.reused {
		return
	}
	if f.idle.count(f.now, 8, lost); lost && f.idle.bad > math.Max(manyLost, f.idle.good/4) {
		f.distrust = f.now + 20
	}
}

// cool begins or prolongs an endpoint's sickness. Guards against pushing over a destination that returns cold,
// and feeding one that is down, hung, shut or failing. Hurts after chance failures.
func (f *Scheduler) cool(t *Endpoint) {
	t.state, t.places = sick, 1
	t.next = math.Max(t.next, math.Max(f.now, t.route.closed)+f.gap(t)*f.dice.unit())
}

// gap is the random time between two calls to an endpoint that is sick or back.
func (f *Scheduler) gap(t *Endpoint) float64 { return (0.7 + 0.6*f.dice.unit()) / f.pace(t) }

// pace is the calls a second that an endpoint may get while it is sick or back, so that all forwarders
// together, each judging by its own part, stay within what a cold destination stands.
func (f *Scheduler) pace(t *Endpoint) float64 {
	d, peers := t.dest, 0
	for _, o := range d.targets {
		if o.route == t.route && o.standing == Ready && o.state == t.state {
			peers++
		}
	}
	cold := 1.2 * f.terms.OverloadMultiple * f.usual(t)
	if t.state == sick { // all sick endpoints of a route share its trials
		return math.Max(cold*f.terms.SlowStartShare, 1/float64(f.terms.Forwarders))
	}
	share := f.terms.SlowStartShare + (1-f.terms.SlowStartShare)*(f.now-t.since)/math.Max(0.1, f.terms.SlowStartDuration)
	return cold * math.Max(0.05, share) / float64(max(1, peers))
}

// usual is the calls a second that this forwarder makes or may make to an endpoint's destination as a rule: for
// what it takes, but no more than the destination got done while it was well. Guards against a ramp that
// pushes over one that was asked for more than it can do. Hurts where its best is not known yet.
func (f *Scheduler) usual(t *Endpoint) float64 {
	d := t.dest
	rate := d.taken / (f.now - f.began + 2)
	if d.won > 0 {
		rate = math.Min(rate, (d.won+1)/(d.fit+2))
	}
	return math.Max(rate*(d.calls+1)/(d.sent+1), f.known(t))
}

// rest is two calls' time, at most half a message's life.
func (f *Scheduler) rest(t *Endpoint) float64 { return math.Min(2/f.usual(t), f.life/2) }

// known is this forwarder's even part of the rate that a route surely takes; at least one a second for all.
func (f *Scheduler) known(t *Endpoint) float64 {
	rate := math.Max(1, t.route.most)
	if f.terms.ListedRateTolerance > 0 {
		rate = math.Max(rate, t.dest.listed/f.terms.ListedRateTolerance)
	}
	return rate / float64(f.terms.Forwarders)
}

// share moves a route's pace by the reported share of its limit that is left, which all forwarders use up
// together. Guards against many that each learn by refusals of their own, which use the limit up too, that
// there is nothing left, and against an even part kept by those with little to send; hurts where reports come
// late.
func (f *Scheduler) share(t *Endpoint, left float64) {
	r := t.route
	dt := math.Min(1, f.now-r.told)
	r.told = f.now
	if r.pace > 0 {
		r.pace = math.Min(1e9, math.Max(r.pace*math.Exp(0.6*(left-0.5)*dt), f.known(t)/10))
	} else if left < 0.25 {
		r.pace = math.Max(r.rate, f.known(t))
	}
}

// refusal handles a call that was turned away unseen: above the limit, queue full, or shut.
func (f *Scheduler) refusal(t *Endpoint, c *call, e AttemptResult) {
	r := t.route
	// Calls that were out when the last one was turned away tell nothing new. Guards against a dozen refusals at
	// once being taken for a dozen in a row; hurts where those that follow are turned away again.
	if c.began < r.heard {
		return
	}
	r.heard = f.now
	// Departure: few messages teach no pace where no report tells what is left. Guards against hundreds that
	// ask again soon and use the limit up with refusals; hurts after a chance refusal.
	few := r.most == 0 && f.few(t.dest)
	if r.refused++; r.refused == 1 || e.RetryAfter > 0 && e.RetryAfter < shutWait {
		r.turned = f.now
	}
	if e.RetryAfter == 0 {
		pause := 0.1 * math.Pow(2, float64(min(r.refused, 5)-1))
		if few {
			pause = math.Min(24, 6*math.Pow(2, float64(r.refused-1)))
		}
		r.closed = math.Max(r.closed, f.now+pause*(0.5+f.dice.unit()))
	}
	if r.refused == 1 {
		r.since = f.now
		// No debt of earlier calls; and where calls are few, those refused together are not back together.
		r.tokens = (2.75*f.dice.unit() - 2) * math.Min(1, 0.5/r.rate)
	}
	// Reason a sick endpoint turns away, or one that reports no limit, tells of none: the ramp sees to its return.
	// Guards against next to no pace after a hang; hurts where the limit itself is the sickness.
	limited := t.state != sick && r.most >= 0 && !few
	if cut := r.rate; limited && r.refused > 1 {
		r.pace = math.Max(0.7*r.pace, f.known(t)/10) // what was told of the limit may hold no longer
	} else if limited {
		if r.pace > 0 {
			cut = math.Min(cut, r.pace)
		} else { // Little's law: what is out and answered in the usual time. Guards against a full queue in a clump
			// being taken for a limit at the usual load; hurts where all that is out will be turned away.
			out := 0
			for _, o := range t.dest.targets {
				if o.route == r {
					out += len(o.calls)
				}
			}
			cut = math.Max(cut, float64(out)/t.dest.took.slow)
		}
		if e.ReportedShare < 0 { // all is used up, by all together: an even part is what is likely to be let through
			cut = math.Min(cut, 1.5*f.known(t))
		}
		r.pace = math.Max(0.7*cut, f.known(t))
	}
	// Refused away again a second later, or at once where reports say there is no limit, nothing let in: two
	// calls' time without one. Guards against many with a message each that knock on a hung destination and
	// push it over. Hurts at limits that soon have room.
	if f.now > r.since+1 && !few || r.most < 0 && r.refused > 1 {
		r.closed = math.Max(r.closed, f.now+f.rest(t)*(0.5+f.dice.unit()))
	}
	// StopAccepting rather than above its limit: nothing let in for long, no short wait told, or a long one.
	if r.refused >= 5 && f.now-r.turned > shutWait || e.RetryAfter > shutWait {
		for _, o := range t.dest.targets {
			if o.route == r && o.state != sick {
				f.cool(o)
			}
		}
	}
}

// open tells if a route takes a call now: no wait, and within the pace that it seems to let through.
func (f *Scheduler) open(r *Route) bool {
	dt := f.now - r.filled
	if dt > 0 {
		r.filled = f.now
		r.rate *= math.Exp(-dt / 2)
		if r.pace > 0 {
			r.tokens = math.Min(r.tokens+r.pace*dt, math.Max(1, r.pace*0.3))
			if f.now >= r.closed && f.now > r.told+2 {
				// Faster the longer nothing was refused. Guards against a pace that a full queue taught in a clump
				// being paid for long after; hurts at limits that refuse seldom.
				faster := (f.now - r.heard) / 2
				if r.refused > 0 && r.most > 0 { // nothing was let in since, and others use it up: no news is none
					faster = 0
				}
				r.pace *= 1 + 0.08*dt*(1+faster)
			}
		}
	}
	return f.now >= r.closed && (r.pace == 0 || r.tokens >= 1)
}

// silent tells that a call has been out for far longer than usual and nothing was answered since it began.
// Guards against a silent destination keeping its share until the time-out. Hurts when one call is slow.
func (f *Scheduler) silent(t *Endpoint) bool {
	return len(t.calls) > 0 && t.lastGood < t.calls[0].began &&
		f.now-t.calls[0].began > math.Max(0.4, 3*t.dest.took.slow)
}

// ill tells that the destination's cap is lowered.
func (f *Scheduler) ill(d *Destination) bool {
	return d.good < restored || slices.ContainsFunc(d.targets, f.silent)
}

// dark tells that no endpoint of a destination answers.
func (f *Scheduler) dark(d *Destination) bool {
	alive := func(t *Endpoint) bool { return t.standing == Ready && t.state != sick }
	return !slices.ContainsFunc(d.targets, alive)
}

func share(slots int, part float64) int { return max(1, int(part*float64(slots))) }

// place finds the endpoint of a destination that has a place free for one more call, nil if there is none.
func (f *Scheduler) place(d *Destination) *Endpoint {
	part := capWell
	if f.ill(d) {
		part = capIll
	}
	stops := f.blind || f.until > 0 && f.now+d.took.slow > f.until
	if stops || f.out >= f.terms.ConcurrencyLimit || d.out >= share(f.terms.ConcurrencyLimit, part) {
		return nil
	}
	// Departure: those that are slow or failed lately leave the last slots to the others, but for one call
	// if none timed out. Guards against many of them filling all slots; hurts them while all else is idle.
	long := d.took.slow > f.agreed/2
	mute := slices.ContainsFunc(d.targets, func(t *Endpoint) bool { return t.unheard > 0 })
	if (mute || d.out > 0 && (part == capIll || long)) && f.out >= share(f.terms.ConcurrencyLimit, allIll) {
		return nil
	}
	best, score := (*Endpoint)(nil), math.Inf(1)
	for _, t := range d.targets {
		if t.standing != Ready || f.now < t.next || !f.open(t.route) || f.silent(t) {
			continue
		}
		if float64(len(t.calls)) >= math.Floor(t.places) || t.state == sick && len(t.calls) > 0 {
			continue
		}
		if n := len(t.calls); n > 0 && d.batch > 1 && t.calls[n-1].began == f.now {
			continue // one call a turn: more messages would join the same call
		}
		// An endpoint that failed of late comes after its siblings. Guards against one that fails some messages
		// (all of one type, say) and would get half of them; hurts while its siblings are nearly full.
		s := float64(len(t.calls))/t.places + t.failing*math.Exp((t.failedAt-f.now)/fadeTime)
		if t.zone != f.terms.Zone {
			s += 0.5
		}
		// Guards against a forwarder of few calls opening a connection to each endpoint in turn.
		if f.now-t.lastUsed > f.terms.IdleTimeout {
			s += 0.01
		}
		if s < score || s == score && t.lastUsed < best.lastUsed {
			best, score = t, s
		}
	}
	return best
}

// ready tells if a message may be sent to an endpoint now by the rules of order and repetition.
func (f *Scheduler) ready(d *Message, t *Endpoint) bool {
	if d.chain != nil && (d.chain.first != d || d.chain.rest > f.now && d.sent == 0) {
		return false
	}
	if d.ranFrom > 0 && d.typ.Idempotency == IdempotentWithKey {
		return f.now < d.ranFrom+d.typ.DeduplicationWindow-0.01 && (!d.typ.DeduplicatedPerZone || d.ranZone == t.zone)
	}
	return true
}

// pick takes up to n messages for a call to an endpoint: fresh ones from the tenants' ring, or retries.
func (f *Scheduler) pick(d *Destination, t *Endpoint, n int, retries bool) []*Message {
	var batch []*Message
	fresh := func(doc *Message) bool { return f.ready(doc, t) && !slices.Contains(batch, doc) }
	// Departure: to an endpoint that is sick or back first go retries, which have least to lose, and elsewhere
	// those that soon cannot be sent any more. Guards against losing what may have run; delays fresh work.
	all := retries || t.state != well
	again := func(doc *Message) bool {
		// Trials are not to use up one message's attempts.
		spared := t.state == sick && doc.ranFrom == 0 && doc.sent > f.terms.MaxAttempts/2
		return !spared && (all || f.now > doc.closesAt()) && fresh(doc)
	}
	fill := func(next func() *Message) {
		for doc := next(); doc != nil && len(batch) < n; doc = next() {
			batch = append(batch, doc)
		}
	}
	if all || d.retries.anyClosing(f.now) {
		fill(func() *Message { return d.retries.first(again) })
	}
	if retries {
		return batch
	}
	for idle := 0; idle < len(d.lanes) && len(batch) < n; {
		l := d.lanes[0]
		d.lanes = d.lanes[1:]
		idle++
		// Every other time the dearest goes, else the first. Guards against it waiting behind a clump.
		next := (*Message)(nil)
		if l.dearest = !l.dearest; l.dearest {
			next = f.dearestOf(l, fresh)
		} else {
			next = l.first(fresh)
		}
		if next != nil {
			batch = append(batch, next)
			idle = 0
		}
		if l.ringed = l.waiting > 0; l.ringed {
			d.lanes = append(d.lanes, l)
		}
	}
	fill(func() *Message { return d.surplus.first(fresh) })
	// A call that leaves anyway takes along what waits below. Guards against a line of retries that starves
	// while calls leave half empty, of a limit that counts calls; hurts by a little more work in each.
	if len(batch) > 0 && len(batch) < n {
		all = true
		fill(func() *Message { return d.retries.first(again) })
	}
	return batch
}

func (f *Scheduler) turn(d *Destination, retries bool) (released int) {
	for released < turnSize {
		t := f.place(d)
		if t == nil {
			f.park(d)
			break
		}
		docs := f.pick(d, t, d.batch, retries)
		if len(docs) == 0 {
			break
		}
		f.send(t, docs)
		released += len(docs)
	}
	return released
}

func (f *Scheduler) send(t *Endpoint, docs []*Message) {
	d := t.dest
	idle := f.now - t.lastUsed
	reused := len(t.calls) == 0 && t.kept && idle > 0.5 && idle < f.terms.IdleTimeout
	c := &call{target: t, began: f.now, docs: len(docs), reused: reused}
	t.calls = append(t.calls, c)
	t.often, t.lastUsed = idle < f.terms.IdleTimeout, f.now
	t.route.tokens--
	t.route.rate += 0.5
	d.out++
	d.calls++
	d.sent += float64(len(docs))
	f.out++
	for _, o := range d.targets {
		if o == t && t.state == back || o.route == t.route && o.state == sick && t.state == sick {
			o.next = math.Max(o.next, f.now+f.gap(t))
		}
	}
	allow := f.timeout(t)
	for _, doc := range docs {
		f.dequeue(doc)
		f.depart(doc)
		doc.call, doc.want, doc.to = c, wantOut, t
		doc.sent++
		doc.allow = math.Min(allow, doc.expiry-f.now)
		if doc.ranFrom > 0 && doc.typ.Idempotency == IdempotentWithKey { // a repeat that begins while its mark is known
			doc.allow = math.Min(doc.allow, doc.ranFrom+doc.typ.DeduplicationWindow-f.now)
		}
		f.changed = append(f.changed, doc)
	}
}

// timeout is how long a call is waited for: well beyond the slow ones of late, less so for the last slots,
// and longer while an endpoint answers none or few were measured. Guards against lost answers holding all slots,
// and against calls cut off that a few quick answers made look late, each of which may have run.
func (f *Scheduler) timeout(t *Endpoint) float64 {
	beyond := 3 + 3*5/(5+t.dest.took.total)
	if f.out >= f.terms.ConcurrencyLimit-1 && t.unheard == 0 && t.dest.good > 0 {
		beyond = 2
	}
	return math.Max(0.6, beyond*t.dest.took.slow) * math.Pow(2, float64(min(t.unheard, 3)))
}

func (f *Scheduler) release(retries bool) {
	f.ring.wake(f.now)
	for idle := 0; idle < f.ring.size(); {
		d, passed := f.ring.next(f.ring.size() - idle)
		if idle += passed; d == nil {
			break
		}
		if f.turn(d, retries) > 0 {
			idle = -1
		}
		idle++
		if d.ringed = d.waiting > 0; d.ringed {
			f.ring.advance()
		} else {
			f.ring.drop()
		}
	}
}

// short tells that a message has less time left than calls to its destination mostly take, or its endpoints
// are closed for. Guards against a long line sent just too late, each a time-out that makes its endpoint look
// sick, and against sitting on what cannot go out any more. Hurts quick ones. Reason a restart found untried is
// held while there is time, whatever waits say; sent too late it would take the place of others.
func (f *Scheduler) short(d *Message) bool {
	open := func(t *Endpoint) bool { return t.standing != Ready || t.route.closed < d.expiry }
	closed := len(d.Dest.targets) > 0 && !slices.ContainsFunc(d.Dest.targets, open)
	late := d.expiry-f.now < math.Max(lastCall, math.Min(d.Dest.took.slow, d.time/8))
	return late || closed && (!d.owed || d.sent > 0)
}

// review answers the messages that have no way left to arrive.
func (f *Scheduler) review() {
	for _, d := range f.collectDue() {
		if d.answered || d.call != nil && f.now < d.expiry+overdue {
			continue
		}
		mayRun := d.ranFrom > 0 && d.typ.Idempotency != Idempotent
		lost := mayRun && (d.typ.Idempotency == AtMostOnce || f.now > d.forgottenAt())
		// While nothing answers, one whose mark is soon forgotten goes back; its client may still repeat it.
		lost = lost || mayRun && !d.typ.DeduplicatedPerZone && f.now > d.fadesAt() && f.dark(d.Dest)
		if lost || f.short(d) || f.terms.MaxAttempts > 0 && d.sent >= f.terms.MaxAttempts {
			f.answer(d)
		}
	}
}

// crowd cuts what is worth least of the longest line while the room is nearly full. Guards against a sick or
// flooded destination turning away everybody's messages at the door; hurts when the flood would have passed.
func (f *Scheduler) crowd() {
	for float64(f.held.count) > roomFull*float64(f.terms.QueueCapacity) {
		last := f.victim(f.longest())
		if last == nil {
			return
		}
		f.answer(last)
	}
}

// worth is what a message brings now. Where value falls evenly, one that is late loses no less by waiting.
func (f *Scheduler) worth(d *Message) float64 {
	if late := f.now - d.expiry + d.typ.TimeToLive - d.typ.LatencyObjective; late > 0 && f.terms.HalvingValue {
		return d.typ.Value * math.Max(d.typ.LateValueShare, math.Pow(2, -late/d.typ.LatencyObjective))
	}
	return d.typ.Value
}

func (f *Scheduler) dearer(a, b *Message) bool {
	return b.surplus && !a.surplus || a.surplus == b.surplus && f.worth(a) > f.worth(b)
}

// line is the time in slots that a destination's waiting messages take: a few calls may clear a long one.
func line(d *Destination) float64 { return float64(d.waiting) * d.took.slow / float64(max(1, d.batch)) }

// answer gives the final answer at once: a rejection where a second try is harmless, else an abandonment.
func (f *Scheduler) answer(d *Message) {
	ran := d.ranFrom > 0 || d.call != nil
	forgotten := d.typ.DeduplicatedPerZone || f.now > d.ranFrom+d.typ.DeduplicationWindow
	if d.want = wantRejected; ran && (d.typ.Idempotency == AtMostOnce || d.typ.Idempotency == IdempotentWithKey && forgotten) {
		d.want = wantAbandoned
	}
	if d.ranFrom == 0 { // else its mark is soon forgotten
		d.back = f.comeBack()
	}
	d.telling = f.terms.AwaitAcknowledgement
	f.finish(d)
	f.changed = append(f.changed, d)
}

func (f *Scheduler) comeBack() float64 { return math.Min(2, f.terms.MaxRetryAfter) }

// Reconcile decides all that follows from the news taken since the last time.
func (f *Scheduler) Reconcile() {
	f.review()
	f.release(false)
	f.release(true)
	f.crowd()
	f.note()
	f.emit()
}

// emit brings the present state to the wanted one: attempts, answers, the list, the next wake-up.
func (f *Scheduler) emit() {
	for _, t := range f.recall {
		f.host.CancelUnsent(t)
	}
	for _, d := range f.changed {
		switch d.want {
		case wantOut:
			f.host.Send(d, d.to, d.allow)
		case wantRejected:
			f.host.Reject(d, d.back)
		case wantAbandoned:
			f.host.Fail(d)
		}
		d.want = wantHeld
	}
	for _, t := range f.unplug {
		f.host.CloseIdle(t)
		t.kept = false
	}
	f.changed, f.unplug, f.recall = f.changed[:0], f.unplug[:0], f.recall[:0]
	if f.now >= f.askAt {
		f.askAt = math.Inf(1)
		f.host.WatchEndpoints()
	}
	next := f.askAt
	for d := range f.held.all() {
		if d.call == nil {
			next = math.Min(next, f.now+lookAgain)
			break
		}
		next = math.Min(next, d.expiry+overdue)
	}
	if next < f.wake {
		f.wake = next
		f.host.Wake(math.Max(0.001, next-f.now))
	}
}

// KeepIdle is how long an idle connection is kept: not so long that the other side's close crosses a call.
func (t *Settings) KeepIdle() float64 { return t.IdleTimeout - math.Min(0.5, t.IdleTimeout/10) }
