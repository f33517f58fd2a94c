package sim

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"spanflow/internal/standin"
	"spanflow/lab/audit"
	"spanflow/lab/partner"
	"spanflow/lab/scene"
	"spanflow/seam"
)

// Real plays a scene on real sockets: built forwarders as processes, partners, discovery and clients on loopback. The
// partners are the same model, on the wall clock.
type Real struct {
	Program string // of one forwarder
	Folder  string // for ledgers, configurations and logs
	Memory  int    // MB that each forwarder is told
	Sockets int
}

// realDay is a day on the wall clock. Its lock is held by whatever touches the model or the log.
type realDay struct {
	Real
	mu      sync.Mutex
	epoch   time.Time
	scene   *scene.Scene
	dests   []*partner.Destination
	group   []int
	log     *audit.Log
	result  *Result
	effects map[uint64]*effect
	tails   map[uint64]chan struct{} // of each key, closed when its latest document has its answer at the door
	heard   map[uint64]bool          // delivered, as the partner wrote
	from    map[uint64]int           // the forwarder that a document was handed in at
	lastID  uint64
	dice    *rand.Rand
	disc    *standin.Discovery
	doors   map[*partner.Target]*door
	nodes   []*process
	wg      sync.WaitGroup
	ctx     context.Context
}

// Now and After make a realDay a partner.Clock.
func (d *realDay) Now() float64 { return begins + time.Since(d.epoch).Seconds() }

func (d *realDay) After(in float64, do func()) {
	time.AfterFunc(time.Duration(in*float64(time.Second)), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		do()
	})
}

// process is one forwarder.
type process struct {
	day    *realDay
	name   string
	listen string
	config string
	folder string
	log    *os.File
	cmd    *exec.Cmd
	ended  chan struct{}
	conns  chan net.Conn
}

// Play plays a scene with a seed; it takes as long as the scene.
func (r Real) Play(ctx context.Context, s *scene.Scene, seed uint64) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &realDay{Real: r, epoch: time.Now(), scene: s, result: newResult(s, seed), effects: map[uint64]*effect{}, from: map[uint64]int{}, heard: map[uint64]bool{}, tails: map[uint64]chan struct{}{},
		dice: rand.New(rand.NewPCG(seed, 2)), doors: map[*partner.Target]*door{}, ctx: ctx}
	d.log = audit.New(d, func(dest int) bool { return s.Partners[d.group[dest]].Apart }, float64(s.Dispatch.KeyRest))
	d.log.Slack = audit.Slack{Answer: 0.35, Wait: 0.15, Drain: 0.3}
	partners := rand.New(rand.NewPCG(seed, 3))
	var list []standin.Entry
	for g := range s.Partners {
		p := &s.Partners[g]
		for range p.Count {
			dest := partner.New(len(d.dests), s.Model(p), p.Targets, s.Zones, d, partners, &realRecorder{d.log, d})
			d.dests, d.group = append(d.dests, dest), append(d.group, g)
			for _, t := range dest.Targets {
				if err := d.open(t); err != nil {
					return nil, err
				}
				list = append(list, d.entry(t))
			}
		}
	}
	defer func() {
		for _, o := range d.doors {
			o.close()
		}
	}()
	var err error
	if d.disc, err = standin.NewDiscovery("", list...); err != nil {
		return nil, err
	}
	d.disc.Hear = d.notice
	go func() { // those heard are taken by Hear already
		for {
			select {
			case <-d.disc.Notices:
			case <-ctx.Done():
				return
			}
		}
	}()
	for n := range s.Dispatch.Forwarders {
		p, err := d.process(n)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return nil, err
		}
		defer p.stop()
		d.nodes = append(d.nodes, p)
	}
	for _, p := range d.nodes {
		if err := p.ready(10 * time.Second); err != nil {
			return nil, err
		}
	}
	d.mu.Lock()
	d.epoch = time.Now()
	d.befall()
	d.mu.Unlock()
	d.clients(seed)
	end := time.NewTimer(time.Duration(float64(s.Length+s.Drain) * float64(time.Second)))
	defer end.Stop()
	select {
	case <-end.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	cancel()
	d.wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.sum(d.log)
	return d.result, nil
}

type realRecorder struct {
	*audit.Log
	day *realDay
}

func (r *realRecorder) Ran(run partner.Run) {
	r.Log.Ran(run)
	if e := r.day.effects[run.Doc.ID]; e != nil && run.Effect && !e.done {
		e.done = true
		r.day.result.delivered(e, run.Ended)
	}
}

func (d *realDay) entry(t *partner.Target) standin.Entry {
	e := standin.Entry{UID: fmt.Sprintf("d%d-%d", t.Dest.Number, t.Number), Endpoint: d.doors[t].addr, Zone: fmt.Sprint("z", t.Zone),
		Kind: fmt.Sprint("k", d.group[t.Dest.Number]), Dest: t.Dest.Number, State: "active"}
	switch {
	case t.Trouble.Left:
		e.State = "left"
	case t.Trouble.Draining:
		e.State = "leaving"
	}
	return e
}

// door is a target's listener. While the target refuses connections nobody listens there.
type door struct {
	day    *realDay
	target *partner.Target
	addr   string
	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]struct{}
	over   bool
}

const lookAtDoors = 10 * time.Millisecond

func (d *realDay) open(t *partner.Target) error {
	o := &door{day: d, target: t, conns: map[net.Conn]struct{}{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	o.addr = ln.Addr().String()
	d.doors[t] = o
	o.serve(ln)
	go func() {
		tick := time.NewTicker(lookAtDoors)
		defer tick.Stop()
		for range tick.C {
			d.mu.Lock()
			refused, _ := t.Up()
			d.mu.Unlock()
			if !o.look(refused) {
				return
			}
		}
	}()
	return nil
}

func (o *door) serve(ln net.Listener) {
	o.ln = ln
	server := &http.Server{Handler: o, ConnState: func(c net.Conn, s http.ConnState) {
		o.mu.Lock()
		defer o.mu.Unlock()
		switch s {
		case http.StateNew:
			o.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(o.conns, c)
		}
	}}
	go server.Serve(ln)
}

// look closes or opens the door; false once it is over.
func (o *door) look(refused bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.over:
		return false
	case refused && o.ln != nil:
		o.ln.Close()
		o.ln = nil
		for c := range o.conns {
			c.Close()
		}
	case !refused && o.ln == nil:
		if ln, err := net.Listen("tcp", o.addr); err == nil {
			o.serve(ln)
		}
	}
	return true
}

func (o *door) close() {
	o.look(true)
	o.mu.Lock()
	o.over = true
	o.mu.Unlock()
}

// ServeHTTP takes a call to the model and writes what it answers.
func (o *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 16<<20))
	if err != nil {
		return
	}
	d := o.day
	ids, marks := []string{r.Header.Get("X-Txn")}, []string{r.Header.Get("Idempotency-Key")}
	if r.URL.Path == "/hook/batch" {
		var many []struct{ ID, Key, Body string }
		if json.Unmarshal(body, &many) != nil || len(many) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ids, marks = nil, nil
		for _, m := range many {
			if _, err := base64.StdEncoding.DecodeString(m.Body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			ids, marks = append(ids, m.ID), append(marks, m.Key)
		}
	}
	answer := make(chan partner.Answer, 1)
	call := &partner.Call{Answer: func(a partner.Answer) { answer <- a }}
	d.mu.Lock()
	for i, id := range ids {
		n, _ := strconv.ParseUint(id, 16, 64)
		mark, _ := strconv.ParseUint(marks[i], 16, 64)
		doc := partner.Doc{ID: n, Mark: mark}
		if e := d.effects[n]; e != nil {
			doc.Tenant, doc.Memory, doc.Zoned = e.tenant, float64(e.typ.Memory), e.typ.Group == "zone"
			call.From = d.from[n]
		}
		call.Docs = append(call.Docs, doc)
	}
	o.target.Take(call)
	d.mu.Unlock()
	var a partner.Answer
	select {
	case a = <-answer:
	case <-r.Context().Done():
		d.mu.Lock()
		call.Cancel()
		o.target.Learned(call.From)
		d.closed(call, false)
		d.mu.Unlock()
		return
	}
	d.mu.Lock()
	d.closed(call, told(a.End))
	d.result.Ends[a.End.String()] += len(call.Docs)
	if a.End != seam.Took {
		o.target.Learned(call.From)
	}
	if a.End == seam.Took {
		for _, doc := range call.Docs {
			if d.effects[doc.ID] != nil && !d.log.Answered(doc.ID) { // a notice may have crossed it, which does no harm
				d.log.Final(doc.ID, "delivered")
				d.heard[doc.ID] = true
			}
		}
	}
	d.mu.Unlock()
	if a.Most != 0 {
		w.Header().Set("X-Pressure", fmt.Sprintf("x0=%g,x1=%g", max(0, a.Left), max(0, a.Most)))
	}
	switch a.End {
	case seam.Took:
		if len(ids) > 1 {
			var b strings.Builder
			for i, id := range ids {
				fmt.Fprintf(&b, `%s{"id":%q,"state":"ok"}`, map[bool]string{true: "[", false: ","}[i == 0], id)
			}
			io.WriteString(w, b.String()+"]")
			return
		}
		w.WriteHeader(http.StatusOK)
	case seam.Waiting:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.Wait, 'f', 3, 64))
		w.WriteHeader(http.StatusTooManyRequests)
	case seam.TurnedAway:
		w.WriteHeader(http.StatusServiceUnavailable)
	case seam.Failed:
		w.WriteHeader(http.StatusInternalServerError)
	case seam.Garbled:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(c, "HTP/1.1 2oo what\r\n\r\n")
			c.Close()
		}
	default:
		panic(http.ErrAbortHandler)
	}
}

func (d *realDay) closed(c *partner.Call, known bool) {
	for _, doc := range c.Docs {
		d.log.Closed(doc.ID, known)
	}
}

// notice takes a final answer that a forwarder tells.
func (d *realDay) notice(n standin.Notice) {
	id, err := strconv.ParseUint(n.ID, 16, 64)
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.effects[id]
	if err != nil || e == nil {
		return
	}
	if d.heard[id] { // the forwarder may not have read the answer any more
		return
	}
	what := map[string]string{"failed": "abandoned", "returned": "returned"}[n.State]
	d.result.Finals[what]++
	d.log.Final(id, what)
	if what == "returned" {
		d.again(e, float64(n.AfterMs)/1000)
	}
}

func (d *realDay) again(e *effect, comeBack float64) {
	expiry, wait, comes := e.comesAgain(d.scene, d.Now(), comeBack, d.dice)
	if !comes {
		return
	}
	n := goes(e, d.dice, len(d.nodes))
	d.After(wait, func() { d.handIn(e, expiry, n) })
}

// clients hand in what is planned, each effect at its moment.
func (d *realDay) clients(seed uint64) {
	effects := plan(d.scene, rand.New(rand.NewPCG(seed, 1)))
	d.wg.Go(func() {
		for _, e := range effects {
			at := time.Duration((e.handed - begins) * float64(time.Second))
			select {
			case <-time.After(at - time.Since(d.epoch)):
			case <-d.ctx.Done():
				return
			}
			d.mu.Lock()
			d.result.offered(e)
			d.handIn(e, e.expiry, goes(e, d.dice, len(d.nodes)))
			d.mu.Unlock()
		}
	})
}

// handIn hands an effect in; the lock is held. The documents of a key are handed in one after another, each when the one
// before it has its answer at the door.
func (d *realDay) handIn(e *effect, expiry float64, n int) {
	if d.ctx.Err() != nil {
		return
	}
	var before, done chan struct{}
	if e.key != 0 {
		done = make(chan struct{})
		before, d.tails[e.key] = d.tails[e.key], done
	}
	d.wg.Go(func() {
		if before != nil {
			<-before
		}
		if done != nil {
			defer close(done)
		}
		d.mu.Lock()
		d.lastID++
		id := d.lastID
		if e.id == 0 {
			e.id = id
		}
		d.log.Handed(&audit.Doc{ID: id, Same: e.id, Mark: e.mark, Key: e.key, Type: e.typeNo, Binding: e.typ.Repeat == "binding", Numbered: e.mark != 0,
			Dest: e.dest, From: n, Handed: d.Now(), Expiry: expiry})
		d.effects[id], d.from[id] = e, n
		d.mu.Unlock()
		left := expiry - d.Now()
		answer, wait := "none", 0.0
		if left > 0 {
			answer, wait = d.nodes[n].put(e, id, left)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		switch answer {
		case "ok":
			d.log.Taken(id)
			d.result.Taken++
		case "busy":
			d.result.Refused++
			d.again(e, wait)
		case "none": // to another a little later; whatever the first does counts for nothing
			if d.Now()+asksAgain < expiry && !e.done && e.typ.Repeat != "binding" {
				d.After(asksAgain, func() { d.handIn(e, expiry, next(e, n, len(d.nodes))) })
			}
		}
	})
}

const heard = 400 * time.Millisecond

// put hands a document in on a connection of its forwarder's.
func (p *process) put(e *effect, id uint64, left float64) (answer string, wait float64) {
	names := fmt.Sprintf("c=%s,d=%d,dest=%d", e.typ.Name, int(left*1000), e.dest)
	if e.mark != 0 {
		names += fmt.Sprintf(",k=%016x", e.mark)
	}
	if len(p.day.scene.Tenants) > 0 {
		names += ",t=" + p.day.scene.Tenants[e.tenant].Name
	}
	command := standin.Command("MSG.PUT", fmt.Sprintf("%016x", e.key), fmt.Sprintf("%016x", id), names, strings.Repeat("x", 300))
	for range 2 {
		var c net.Conn
		kept := true
		select {
		case c = <-p.conns:
		default:
			kept = false
			var err error
			if c, err = net.DialTimeout("tcp", p.listen, heard); err != nil {
				return "none", 0
			}
		}
		c.SetDeadline(time.Now().Add(heard))
		_, err := io.WriteString(c, command)
		line := ""
		if err == nil {
			line, err = bufio.NewReaderSize(c, 128).ReadString('\n')
		}
		if err != nil {
			c.Close()
			var late net.Error
			if kept && !(errors.As(err, &late) && late.Timeout()) {
				continue // closed between two requests: once more on a new one
			}
			return "none", 0
		}
		select {
		case p.conns <- c:
		default:
			c.Close()
		}
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "+") {
			return "ok", 0
		}
		if ms, busy := strings.CutPrefix(line, "-BUSY"); busy {
			n, _ := strconv.Atoi(strings.TrimSpace(ms))
			return "busy", float64(n) / 1000
		}
		return line, 0
	}
	return "none", 0
}

// process makes a forwarder's configuration.
func (d *realDay) process(n int) (*process, error) {
	p := &process{day: d, name: fmt.Sprint("n", n), conns: make(chan net.Conn, 16)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listen = ln.Addr().String()
	ln.Close()
	p.folder = filepath.Join(d.Folder, p.name)
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return nil, err
	}
	p.config = filepath.Join(d.Folder, p.name+".json")
	text, err := json.Marshal(map[string]any{"name": p.name, "listen": p.listen, "discovery": d.disc.Addr, "seed": fmt.Sprintf("%016x", d.dice.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": d.Memory, "sockets": d.Sockets, "disk_mb": 8}, "known": json.RawMessage(d.disc.Known()),
		"settings": settings(d.scene, n)})
	if err == nil {
		err = os.WriteFile(p.config, text, 0o600)
	}
	if err == nil {
		p.log, err = os.Create(filepath.Join(d.Folder, p.name+".log"))
	}
	return p, err
}

// settings are a scene's terms in the platform's form.
func settings(s *scene.Scene, n int) map[string]any {
	ms := func(seconds float64) float64 { return seconds * 1000 }
	var classes, tenants []map[string]any
	words := map[string]string{"replayable": "retryable", "numbered": "dedup", "binding": "fragile"}
	for _, t := range s.Types {
		classes = append(classes, map[string]any{"Name": t.Name, "Idempotency": words[t.Repeat], "Group": t.Group, "Sequential": t.InOrder,
			"Slo": ms(float64(t.Agreed)), "HardLimit": ms(float64(t.Life)), "MemorySpan": ms(float64(t.Memory))})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "QuotaRps": t.PerSecond})
	}
	var kinds, zones []string
	var batch []int
	var apart []bool
	for i, p := range s.Partners {
		kinds, batch, apart = append(kinds, fmt.Sprint("k", i)), append(batch, p.Batch), append(apart, p.Apart)
	}
	for z := range s.Zones {
		zones = append(zones, fmt.Sprint("z", z))
	}
	d := &s.Dispatch
	return map[string]any{"Classes": classes, "Tenants": tenants, "Kinds": kinds, "Azs": zones, "MyZone": n % s.Zones, "NInstances": d.Forwarders,
		"Extra":      map[string]any{"CallsOut": d.Slots, "KindBatch": batch, "SeparateRoutes": apart},
		"Guarantees": map[string]any{"Cold": ms(float64(d.ColdFor)), "ColdFrom": d.ColdFrom, "FallMultiple": d.FallMultiple, "KeyRest": ms(float64(d.KeyRest))},
		"Limits": map[string]any{"AttemptsCap": d.Transmissions, "MaxOpen": d.Room, "RetryAfter": d.ComeBack > 0, "MaxRetryAfter": ms(float64(d.ComeBack)),
			"ConnIdle": ms(float64(d.IdleLife)), "ConnectTimeout": ms(float64(d.Connect))},
		"Report": map[string]any{"Fields": []string{"x0", "x1"}}, "Discovery": "ask", "WeightKind": map[string]string{"exact": "nominal", "rough": "rough"}[d.ListedRates]}
}

func (p *process) start() error {
	cmd := exec.Command(p.day.Program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "PROXY_STATE="+p.folder)
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
	return nil
}

// ready waits until the forwarder answers a sign of life.
func (p *process) ready(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := standin.NewClient(p.listen); err == nil {
			answer, err := c.Say(standin.Command("PING"))
			c.Close()
			if err == nil && answer == "+PONG" {
				return nil
			}
		}
	}
	return fmt.Errorf("forwarder %s does not answer; its log is %s", p.name, p.log.Name())
}

func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	<-p.ended
	p.log.Close()
}

// befall puts the scene's troubles on the wall clock; the lock is held. What the network alone could do (idle
// connections that die unseen, addresses that answer nothing) is beyond loopback without privileges: silence is a
// partner that takes calls and says nothing.
func (d *realDay) befall() {
	sim := &day{scene: d.scene, dests: d.dests, group: d.group}
	for i := range d.scene.Troubles {
		t := &d.scene.Troubles[i]
		at, lasts := float64(t.At), float64(t.For)
		n := min(len(d.nodes), int(t.Share*float64(len(d.nodes))+0.999999))
		switch t.Kind {
		case "reap", "list":
		case "stall":
			d.After(at, func() {
				for i, p := range d.nodes[:n] {
					d.log.Stood(i, d.Now()+lasts)
					p.cmd.Process.Signal(syscall.SIGSTOP)
					d.After(lasts, func() { p.cmd.Process.Signal(syscall.SIGCONT) })
				}
			})
		case "restart":
			for i, p := range d.nodes[:n] {
				d.After(at+lasts*float64(i)/float64(n), func() {
					p.cmd.Process.Kill()
					d.log.Restarted(i, d.Now()+downFor+rises)
					d.After(downFor, func() { p.start() })
				})
			}
		case "drain", "move":
			d.After(at, func() {
				hit := sim.hit(t)
				if t.Kind == "drain" {
					d.mark(hit, true, false)
					d.After(drainTime, func() { d.leave(hit, lasts) })
					return
				}
				d.leave(hit, lasts)
			})
		default:
			d.After(at, func() {
				hit := sim.hit(t)
				for _, target := range hit {
					begin(target, t, d.scene)
				}
				d.After(lasts, func() {
					for _, target := range hit {
						finish(target, t)
					}
				})
			})
		}
	}
}

func (d *realDay) mark(targets []*partner.Target, draining, left bool) {
	for _, t := range targets {
		t.Trouble.Draining, t.Trouble.Left = draining, left
	}
	d.After(float64(d.scene.ListLag), func() {
		for _, t := range targets {
			d.log.Leaving(t.Dest.Number, t.Number)
			d.disc.Set(d.entry(t))
		}
	})
}

func (d *realDay) leave(hit []*partner.Target, comes float64) {
	d.mark(hit, false, true)
	d.After(comes, func() {
		for _, t := range hit {
			fresh := t.Dest.Add(t.Zone)
			if d.open(fresh) == nil {
				d.After(float64(d.scene.ListLag), func() { d.disc.Set(d.entry(fresh)) })
			}
		}
	})
}
