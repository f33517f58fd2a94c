package sim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"spanflow/internal/emulator"
	"spanflow/lab/scenario"
)

// noticeAnswers maps the state in a notice to the final answer.
var noticeAnswers = map[string]string{"failed": answerFailed, "returned": answerRejected}

// handleNotice records the final answer in a forwarder's notice.
func (run *realRun) handleNotice(n emulator.Notice) {
	id, err := strconv.ParseUint(n.ID, 16, 64)
	run.mu.Lock()
	defer run.mu.Unlock()
	e := run.effects[id]
	if err != nil || e == nil {
		return
	}
	if run.deliveredToForwarder[id] { // the forwarder may have stopped reading before the answer arrived
		return
	}
	answer := noticeAnswers[n.State]
	run.result.FinalAnswers[answer]++
	run.log.FinalAnswer(id, answer)
	if answer == answerRejected {
		run.resubmit(e, float64(n.AfterMs)/1000)
	}
}

// resubmit submits an effect again after it was refused or rejected, if the scenario and its expiry allow it. The lock
// must be held.
func (run *realRun) resubmit(e *effect, retryAfter float64) {
	expiry, wait, resubmit := e.resubmission(run.scenario, run.Now(), retryAfter, run.random)
	if !resubmit {
		return
	}
	n := forwarderFor(e, run.random, len(run.processes))
	run.After(wait, func() { run.submit(e, expiry, n) })
}

// startClients starts a goroutine that submits the planned effects at their times until ctx is cancelled.
func (run *realRun) startClients(seed uint64) {
	effects := planArrivals(run.scenario, newRandom(seed, loadStream))
	run.wg.Go(func() {
		for _, e := range effects {
			at := time.Duration((e.submittedAt - startTime) * float64(time.Second))
			select {
			case <-time.After(at - time.Since(run.epoch)):
			case <-run.ctx.Done():
				return
			}
			run.mu.Lock()
			run.result.recordOffer(e)
			run.submit(e, e.expiry, forwarderFor(e, run.random, len(run.processes)))
			run.mu.Unlock()
		}
	})
}

// submit starts a goroutine that submits an effect to forwarder n. The lock must be held. The messages of an ordering
// key are submitted one after another, each after the answer to the previous submission.
func (run *realRun) submit(e *effect, expiry float64, n int) {
	if run.ctx.Err() != nil {
		return
	}
	var previous, done chan struct{}
	if e.key != 0 {
		done = make(chan struct{})
		previous, run.keyTails[e.key] = run.keyTails[e.key], done
	}
	run.wg.Go(func() {
		if previous != nil {
			<-previous
		}
		if done != nil {
			defer close(done)
		}
		id := run.newSubmission(e, expiry, n)
		left := expiry - run.Now()
		answer, retryAfter := clientNoAnswer, 0.0
		if left > 0 {
			answer, retryAfter = run.processes[n].submit(e, id, left)
		}
		run.mu.Lock()
		defer run.mu.Unlock()
		switch answer {
		case clientOK:
			run.log.MessageAccepted(id)
			run.result.Accepted++
		case clientBusy:
			run.result.Refused++
			run.resubmit(e, retryAfter)
		case clientNoAnswer: // try the next forwarder after a delay; an answer of the first is ignored
			if run.Now()+failoverDelay < expiry && !e.done && e.messageType.Idempotency != scenario.AtMostOnce {
				run.After(failoverDelay, func() { run.submit(e, expiry, nextForwarder(e, n, len(run.processes))) })
			}
		}
	})
}

// newSubmission records a submission of an effect and returns its id.
func (run *realRun) newSubmission(e *effect, expiry float64, n int) uint64 {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.lastID++
	id := run.lastID
	if e.id == 0 {
		e.id = id
	}
	run.log.MessageSubmitted(auditMessage(e, id, n, run.Now(), expiry))
	run.effects[id], run.submittedTo[id] = e, n
	return id
}

const (
	clientTimeout = 400 * time.Millisecond // for establishing a connection, and for an answer
	bodyBytes     = 300
)

// The answers of a forwarder to a submission. Any other answer is passed on as its text.
const (
	clientOK       = "ok"
	clientBusy     = "busy"
	clientNoAnswer = "none"
)

// submit submits a message to the forwarder on an idle or a new connection. If an idle connection turns out to be
// closed, submit tries one more connection. retryAfter is in seconds.
func (p *process) submit(e *effect, id uint64, left float64) (answer string, retryAfter float64) {
	command := p.submitCommand(e, id, left)
	for range 2 {
		conn, reused, err := p.connection()
		if err != nil {
			return clientNoAnswer, 0
		}
		line, err := exchange(conn, command)
		if err != nil {
			conn.Close()
			var netError net.Error
			timedOut := errors.As(err, &netError) && netError.Timeout()
			if reused && !timedOut {
				continue
			}
			return clientNoAnswer, 0
		}
		p.release(conn)
		return parseAnswer(line)
	}
	return clientNoAnswer, 0
}

// submitCommand returns the command that submits a message. left is the time until its expiry in seconds.
func (p *process) submitCommand(e *effect, id uint64, left float64) string {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", e.messageType.Name, int(left*1000), e.destination)
	if e.idempotencyKey != 0 {
		fields += fmt.Sprintf(",k=%016x", e.idempotencyKey)
	}
	if tenants := p.run.scenario.Tenants; len(tenants) > 0 {
		fields += ",t=" + tenants[e.tenant].Name
	}
	return emulator.Command("MSG.PUT", fmt.Sprintf("%016x", e.key), fmt.Sprintf("%016x", id), fields, strings.Repeat("x", bodyBytes))
}

// connection returns an idle connection (reused) or establishes a new one.
func (p *process) connection() (conn net.Conn, reused bool, err error) {
	select {
	case conn = <-p.conns:
		return conn, true, nil
	default:
		conn, err = net.DialTimeout("tcp", p.listen, clientTimeout)
		return conn, false, err
	}
}

// release keeps a connection for a later request, or closes it if there are maxIdleConns idle ones.
func (p *process) release(conn net.Conn) {
	select {
	case p.conns <- conn:
	default:
		conn.Close()
	}
}

// exchange sends a command and returns the first line of the answer.
func exchange(conn net.Conn, command string) (string, error) {
	conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(conn, command); err != nil {
		return "", err
	}
	return bufio.NewReaderSize(conn, 128).ReadString('\n')
}

// parseAnswer parses a forwarder's answer to a submission. retryAfter is in seconds.
func parseAnswer(line string) (answer string, retryAfter float64) {
	line = strings.TrimSpace(line)
	if strings.HasPrefix(line, "+") {
		return clientOK, 0
	}
	if ms, busy := strings.CutPrefix(line, "-BUSY"); busy {
		n, _ := strconv.Atoi(strings.TrimSpace(ms))
		return clientBusy, float64(n) / 1000
	}
	return line, 0
}
