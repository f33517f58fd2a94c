package forwarder

import (
	"context"
	"os"
	"slices"
	"time"

	"spanflow/internal/dial"
)

const (
	killAfter   = 3700 * time.Millisecond // after the word to stop, a forwarder may be killed
	killMargin  = 500 * time.Millisecond  // what is left of it for the end itself
	comingFor   = 500 * time.Millisecond  // new connections may still come for so long
	lookEvery   = 20 * time.Millisecond
	countsEvery = 10 * time.Second
	learnEvery  = 3 * time.Second
)

// shutdown is how far the end of a process has come. A channel is nil while its event is not waited for.
type shutdown struct {
	asked   <-chan struct{}  // the word to stop
	coming  <-chan time.Time // from then on no new connections are waited for
	look    <-chan time.Time // to see if the clients have gone
	end     <-chan time.Time // from then on nothing is waited for
	handing bool             // another process takes over
	shut    bool             // and the frontends are shut for it
}

// serve turns until the scheduler lets the process end.
func (o *owner) serve(ctx context.Context, again <-chan os.Signal, dialer *dial.Dialer) {
	timer := time.NewTimer(0)
	report := time.NewTicker(countsEvery)
	defer report.Stop()
	learn := time.NewTicker(learnEvery)
	defer learn.Stop()
	var spool <-chan time.Time
	if o.order.InheritedListener > 0 { // a process that replaces this one may wait and be called
		ticker := time.NewTicker(spoolPollInterval)
		defer ticker.Stop()
		spool = ticker.C
	}
	s := shutdown{asked: ctx.Done()}
	for {
		o.setTimer(timer)
		select {
		case <-o.exchange.bell:
		case <-timer.C:
		case <-report.C:
			o.setBacklogAges()
			o.report(dialer)
			continue
		case <-learn.C:
			o.writeLatencies()
			continue
		case <-spool:
			if s.handing || !o.runSpooledCommands() { // what is called once this one hands over, its successor takes up
				continue
			}
		case <-again:
			o.reload()
			continue
		case <-s.asked:
			o.stop(&s)
		case <-s.coming:
			s.coming = nil
			for _, l := range o.fronts {
				l.Drain()
			}
			s.look = time.Tick(lookEvery)
		case <-s.look: // if the clients have gone
		case <-s.end:
			return
		}
		if o.step(&s) {
			return
		}
	}
}

// setTimer has the timer fire when the scheduler is to be woken or the backlog store looked at.
func (o *owner) setTimer(timer *time.Timer) {
	at := o.wakeAt
	if o.stored != nil && !o.stored.wakeAt.IsZero() && (at.IsZero() || o.stored.wakeAt.Before(at)) {
		at = o.stored.wakeAt
	}
	if at.IsZero() {
		timer.Stop()
	} else {
		timer.Reset(time.Until(at))
	}
}

// stop begins the end of the process.
func (o *owner) stop(s *shutdown) {
	s.asked, o.stopping = nil, true
	o.operators.ready.Store(false)
	s.end = time.After(killAfter - killMargin)
	if s.handing = o.order.InheritedListener > 0; s.handing {
		// Another process takes the clients from the shared socket and what is owed from the folder: its order goes on
		// there once this one has its calls back.
		o.log.Info().Int("held", len(o.docs)).Int("out", o.f.CallsInFlight()).Msg("handing over")
		o.exchange.leave(stopping(0))
		s.look = time.Tick(lookEvery)
		return
	}
	o.log.Info().Int("held", len(o.docs)).Msg("stopping")
	s.coming = time.After(comingFor)
	o.exchange.leave(stopping(killAfter - killMargin))
}

// step takes a turn. It tells if the process may end.
func (o *owner) step(s *shutdown) bool {
	clients := 0
	for _, l := range o.fronts {
		clients += l.Clients()
	}
	if len(o.leaving) > 0 {
		o.closeDrainedFrontends()
	}
	done := o.turn()
	if s.handing && !s.shut && o.f.CallsInFlight() == 0 {
		// Clients are taken and kept for the successor until the calls are back, so that the socket is without anybody
		// who accepts for as short a time as can be: the successor starts once the folder is free.
		s.shut = true
		for _, l := range o.fronts {
			l.StopAccepting()
			l.Drain()
		}
		return false
	}
	return (done || s.shut) && s.coming == nil && clients == 0
}

// last answers what callers have asked up to the end. Guards against a command that was read behind the last turn and
// lost with the process: what is read is answered, what is not its client sends once more. No call begins any more.
func (o *owner) last() {
	o.exchange.close() // a frontend that waits for room does not, so that it can be halted
	for _, l := range append(slices.Clone(o.fronts), o.leaving...) {
		l.StopReading()
	}
	o.exchange.leave(stopping(0))
	for again := true; again; again = o.exchange.asked() {
		o.turn()
	}
}
