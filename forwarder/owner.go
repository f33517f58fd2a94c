package forwarder

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/drains"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// owner is what the one goroutine that owns the scheduler works with.
type owner struct {
	order    *Config
	asRead   scheduler.Settings // as the order has them
	exchange *Exchange
	ledger   *wal.Log
	stored   *stored // nil: messages wait in memory alone
	f        *scheduler.Scheduler
	epoch    time.Time // the scheduler's clock is seconds of the wall clock at the start, and from there on even
	wakeAt   time.Time // zero: none set
	stopping bool      // told to stop

	// Messages
	docs      map[uint64]*paper
	byID      map[string]*paper // the same, by the clients' ids
	recentIDs recentIDs         // ids of messages that were let go of
	types     map[string]int
	unknown   map[string]bool // names that came with messages
	untried   int             // recovered messages for which no call has begun yet

	// Destinations and endpoints
	dests            map[uint64]*scheduler.Destination
	sweepAt          int                // so many destinations are looked through for those that clients alone have named
	targets          map[uint64]*target // by number
	lastDoor         uint64             // number of the latest endpoint
	byUID            map[string]*target
	rota             *drains.Set          // drained endpoints
	retryAfter       map[string]float64   // of an earlier process, for endpoints not listed yet
	learnedLatencies map[uint64][]float64 // of an earlier process, for destinations not heard of yet

	// Frontends and operators
	fronts    []*openFrontend
	leaving   []*openFrontend // that have gone from the order, until their callers have
	operators *adminRequests
	lame      bool // clients are sent elsewhere, by the operators' word

	// Upstreams
	outlets map[string]transport.Upstream
	calls   []pending

	// Discovery and notices
	source  transport.EndpointSource
	moves   transport.Reconfigurable // the source, if it is discovery
	own     *staticEndpoints         // the source, if it is the order's own list
	rev     int64
	heard   bool                     // discovery has told its list since the start
	teller  transport.Notifier       // nil: the log alone
	notices transport.Reconfigurable // the teller, if it is not the same

	// Log and meter
	log        zerolog.Logger
	logTo      io.Writer
	lastLogged map[string]time.Time // when lines that may come in floods were last written
	trace      trace
	meter      transport.Recorder
	metered    bool
	counts     counts
	figures    figures
	held       atomic.Int64 // messages, for the meter
	onDisk     atomic.Int64 // the write-ahead log's bytes, for the meter
}

const (
	slowTurn = 100 * time.Millisecond // a turn of the event loop or a wait for it that is worth a line
	logPause = time.Second            // between two lines of a kind that may come in floods
)

// newOwner has heard of nothing yet. Its write-ahead log, operators and rota are the caller's to set.
func newOwner(order *Config, log zerolog.Logger, x *Exchange) *owner {
	o := &owner{
		order:      order,
		asRead:     order.Scheduler,
		log:        log,
		exchange:   x,
		epoch:      time.Now(),
		docs:       map[uint64]*paper{},
		byID:       map[string]*paper{},
		recentIDs:  newRecentIDs(),
		targets:    map[uint64]*target{},
		byUID:      map[string]*target{},
		types:      map[string]int{},
		dests:      map[uint64]*scheduler.Destination{},
		unknown:    map[string]bool{},
		trace:      newTrace(order.Log),
		meter:      noMeter{},
		lastLogged: map[string]time.Time{},
	}
	for i, name := range order.Names.Types {
		o.types[name] = i
	}
	return o
}

// clock is a time on the scheduler's clock, in seconds.
func (o *owner) clock(t time.Time) float64 {
	return float64(o.epoch.UnixMicro())/1e6 + t.Sub(o.epoch).Seconds()
}

// micros is so many seconds in whole microseconds.
func micros(seconds float64) int64 { return int64(seconds * 1e6) }

// turn takes all news, lets the scheduler settle once, and carries out what it decides. It tells if the process may
// end.
func (o *owner) turn() bool {
	news, since := o.exchange.take()
	start := time.Now()
	o.f.SetTime(o.clock(start))
	for _, n := range news {
		o.hear(n)
	}
	if !o.wakeAt.IsZero() && !start.Before(o.wakeAt) {
		o.wakeAt = time.Time{}
		o.f.TimerFired()
	}
	o.moveBacklog(start)
	o.f.Reconcile()
	o.flush()
	end := time.Now()
	if o.metered {
		o.meter.LoopTurn(len(news), end.Sub(start))
		o.held.Store(int64(len(o.docs)))
		o.onDisk.Store(o.ledger.Used())
	}
	if waited := start.Sub(since); (len(news) > 0 && waited > slowTurn || end.Sub(start) > slowTurn) && o.mayLog("late") {
		o.log.Warn().Int("news", len(news)).Dur("waited_ms", waited).Dur("turn_ms", end.Sub(start)).Msg("late")
	}
	return o.f.Done()
}

// hear takes one of the news in.
func (o *owner) hear(n any) {
	switch n := n.(type) {
	case *asked:
		o.asked(n)
	case withdrawn:
		o.withdraw(string(n))
	case transport.CallResult:
		o.ended(n)
	case *transport.EndpointList:
		o.heard = true
		o.listed(n, n.Complete)
	case noticesLost:
		if o.mayLog("notices") {
			o.log.Warn().Str("why", string(n)).Msg("notices not answered")
		}
	case watchEnded:
		o.watchEnded(n)
	case told:
		o.told(n)
	case stopping:
		o.f.Stop(time.Duration(n).Seconds())
	case operation:
		o.operate(n)
	}
}

// watchEnded tells the scheduler that the list is not heard of any more.
func (o *owner) watchEnded(n watchEnded) {
	o.log.Warn().Str("why", n.why).Msg("watch ended")
	switch n.how {
	case transport.WatchSilent:
		o.f.WatchSilent()
	case transport.WatchTimeout:
		o.f.PollTimedOut()
	default:
		o.f.WatchBroken()
	}
}

// told lets go of messages whose final answers were heard.
func (o *owner) told(doors told) {
	for _, door := range doors {
		if p := o.docs[door]; p != nil {
			o.recordDone(p)
			o.f.NoticeAcknowledged(p.doc)
			o.removeIfDone(p)
		}
	}
}

// mayLog tells if a line of a kind is to be written, at most one a while.
func (o *owner) mayLog(kind string) bool {
	now := time.Now()
	if now.Before(o.lastLogged[kind].Add(logPause)) {
		return false
	}
	o.lastLogged[kind] = now
	return true
}

// logLedgerError logs that the write-ahead log could not be written.
func (o *owner) logLedgerError(err error) {
	if o.mayLog("ledger") {
		o.log.Error().Err(err).Msg("ledger cannot be written")
	}
}
