package forward

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"spanflow/choice"
	"spanflow/internal/directory"
	"spanflow/internal/intake"
	"spanflow/internal/ledger"
	"spanflow/internal/outlet"
	"spanflow/internal/resp"
)

// owner is what the one goroutine that owns the module works with.
type owner struct {
	order    *Order
	asRead   choice.Terms // as the order has them
	log      zerolog.Logger
	exchange *Exchange
	ledger   *ledger.Ledger
	outlet   *outlet.Outlet
	dir      *directory.Directory
	f        *choice.Forwarder
	epoch    time.Time // the module's clock is seconds of the wall clock at the start, and from there on even
	docs     map[uint64]*paper
	byID     map[string]*paper // the same, by the clients' ids
	past     recent            // ids of documents that were let go of
	heard    bool              // discovery has told its list since the start
	dests    map[uint64]*choice.Destination
	sweepAt  int                // so many destinations are looked through for those that clients alone have named
	targets  map[uint64]*target // by number
	lastDoor uint64             // number of the latest target
	byUID    map[string]*target
	types    map[string]int
	rev      int64
	wakeAt   time.Time // zero: none set
	calls    []*outlet.Call
	unknown  map[string]bool // names that came with documents
	counts   counts
	said     map[string]time.Time // when lines that may come in floods were last written
}

// paper is a document that is owed or was until just now.
type paper struct {
	outlet.Paper
	doc *choice.Doc
	typ int
}

// target is what the list says of one, as far as carrying out needs it.
type target struct {
	uid, addr   string
	zone, batch int
	module      *choice.Target
}

// counts are for the log.
type counts struct {
	taken, refused, delivered, returned, abandoned, recovered int
	ends                                                      [outlet.Recalled + 1]int
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
	o.listed(&o.order.Known, true)
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
		if past.Answered = e.Answer != ledger.None; past.Answered {
			o.notify(p, e.Answer, e.After)
		}
		o.f.Recover(p.doc, typ, float64(e.Expiry)/1e6-o.clock(now), past)
		o.counts.recovered++
	}
	o.f.Settle()
	o.flush()
}

// paper makes the module's document of an entry.
func (o *owner) paper(e *ledger.Entry, typ int) *paper {
	p := &paper{Paper: outlet.Paper{Door: e.Seq, ID: e.ID, Mark: e.Mark, Body: e.Body}, typ: typ}
	p.doc = &choice.Doc{Door: e.Seq, Tenant: e.Tenant, Key: e.Key, Dest: o.dest(e.Dest), Size: e.Size()}
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
	if waited := start.Sub(since); (len(news) > 0 && waited > slowTurn || end.Sub(start) > slowTurn) && o.worth("late") {
		o.log.Warn().Int("news", len(news)).Dur("waited_ms", waited).Dur("turn_ms", end.Sub(start)).Msg("late")
	}
	return o.f.Done()
}

func (o *owner) hear(n any) {
	switch n := n.(type) {
	case intake.Asked:
		o.asked(n)
	case outlet.Ended:
		o.ended(n)
	case *directory.List:
		o.heard = true
		o.listed(n, n.All)
	case noticesLost:
		if o.worth("notices") {
			o.log.Warn().Str("why", string(n)).Msg("notices not answered")
		}
	case watchEnded:
		o.log.Warn().Str("why", string(n)).Msg("watch ended")
		o.f.ListFailed()
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

func (o *owner) asked(a intake.Asked) {
	switch {
	case a.Ping:
		a.Client.Answer(resp.Simple("PONG"), false)
	case a.Paper != nil:
		o.handedIn(a.Client, a.Paper)
	default:
		if o.worth("bad command") {
			o.log.Warn().Str("answer", a.Error).Msg("bad command")
		}
		a.Client.Answer(resp.Failure(a.Error), a.Last)
	}
}

// handedIn takes a document on, if the module will, and answers its client.
func (o *owner) handedIn(c *intake.Client, in *intake.Paper) {
	typ, known := o.types[in.Type]
	if !known {
		c.Answer(resp.Failure("ERR unknown type of document"), false)
		return
	}
	_, listed := o.dests[in.Dest]
	switch {
	case o.byID[in.ID] != nil || o.past.has(in.ID):
		c.Answer(resp.Failure("ERR a document with this id was taken on"), false)
		return
	case o.order.Terms.Types[typ].Repeat == choice.Numbered && in.Mark == "":
		c.Answer(resp.Failure("ERR k is missing, by which a repeat is known"), false)
		return
	case !listed && o.heard:
		c.Answer(resp.Failure("ERR unknown destination"), false)
		return
	case !listed: // the list may be old
		c.Answer(resp.Busy(int(lateList.Milliseconds())), false)
		return
	}
	if c.Gone() { // nobody hears the answer: whatever happened to it would count for nothing
		return
	}
	e := &ledger.Entry{Key: in.Key, Dest: in.Dest, Tenant: index(o.order.Fronts.Tenants, in.Tenant), Type: in.Type, ID: in.ID,
		Mark: in.Mark, Body: in.Body, Expiry: in.Came.UnixMicro() + micros(in.Left)}
	left := in.Left - time.Since(in.Came).Seconds()
	if in.Unknown != "" && !o.unknown[in.Unknown] && len(o.unknown) < mostNames {
		o.unknown[in.Unknown] = true
		o.log.Warn().Str("name", in.Unknown).Msg("unknown name with a document")
	}
	if taken, back := o.f.Admit(e.Size(), left); !taken {
		o.counts.refused++
		c.Answer(resp.Busy(min(int(back*1000), refuseMost)), false)
		return
	}
	if err := o.ledger.Take(e); err != nil {
		o.unkept(err)
		c.Answer(resp.Busy(0), false)
		return
	}
	p := o.paper(e, typ)
	o.f.Take(p.doc, typ, left)
	if !c.Answer(resp.Simple("OK"), false) { // not heard: its client hands it in again under another id
		o.f.Withdrawn(p.doc)
		o.over(p)
		o.forget(p)
		return
	}
	o.counts.taken++
}

func (o *owner) ended(e outlet.Ended) {
	for pass := range 2 { // delivered ones first: the module judges a call by the first end
		for i, p := range e.Call.Papers {
			if (e.Ends[i] == outlet.Took) == (pass == 0) {
				o.end(p.Door, e.Ends[i], &e)
			}
		}
	}
	if e.Why != "" {
		o.log.Info().Str("target", e.Call.Target).Stringer("end", e.Ends[0]).Dur("took_ms", e.Took).Str("why", e.Why).
			Msg("call failed")
	}
}

func (o *owner) end(door uint64, end outlet.End, e *outlet.Ended) {
	o.counts.ends[end]++
	p := o.docs[door]
	if p == nil {
		return
	}
	outcome, over := end.Outcome()
	if over {
		o.over(p)
		if outcome == choice.Delivered {
			o.counts.delivered++
		}
	} else if err := o.ledger.Back(door, end.Ran()); err != nil {
		o.unkept(err)
	}
	o.f.Ended(p.doc, choice.Ending{Outcome: outcome, Over: over, Took: e.Took.Seconds(), Wait: e.Wait,
		Most: o.limit(e.Report)})
	o.forget(p)
}

// limit finds the limit in a load report, 0 if it tells nothing of one, under 0 if it says that there is none.
func (o *owner) limit(report string) float64 {
	for pair := range strings.SplitSeq(report, ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name == o.order.Fronts.Limit {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e9 {
				return choice.Limit(v)
			}
		}
	}
	return 0
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
		delete(o.docs, p.Door)
		if o.byID[p.ID] == p {
			delete(o.byID, p.ID)
			o.past.add(p.ID)
		}
	}
}

func (o *owner) listed(l *directory.List, whole bool) {
	o.rev = l.Rev
	lines := make([]choice.Listing, 0, len(l.Targets))
	for _, e := range l.Targets {
		t := o.byUID[e.UID]
		if t == nil {
			if e.State == "left" {
				continue // heard of only as it goes
			}
			o.lastDoor++
			t = &target{uid: e.UID, module: &choice.Target{Door: o.lastDoor}}
			o.targets[o.lastDoor], o.byUID[e.UID] = t, t
		}
		kind := index(o.order.Fronts.Kinds, e.Kind)
		t.zone, t.batch = index(o.order.Fronts.Zones, e.Zone), 1
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
		lines = append(lines, line)
	}
	o.f.List(whole, lines)
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
	for i, n := range c.ends {
		if n > 0 {
			e = e.Int(fmt.Sprintf("end_%s", strings.ReplaceAll(outlet.End(i).String(), " ", "_")), n)
		}
	}
	return e
}
