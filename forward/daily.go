package forward

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"spanflow/choice"
	"spanflow/internal/admin"
	"spanflow/internal/rota"
	"spanflow/seam"
)

// handOverWait is how long a process whose clients' socket is handed down waits for the folder of the one it
// replaces: the platform's 6 s to the yes, 3.7 s from the word to stop to the kill, and a moment for the kernel.
const handOverWait = 15 * time.Second

// adminRequests is the operators' way to the owner: their calls are news in the Exchange like any other.
type adminRequests struct {
	x       *Exchange
	ready   atomic.Bool
	standby atomic.Pointer[standby] // answers while another process owns the folder
}

// operation is a call of the operators' address with the way to its answer.
type operation struct {
	admin.Call
	reply func(admin.Answer)
}

func newAdminRequests(order *Order, x *Exchange) *adminRequests {
	a := &adminRequests{x: x}
	if order.Inherited > 0 {
		a.standby.Store(newStandby(order))
	}
	return a
}

// takeOver has calls go to the owner from here on. It tells if clients are to be sent away.
func (a *adminRequests) takeOver() (lame bool) {
	if s := a.standby.Load(); s != nil {
		return s.leave()
	}
	return false
}

func (a *adminRequests) Ready() bool { return a.ready.Load() }

func (a *adminRequests) Ask(c admin.Call, reply func(admin.Answer)) {
	if s := a.standby.Load(); s != nil {
		if answer, answered := s.answer(c); answered {
			reply(answer)
			return
		}
	}
	a.x.leave(operation{c, reply})
}

// inherit takes the listening socket that the platform hands down as a descriptor.
func inherit(fd int) (net.Listener, error) {
	kind, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is not a socket: %w", fd, err)
	}
	if kind == 0 {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is a socket that does not listen", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	defer f.Close() // the listener has a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d: %w", fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("PROXY_INHERITED_FD: descriptor %d is not a TCP socket", fd)
	}
	return l, nil
}

// operate answers a call of the operators.
func (o *owner) operate(c operation) {
	switch c.Do {
	case admin.Vars:
		c.reply(admin.Answer{Yes: true, Text: o.vars()})
	case admin.LameOn, admin.LameOff:
		// A stopping process goes on leaving: its clients are to go elsewhere whatever the operators say.
		if on := c.Do == admin.LameOn; on != o.lame && (on || !o.stopping) {
			o.lameduck(on)
		}
		c.reply(admin.Answer{Yes: true, Text: c.Do.String()})
	case admin.Detach, admin.Attach:
		t := o.byUID[c.Name]
		c.reply(o.byHand(c.Call, t != nil && t.line.Standing != choice.Gone))
	}
}

// lameduck sends clients away, or lets them in again.
func (o *owner) lameduck(on bool) {
	o.lame = on
	clients := 0
	for _, l := range o.fronts {
		if clients += l.Clients(); on {
			l.Leave()
		} else {
			l.Stay()
		}
	}
	o.log.Info().Bool("lameduck", on).Int("clients", clients).Int("held", len(o.docs)).Msg("lameduck")
}

// byHand takes a target out or puts it back; listed tells that somebody has it.
func (o *owner) byHand(c admin.Call, listed bool) admin.Answer {
	verdict, change := call(o.rota, c, listed)
	if change == rota.Same {
		return answerOf(c, verdict)
	}
	if err := keepOut(o.order.Folder, o.rota.Kept()); err != nil {
		o.rota = rota.New(readOut(o.order.Folder))
		return notKept(err)
	}
	o.log.Info().Str("target", c.Name).Bool("out", change == rota.TakenOut).Int("out_by_hand", o.rota.Len()).Msg("target by hand")
	if t := o.byUID[c.Name]; t != nil {
		line := t.line
		line.Standing, line.Cold = o.rota.Standing(t.uid, line.Standing), change == rota.Returned
		o.f.List(false, []choice.Listing{line}) // before this turn's Settle: nothing new goes to it from here on
	}
	return answerOf(c, verdict)
}

// call makes a call out or back on a set of targets out by hand.
func call(r *rota.Rota, c admin.Call, listed bool) (rota.Verdict, rota.Change) {
	if c.Do == admin.Attach {
		return r.Attach(c.Name, listed)
	}
	return r.Detach(c.Name, listed)
}

func notKept(err error) admin.Answer {
	return admin.Answer{Status: http.StatusInternalServerError, Text: "not kept in the folder: " + err.Error()}
}

func answerOf(c admin.Call, v rota.Verdict) admin.Answer {
	switch v {
	case rota.Yes:
		return admin.Answer{Yes: true, Text: c.Do.String() + " " + c.Name}
	case rota.Unknown:
		return admin.Answer{Status: http.StatusNotFound, Text: "name: " + v.String()}
	}
	return admin.Answer{Status: http.StatusBadRequest, Text: "name: " + v.String()}
}

// outFile keeps the ids of targets out by hand in the folder, one a line, so that a ban lasts over a restart and is
// taken up by the process that replaces this one.
const outFile = "out-by-hand"

// keepOut keeps the set of targets out by hand.
func keepOut(dir string, ids []string) error {
	text := strings.Join(ids, "\n")
	if len(ids) > 0 {
		text += "\n"
	}
	return writeWhole(dir, outFile, text)
}

// writeWhole writes a file of the folder whole and puts it in place of the old one, so that a process killed meanwhile
// leaves one or the other, never a part.
func writeWhole(dir, name, text string) error {
	fresh := filepath.Join(dir, name+".new")
	if err := os.WriteFile(fresh, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, filepath.Join(dir, name))
}

// readOut reads the set as it was kept; none if there is no file.
func readOut(dir string) []string {
	text, err := os.ReadFile(filepath.Join(dir, outFile))
	if err != nil {
		return nil
	}
	var ids []string
	for _, id := range strings.Split(string(text), "\n") {
		if id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// figures are the counts that the operators read at /_vars, each process from 0, kept by the owner as things happen.
type figures struct {
	fulfilled, throttled, faulted []int // by type of document
	relayed                       int   // documents written whole to targets
	accepted, invalid             int   // orders read again and taken up, or not
	untried, called, expired      int   // of what the start found untried: all, those called since, those out of time then
}

// final counts a document's final answer, once, where it is decided: the one source of the operators' figures and of
// the metrics.
func (o *owner) final(p *paper, outcome seam.Outcome) {
	switch outcome {
	case seam.Delivered:
		o.figures.count(&o.figures.fulfilled, p.typ)
	case seam.Returned:
		o.figures.count(&o.figures.throttled, p.typ)
	default:
		o.figures.count(&o.figures.faulted, p.typ)
	}
	o.meter.Final(outcome, time.Since(p.came))
}

func (f *figures) count(by *[]int, typ int) {
	if typ >= len(*by) {
		*by = append(*by, make([]int, typ+1-len(*by))...)
	}
	(*by)[typ]++
}

// vars are the figures, with gauges read from the owner's own state.
func (o *owner) vars() string {
	listed, avoided := 0, 0
	for _, t := range o.targets {
		if t.line.Standing == choice.Gone {
			continue
		}
		if listed++; t.line.Standing == choice.Ready && (o.rota.Out(t.uid) || t.module.Sick()) {
			avoided++
		}
	}
	open := 0
	for _, p := range o.docs {
		if !p.doc.Over() {
			open++
		}
	}
	return o.figures.write(o.order.Names.Types, open, listed, avoided)
}

// write writes the figures in statsd's form, one a line: counters, then gauges.
func (f *figures) write(types []string, open, listed, avoided int) string {
	var b strings.Builder
	for _, c := range []struct {
		name string
		by   []int
	}{{"fulfilled", f.fulfilled}, {"throttled", f.throttled}, {"faulted", f.faulted}} {
		for typ, name := range types {
			n := 0
			if typ < len(c.by) {
				n = c.by[typ]
			}
			fmt.Fprintf(&b, "proxy.%s.%s:%d|c\n", c.name, name, n)
		}
	}
	for _, c := range []struct {
		name string
		n    int
	}{{"recovered_untried", f.untried}, {"recovered_called", f.called}, {"recovered_expired", f.expired}} {
		fmt.Fprintf(&b, "proxy.%s:%d|c\n", c.name, c.n)
	}
	fmt.Fprintf(&b, "proxy.relayed:%d|c\nproxy.cfg_accepted:%d|c\nproxy.cfg_invalid:%d|c\n", f.relayed, f.accepted, f.invalid)
	fmt.Fprintf(&b, "proxy.open_requests:%d|g\nproxy.registry_entries:%d|g\nproxy.out_of_rotation:%d|g\n", open, listed, avoided)
	return b.String()
}

// waitsFile keeps, at the end of a process, until when each target's route is shut: a wait that it told, or a pause
// after refusals. The process that follows on the folder heeds them. Guards against an upgrade or a restart sending
// to a destination that told the old process to wait; the two are one forwarder to it.
const (
	waitsFile = "waits"
	mostWaits = 1 << 14 // lines read; one a target
)

// keepWaits writes the waits that go beyond now, in seconds of the wall clock, one target a line.
func (o *owner) keepWaits(now float64) {
	var b strings.Builder
	for _, t := range o.targets {
		if until := t.module.Closed(); until > now {
			fmt.Fprintf(&b, "%s %.3f\n", t.uid, until)
		}
	}
	if err := writeWhole(o.order.Folder, waitsFile, b.String()); err != nil {
		o.log.Error().Err(err).Msg("waits not kept")
	}
}

// readWaits reads the waits that an earlier process kept and that go beyond now.
func readWaits(dir string, now float64) map[string]float64 {
	text, err := os.ReadFile(filepath.Join(dir, waitsFile))
	if err != nil {
		return nil
	}
	waits := map[string]float64{}
	for i, line := range strings.Split(string(text), "\n") {
		uid, at, _ := strings.Cut(line, " ")
		until, err := strconv.ParseFloat(at, 64)
		if i < mostWaits && err == nil && until > now {
			waits[uid] = until
		}
	}
	return waits
}

// heedWaits tells the module the waits of an earlier process for the targets that are listed by now.
func (o *owner) heedWaits() {
	now := o.clock(time.Now())
	for uid, until := range o.waits {
		if until < now {
			delete(o.waits, uid)
		} else if t := o.byUID[uid]; t != nil {
			o.f.Close(t.module, until)
			delete(o.waits, uid)
		}
	}
}
