package forward

import (
	"context"
	"os"
	"slices"
	"time"

	"spanflow/internal/dial"
)

// serve turns until the module lets the process end.
func (o *owner) serve(ctx context.Context, again <-chan os.Signal, dialer *dial.Dialer) {
	timer := time.NewTimer(0)
	report := time.NewTicker(countsEvery)
	defer report.Stop()
	learn := time.NewTicker(learnEvery)
	defer learn.Stop()
	asked := ctx.Done()
	var coming, end, look <-chan time.Time
	handing, shut := false, false
	var tray <-chan time.Time
	if o.order.Inherited > 0 { // a process that replaces this one may wait and be called
		ticker := time.NewTicker(trayEvery)
		defer ticker.Stop()
		tray = ticker.C
	}
	for {
		if o.wakeAt.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(o.wakeAt))
		}
		select {
		case <-o.exchange.bell:
		case <-timer.C:
		case <-report.C:
			o.report(dialer)
			continue
		case <-learn.C:
			o.keepLearnt()
			continue
		case <-tray:
			if handing || !o.emptyTray() { // what is called once this one hands over, its successor takes up
				continue
			}
		case <-again:
			o.reread()
			continue
		case <-asked:
			asked, o.stopping = nil, true
			o.operators.ready.Store(false)
			end = time.After(killAfter - killMargin)
			if handing = o.order.Inherited > 0; handing {
				// Another process takes the clients from the shared socket and what is owed from the folder: its
				// order goes on there once this one has its calls back.
				o.log.Info().Int("held", len(o.docs)).Int("out", o.f.Out()).Msg("handing over")
				o.exchange.leave(stopping(0))
				look = time.Tick(lookEvery)
				break
			}
			o.log.Info().Int("held", len(o.docs)).Msg("stopping")
			coming = time.After(comingFor)
			o.exchange.leave(stopping(killAfter - killMargin))
		case <-coming:
			coming = nil
			for _, l := range o.fronts {
				l.Leave()
			}
			look = time.Tick(lookEvery)
		case <-look: // if the clients have gone
		case <-end:
			return
		}
		clients := 0
		for _, l := range o.fronts {
			clients += l.Clients()
		}
		if len(o.leaving) > 0 {
			o.gone()
		}
		done := o.turn()
		if handing && !shut && o.f.Out() == 0 {
			// Clients are taken and kept for the successor until the calls are back, so that the socket is without
			// anybody who accepts for as short a time as can be: the successor starts once the folder is free.
			shut = true
			for _, l := range o.fronts {
				l.Shut()
				l.Leave()
			}
			continue
		}
		if (done || shut) && coming == nil && clients == 0 {
			return
		}
	}
}

// last answers what callers have asked up to the end. Guards against a command that was read behind the last turn and
// lost with the process: what is read is answered, what is not its client sends once more. No call begins any more.
func (o *owner) last() {
	o.exchange.close() // a front that waits for room does not, so that it can be halted
	for _, l := range append(slices.Clone(o.fronts), o.leaving...) {
		l.Halt()
	}
	o.exchange.leave(stopping(0))
	for again := true; again; again = o.exchange.asked() {
		o.turn()
	}
}
