package sim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"spanflow/internal/emulator"
	"spanflow/lab/audit"
)

// notice takes a final answer that a forwarder tells.
func (d *realRun) notice(n emulator.Notice) {
	id, err := strconv.ParseUint(n.ID, 16, 64)
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.effects[id]
	if err != nil || e == nil {
		return
	}
	if d.deliveredToForwarder[id] { // the forwarder may not have read the answer any more
		return
	}
	what := map[string]string{"failed": "abandoned", "returned": "returned"}[n.State]
	d.result.FinalAnswers[what]++
	d.log.FinalAnswer(id, what)
	if what == "returned" {
		d.resubmit(e, float64(n.AfterMs)/1000)
	}
}

func (d *realRun) resubmit(e *effect, comeBack float64) {
	expiry, wait, comes := e.resubmission(d.scenario, d.Now(), comeBack, d.random)
	if !comes {
		return
	}
	n := forwarderFor(e, d.random, len(d.nodes))
	d.After(wait, func() { d.submit(e, expiry, n) })
}

// startClients hand in what is planned, each effect at its moment.
func (d *realRun) startClients(seed uint64) {
	effects := planArrivals(d.scenario, rand.New(rand.NewPCG(seed, 1)))
	d.wg.Go(func() {
		for _, e := range effects {
			at := time.Duration((e.submittedAt - startTime) * float64(time.Second))
			select {
			case <-time.After(at - time.Since(d.epoch)):
			case <-d.ctx.Done():
				return
			}
			d.mu.Lock()
			d.result.offered(e)
			d.submit(e, e.expiry, forwarderFor(e, d.random, len(d.nodes)))
			d.mu.Unlock()
		}
	})
}

// submit hands an effect in; the lock is held. The messages of a key are handed in one after another, each when the one
// before it has its answer at the door.
func (d *realRun) submit(e *effect, expiry float64, n int) {
	if d.ctx.Err() != nil {
		return
	}
	var before, done chan struct{}
	if e.key != 0 {
		done = make(chan struct{})
		before, d.keyTails[e.key] = d.keyTails[e.key], done
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
		d.log.MessageSubmitted(&audit.Message{ID: id, FirstID: e.id, IdempotencyKey: e.idempotencyKey, Key: e.key, Type: e.typeIndex, AtMostOnce: e.typ.Idempotency == "binding", Keyed: e.idempotencyKey != 0,
			Destination: e.destination, Forwarder: n, SubmittedAt: d.Now(), Expiry: expiry})
		d.effects[id], d.submittedTo[id] = e, n
		d.mu.Unlock()
		left := expiry - d.Now()
		answer, wait := "none", 0.0
		if left > 0 {
			answer, wait = d.nodes[n].submit(e, id, left)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		switch answer {
		case "ok":
			d.log.MessageAccepted(id)
			d.result.Accepted++
		case "busy":
			d.result.Refused++
			d.resubmit(e, wait)
		case "none": // to another a little later; whatever the first does counts for nothing
			if d.Now()+failoverDelay < expiry && !e.done && e.typ.Idempotency != "binding" {
				d.After(failoverDelay, func() { d.submit(e, expiry, nextForwarder(e, n, len(d.nodes))) })
			}
		}
	})
}

const clientTimeout = 400 * time.Millisecond

// submit hands a message in on a connection of its forwarder's.
func (p *process) submit(e *effect, id uint64, left float64) (answer string, wait float64) {
	names := fmt.Sprintf("c=%s,d=%d,dest=%d", e.typ.Name, int(left*1000), e.destination)
	if e.idempotencyKey != 0 {
		names += fmt.Sprintf(",k=%016x", e.idempotencyKey)
	}
	if len(p.run.scenario.Tenants) > 0 {
		names += ",t=" + p.run.scenario.Tenants[e.tenant].Name
	}
	command := emulator.Command("MSG.PUT", fmt.Sprintf("%016x", e.key), fmt.Sprintf("%016x", id), names, strings.Repeat("x", 300))
	for range 2 {
		var c net.Conn
		kept := true
		select {
		case c = <-p.conns:
		default:
			kept = false
			var err error
			if c, err = net.DialTimeout("tcp", p.listen, clientTimeout); err != nil {
				return "none", 0
			}
		}
		c.SetDeadline(time.Now().Add(clientTimeout))
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
