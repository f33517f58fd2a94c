package forward

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"spanflow/choice"
	"spanflow/internal/ledger"
	"spanflow/internal/rota"
	"spanflow/seam"
)

// owner is what the one goroutine that owns the module works with.
type owner struct {
	order     *Order
	asRead    choice.Terms // as the order has them
	log       zerolog.Logger
	exchange  *Exchange
	ledger    *ledger.Ledger
	fronts    []*listener
	leaving   []*listener // that have gone from the order, until their callers have
	outlets   map[string]seam.Outlet
	source    seam.Source
	teller    seam.Teller // nil: the log alone
	moves     seam.Mover  // the source, if it is discovery
	notices   seam.Mover  // the teller, if it is not the same
	logTo     io.Writer
	own       *static // the source, if it is the order's own list
	meter     seam.Meter
	metered   bool
	trace     trace
	f         *choice.Forwarder
	epoch     time.Time // the module's clock is seconds of the wall clock at the start, and from there on even
	docs      map[uint64]*paper
	byID      map[string]*paper // the same, by the clients' ids
	past      recent            // ids of documents that were let go of
	heard     bool              // discovery has told its list since the start
	dests     map[uint64]*choice.Destination
	sweepAt   int                // so many destinations are looked through for those that clients alone have named
	targets   map[uint64]*target // by number
	lastDoor  uint64             // number of the latest target
	byUID     map[string]*target
	types     map[string]int
	rev       int64
	wakeAt    time.Time // zero: none set
	calls     []pending
	unknown   map[string]bool // names that came with documents
	counts    counts
	held      atomic.Int64         // documents, for the meter
	onDisk    atomic.Int64         // the ledger's bytes, for the meter
	said      map[string]time.Time // when lines that may come in floods were last written
	operators *desk
	lame      bool       // clients are sent elsewhere, by the operators' word
	rota      *rota.Rota // targets out by hand
	figures   figures
	stopping  bool                 // told to stop
	untried   int                  // recovered documents for which no call has begun yet
	waits     map[string]float64   // of an earlier process, for targets not listed yet
	learnt    map[uint64][]float64 // call times that an earlier process measured, for destinations not heard of yet
}

// paper is a document that is owed or was until just now.
type paper struct {
	seam.Paper
	doc       *choice.Doc
	typ       int
	holder    seam.Holder // whom the final answer is for; nil: the teller
	came      time.Time
	traced    bool
	untried   bool // an earlier process took it on, and no call has begun yet
	withdrawn bool // its holder has gone: nothing is owed, though a transmission may be out
}

// target is what the list says of one, as far as carrying out needs it.
type target struct {
	uid, addr   string
	dest        uint64
	zone, batch int
	outlet      seam.Outlet
	module      *choice.Target
	line        choice.Listing // as the list has it last
}

// counts are for the log.
type counts struct {
	taken, refused, delivered, returned, abandoned, recovered, withdrawn int
	ends                                                                 [seam.Recalled + 1]int
}

const (
	slowTurn   = 100 * time.Millisecond // a turn of the owner or a wait for it that is worth a line
	floodPause = time.Second            // between two lines of a kind that may come in floods
	refuseMost = 9_999_999              // milliseconds
	leastSweep = 64                     // destinations
	lateList   = time.Second            // until discovery has told its list, most likely
	mostNames  = 16                     // unknown names that get a line
)

func (o *owner) clock(t time.Time) float64 {
	return float64(o.epoch.UnixMicro())/1e6 + t.Sub(o.epoch).Seconds()
}

func micros(seconds float64) int64 { return int64(seconds * 1e6) }

// begin gives the module the known list and what an earlier process owed.
func (o *owner) begin(now time.Time) {
	o.f = choice.New(o.order.Terms, o.order.Seed, o.clock(now), o)
	if o.order.Inherited > 0 { // this process and the one before are one forwarder; a restart ends the waits
		o.waits = readWaits(o.order.Folder, o.clock(now))
	}
	if o.learnt = readLearnt(o.order.Folder, o.order.shape(), &o.log); len(o.learnt) > 0 {
		o.log.Info().Int("destinations", len(o.learnt)).Msg("learnt figures taken up")
	}
	o.listed(&o.order.Known, true)
	o.emptyTray()
	for _, e := range o.ledger.Owed() {
		typ, known := o.types[e.Type]
		if !known {
			o.log.Error().Str("id", e.ID).Str("type", e.Type).Msg("recovered document of an unknown type")
			typ = 0
		}
		past := choice.Past{Sent: e.Sent, Ran: float64(e.Ran) / 1e6, Zone: e.RanZone}
		if e.Out > 0 { // it was out when that process ended
			if err := o.ledger.Back(e.Seq, true); err != nil {
				o.unkept(err)
			}
			past.Ran, past.Zone = float64(e.Ran)/1e6, e.RanZone
		}
		p := o.paper(e, typ)
		past.Left = e.Held
		switch past.Answered = e.Answer != ledger.None; {
		case e.Held: // its caller's connection died with that process: told to nobody
			o.counts.withdrawn++
		case e.Answer == ledger.Returned:
			o.tell(p, seam.Returned, e.After)
		case e.Answer == ledger.Abandoned:
			o.tell(p, seam.Abandoned, 0)
		}
		left := float64(e.Expiry)/1e6 - o.clock(now)
		o.f.Recover(p.doc, typ, left, past)
		o.counts.recovered++
		if p.untried = past.Sent == 0 && !past.Answered && !past.Left; p.untried {
			if o.figures.untried++; left <= 0 {
				o.figures.expired++
			}
			o.untried++
		}
		if p.withdrawn = e.Held; p.withdrawn {
			o.forget(p)
		}
	}
	o.f.Settle()
	o.flush()
}

// settled takes a document that a restart found untried off the count of those that are: it was called, or has ended
// without. With the last of them a line says how many were.
func (o *owner) settled(p *paper, called bool) {
	if !p.untried {
		return
	}
	p.untried = false
	o.untried--
	if called {
		o.figures.called++
	}
	if o.untried == 0 {
		o.log.Info().Int("recovered", o.counts.recovered).Int("untried", o.figures.untried).Int("called", o.figures.called).
			Int("uncalled", o.figures.untried-o.figures.called).Int("expired_before", o.figures.expired).Msg("recovered documents settled")
	}
}

// withdraw ends a document whose caller waited for its final answer and has gone.
func (o *owner) withdraw(id string) {
	p := o.byID[id]
	if p == nil || p.holder == nil || p.withdrawn {
		return
	}
	o.counts.withdrawn++
	p.withdrawn = true
	o.f.Withdrawn(p.doc)
	o.forget(p)
}

// paper makes the module's document of an entry.
func (o *owner) paper(e *ledger.Entry, typ int) *paper {
	p := &paper{Paper: seam.Paper{Door: e.Seq, ID: e.ID, Mark: e.Mark, Body: e.Body}, typ: typ, came: time.Now(), traced: o.trace.picks(e.ID, e.Key)}
	p.doc = &choice.Doc{Door: e.Seq, Tenant: e.Tenant, Key: e.Key, Dest: o.dest(e.Dest), Size: e.Size(), Noticed: o.teller != nil}
	o.docs[e.Seq], o.byID[e.ID] = p, p
	return p
}

func (o *owner) dest(number uint64) *choice.Destination {
	d := o.dests[number]
	if d == nil {
		if len(o.dests) >= o.sweepAt {
			for n, d := range o.dests {
				if o.f.Forget(d) {
					delete(o.dests, n)
				}
			}
			o.sweepAt = 2*len(o.dests) + leastSweep
		}
		d = o.f.NewDestination(number)
		o.dests[number] = d
		if times := o.learnt[number]; times != nil {
			o.f.Remember(d, times)
			delete(o.learnt, number)
		}
	}
	return d
}

// turn takes all news, lets the module settle once, and carries out what it decides. It tells if the process may end.
func (o *owner) turn() bool {
	news, since := o.exchange.take()
	start := time.Now()
	o.f.Clock(o.clock(start))
	for _, n := range news {
		o.hear(n)
	}
	if !o.wakeAt.IsZero() && !start.Before(o.wakeAt) {
		o.wakeAt = time.Time{}
		o.f.Woken()
	}
	o.f.Settle()
	o.flush()
	end := time.Now()
	if o.metered {
		o.meter.Turn(len(news), end.Sub(start))
		o.held.Store(int64(len(o.docs)))
		o.onDisk.Store(o.ledger.Used())
	}
	if waited := start.Sub(since); (len(news) > 0 && waited > slowTurn || end.Sub(start) > slowTurn) && o.worth("late") {
		o.log.Warn().Int("news", len(news)).Dur("waited_ms", waited).Dur("turn_ms", end.Sub(start)).Msg("late")
	}
	return o.f.Done()
}

func (o *owner) hear(n any) {
	switch n := n.(type) {
	case *asked:
		o.asked(n)
	case withdrawn:
		o.withdraw(string(n))
	case seam.Ended:
		o.ended(n)
	case *seam.List:
		o.heard = true
		o.listed(n, n.All)
	case noticesLost:
		if o.worth("notices") {
			o.log.Warn().Str("why", string(n)).Msg("notices not answered")
		}
	case watchEnded:
		o.log.Warn().Str("why", n.why).Msg("watch ended")
		switch n.how {
		case seam.WatchSilent:
			o.f.ListSilent()
		case seam.WatchLate:
			o.f.ListFailed()
		default:
			o.f.ListBroken()
		}
	case told:
		for _, door := range n {
			if p := o.docs[door]; p != nil {
				o.over(p)
				o.f.Told(p.doc)
				o.forget(p)
			}
		}
	case stopping:
		o.f.Stop(time.Duration(n).Seconds())
	case operation:
		o.operate(n)
	}
}

// worth tells if a line of a kind is to be written, at most one a while.
func (o *owner) worth(kind string) bool {
	now := time.Now()
	if now.Before(o.said[kind].Add(floodPause)) {
		return false
	}
	o.said[kind] = now
	return true
}

// unkept logs that the ledger could not be written.
func (o *owner) unkept(err error) {
	if o.worth("ledger") {
		o.log.Error().Err(err).Msg("ledger cannot be written")
	}
}

func (o *owner) asked(a *asked) {
	switch {
	case a.Alive && o.lame: // clients are sent elsewhere: their front asks, and takes this for a no
		a.From.Answer(seam.Reply{Word: seam.Declined, Why: "lameduck: this forwarder is being emptied"})
	case a.Alive:
		a.From.Answer(seam.Reply{Word: seam.Alive})
	case a.Paper != nil:
		reply := o.handedIn(a)
		o.meter.Asked(a.front.front, reply.Word)
		if typ, known := o.types[a.Paper.Type]; known && reply.Word == seam.Busy {
			o.figures.count(&o.figures.throttled, typ)
		}
		if reply.Word != seam.Taken && !a.From.Gone() {
			a.From.Answer(reply)
		}
	default:
		if o.worth("bad command") {
			o.log.Warn().Str("answer", a.Why).Msg("bad command")
		}
		a.From.Answer(seam.Reply{Word: seam.Malformed, Why: a.Why, Last: a.Last})
	}
}

// handedIn takes a document on, if the module will, and answers its caller then; any other answer it returns.
func (o *owner) handedIn(a *asked) seam.Reply {
	in := a.Paper
	declined := func(why string) seam.Reply { return seam.Reply{Word: seam.Declined, Why: why} }
	typ, known := o.types[in.Type]
	if !known {
		return declined("unknown type of document")
	}
	_, listed := o.dests[in.Dest]
	switch {
	case o.byID[in.ID] != nil || o.past.has(in.ID):
		return declined("a document with this id was taken on")
	case o.order.Terms.Types[typ].Repeat == choice.Numbered && in.Mark == "":
		return declined("k is missing, by which a repeat is known")
	case !listed && o.heard:
		return declined("unknown destination")
	case !listed: // the list may be old
		return seam.Reply{Word: seam.Busy, Wait: int(1000 * min(lateList.Seconds(), o.order.Terms.ComeBackMost))}
	}
	if a.From.Gone() { // nobody hears the answer: whatever happened to it would count for nothing
		return seam.Reply{Word: seam.Busy}
	}
	holder, held := a.From.(seam.Holder)
	e := &ledger.Entry{Key: in.Key, Dest: in.Dest, Tenant: index(o.order.Names.Tenants, in.Tenant), Type: in.Type, ID: in.ID,
		Mark: in.Mark, Body: in.Body, Expiry: in.Came.UnixMicro() + micros(in.Left), Front: a.front.name, Held: held}
	left := in.Left - time.Since(in.Came).Seconds()
	if in.Unknown != "" && !o.unknown[in.Unknown] && len(o.unknown) < mostNames {
		o.unknown[in.Unknown] = true
		o.log.Warn().Str("name", in.Unknown).Msg("unknown name with a document")
	}
	if taken, back := o.f.Admit(e.Size(), left); !taken {
		o.counts.refused++
		return seam.Reply{Word: seam.Busy, Wait: min(int(back*1000), refuseMost)}
	}
	if err := o.ledger.Take(e); err != nil {
		o.unkept(err)
		return seam.Reply{Word: seam.Busy}
	}
	p := o.paper(e, typ)
	p.holder, p.came = holder, in.Came
	p.doc.Noticed = p.doc.Noticed && !held
	o.f.Take(p.doc, typ, left)
	if !a.From.Answer(seam.Reply{Word: seam.Taken}) { // not heard: its caller hands it in again under another id
		o.f.Withdrawn(p.doc)
		o.over(p)
		o.forget(p)
		return seam.Reply{Word: seam.Taken}
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Uint64("dest", in.Dest).Str("type", in.Type).Float64("left_s", left).Msg("trace: taken")
	}
	o.counts.taken++
	return seam.Reply{Word: seam.Taken}
}

func (o *owner) ended(e seam.Ended) {
	for pass := range 2 { // delivered ones first: the module judges a call by the first end
		for i, p := range e.Call.Papers {
			if (e.Ends[i] == seam.Took) == (pass == 0) {
				o.end(p.Door, e.Ends[i], &e)
			}
		}
	}
	if e.Why != "" {
		o.log.Info().Str("target", e.Call.Target).Stringer("end", e.Ends[0]).Dur("took_ms", e.Took).Str("why", e.Why).
			Msg("call failed")
	}
}

func (o *owner) end(door uint64, end seam.End, e *seam.Ended) {
	o.counts.ends[end]++
	o.meter.End(end, e.Took)
	p := o.docs[door]
	if p == nil {
		return
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Stringer("end", end).Dur("took_ms", e.Took).Msg("trace: end of a transmission")
	}
	outcome, over := end.Outcome()
	if end.Written() {
		o.figures.relayed++
	}
	o.f.Ended(p.doc, choice.Ending{Outcome: outcome, Over: over, Took: e.Took.Seconds(), Wait: e.Wait, Most: e.Most,
		Left: e.Left})
	switch {
	case over && p.doc.Telling(): // owed until that is heard, so it stays recorded
	case over:
		o.over(p)
		final := seam.Abandoned
		if outcome == choice.Delivered {
			final = seam.Delivered
			o.counts.delivered++
		}
		o.final(p, final)
		if p.holder != nil && !p.withdrawn {
			p.holder.Tell(seam.Final{Door: p.Door, ID: p.ID, Outcome: final})
		}
	default:
		if err := o.ledger.Back(door, end.Ran()); err != nil {
			o.unkept(err)
		}
	}
	o.forget(p)
}

// over records that nothing more is owed for a document.
func (o *owner) over(p *paper) {
	if err := o.ledger.Over(p.Door); err != nil {
		o.unkept(err)
	}
}

// forget lets go of a document of which nothing more can be heard.
func (o *owner) forget(p *paper) {
	if p.doc.Over() {
		o.settled(p, false)
		if p.withdrawn {
			o.over(p)
		}
		delete(o.docs, p.Door)
		if o.byID[p.ID] == p {
			delete(o.byID, p.ID)
			o.past.add(p.ID)
		}
	}
}

func (o *owner) listed(l *seam.List, whole bool) {
	o.rev = l.Rev
	lines := make([]choice.Listing, 0, len(l.Targets))
	for _, e := range l.Targets {
		t := o.byUID[e.UID]
		if t == nil {
			if e.State == "left" {
				continue // heard of only as it goes
			}
			o.lastDoor++
			t = &target{uid: e.UID, dest: e.Dest, outlet: o.outletOf(e.Kind), module: &choice.Target{Door: o.lastDoor}}
			o.targets[o.lastDoor], o.byUID[e.UID] = t, t
		}
		kind := index(o.order.Names.Kinds, e.Kind)
		t.zone, t.batch = index(o.order.Names.Zones, e.Zone), 1
		if e.Endpoint != "" {
			t.addr = e.Endpoint
		}
		if kind < len(o.order.Terms.KindBatch) {
			t.batch = max(1, o.order.Terms.KindBatch[kind])
		}
		line := choice.Listing{Target: t.module, Dest: o.dest(e.Dest), Kind: kind, Zone: t.zone, Rate: e.Rate}
		switch e.State {
		case "active":
			line.Standing = choice.Ready
		case "leaving":
			line.Standing = choice.Draining
		case "left":
			line.Standing = choice.Gone
		default:
			o.log.Warn().Str("target", e.UID).Str("state", e.State).Msg("unknown state in the list")
			line.Standing = choice.Draining
		}
		t.line = line
		line.Standing = o.rota.Standing(t.uid, line.Standing)
		lines = append(lines, line)
	}
	o.f.List(whole, lines)
	if len(o.waits) > 0 {
		o.heedWaits()
	}
}

// outletOf is the outlet by which targets of a kind are reached.
func (o *owner) outletOf(kind string) seam.Outlet {
	if by := o.outlets[o.order.KindOutlet[kind]]; by != nil {
		return by
	}
	return o.outlets[usualCarriage]
}

// index is a name's number; one that the settings do not have gets a number beyond them.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}

func (c *counts) write(e *zerolog.Event) *zerolog.Event {
	e = e.Int("taken", c.taken).Int("recovered", c.recovered).Int("refused", c.refused).Int("delivered", c.delivered).
		Int("returned", c.returned).Int("abandoned", c.abandoned)
	if c.withdrawn > 0 {
		e = e.Int("withdrawn", c.withdrawn)
	}
	for i, n := range c.ends {
		if n > 0 {
			e = e.Int(fmt.Sprintf("end_%s", strings.ReplaceAll(seam.End(i).String(), " ", "_")), n)
		}
	}
	return e
}
