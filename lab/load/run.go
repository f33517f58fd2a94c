package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Message is a message to be submitted.
type Message struct {
	At             float64 `json:"at"` // seconds from the beginning
	Destination    uint64  `json:"dest"`
	Type           string  `json:"type"`
	Tenant         string  `json:"tenant,omitempty"`
	Key            string  `json:"key,omitempty"`    // ordering key, up to 16 hexadecimal digits
	IdempotencyKey string  `json:"number,omitempty"` // up to 16 hexadecimal digits
	TimeToLive     float64 `json:"life,omitempty"`   // seconds; 0: the run's
	Bytes          int     `json:"bytes,omitempty"`  // of its body; 0: the run's
}

// Source tells what arrives, in order of time.
type Source interface {
	// Next is the next message, false after the last.
	Next() (Message, bool)
}

// Run is a load on a forwarder's RESP frontend. Arrivals wait for nobody: where all connections are busy a message
// waits here, and its latency counts from the intended moment all the same.
type Run struct {
	Addr        string
	Connections int                      // at most
	Timeout     time.Duration            // an answer that takes longer, from the sending on, counts as none
	TimeToLive  float64                  // seconds, of messages that have none of their own
	Bytes       int                      // of a body, of messages that have no size of their own
	Prefix      string                   // of ids
	Progress    func(sent, open int)     // called now and then; may be nil
	Dial        func() (net.Conn, error) // makes a connection; nil: TCP to Addr
}

// Report is what a run saw.
type Report struct {
	Sent        int            `json:"sent"`
	Answers     map[string]int `json:"answers"` // ok, busy, error, none, expired
	Seconds     float64        `json:"seconds"`
	MaxLateness float64        `json:"most_late_s"` // by which the tool was late in sending, with a connection at hand
	Intended    Latencies      `json:"intended"`    // from the intended moment to the answer
	Naive       Latencies      `json:"naive"`       // from the sending, as a closed loop would count: hides a stall
	OpenAtEnd   int            `json:"without_answer"`
}

// Latencies are percentiles in seconds.
type Latencies struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

func latenciesOf(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Latencies{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e6, h.Mean() / 1e6}
}

const (
	maxLatencyMicros  = 3_600_000_000 // in a histogram
	latencyDigits     = 3             // significant, in a histogram
	maxQueuedMessages = 1 << 20       // that wait for a connection
	maxBodyBytes      = 64 << 10
	progressEvery     = 100 // messages
)

// The answers that a run counts.
const (
	answerOK      = "ok"
	answerBusy    = "busy"
	answerError   = "error"
	answerNone    = "none"
	answerExpired = "expired" // it never left the tool: no connection was free in time
)

type job struct {
	message  Message
	id       string
	intended time.Time
}

// runner is a run that goes on.
type runner struct {
	Run
	body string
	jobs chan job
	wg   sync.WaitGroup

	mu              sync.Mutex // guards what follows
	report          *Report
	intended, naive *hdrhistogram.Histogram
	idle            int // workers without a job
	workers         int
	open            int // messages without an answer
}

// Do plays a source and returns once each message has its answer or is given up. The report is also returned beside an
// error of ctx.
func (r Run) Do(ctx context.Context, src Source) (*Report, error) {
	if r.Connections < 1 || r.Timeout <= 0 || r.TimeToLive <= 0 {
		return nil, errors.New("connections, timeout and life have to be over 0")
	}
	if r.Dial == nil {
		r.Dial = func() (net.Conn, error) { return net.DialTimeout("tcp", r.Addr, r.Timeout) }
	}
	g := &runner{
		Run:      r,
		body:     strings.Repeat("x", maxBodyBytes),
		jobs:     make(chan job, maxQueuedMessages),
		report:   &Report{Answers: map[string]int{}},
		intended: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		naive:    hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
	began := time.Now()
	g.play(ctx, src, began)
	close(g.jobs)
	g.wg.Wait()
	g.report.Seconds = time.Since(began).Seconds()
	g.report.OpenAtEnd = g.open
	g.report.Intended, g.report.Naive = latenciesOf(g.intended), latenciesOf(g.naive)
	return g.report, ctx.Err()
}

// play submits each message of a source at its moment, until ctx ends.
func (g *runner) play(ctx context.Context, src Source, began time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		message, more := src.Next()
		if !more {
			return
		}
		at := began.Add(time.Duration(message.At * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		g.dispatch(message, at)
	}
}

// dispatch hands a message to a worker, and starts a further one if all are busy.
func (g *runner) dispatch(message Message, at time.Time) {
	g.report.Sent++
	g.mu.Lock()
	g.open++
	if g.idle-len(g.jobs) <= 0 && g.workers < g.Connections {
		g.workers++
		g.idle++
		g.wg.Go(g.work)
	}
	if g.idle > len(g.jobs) {
		g.report.MaxLateness = max(g.report.MaxLateness, time.Since(at).Seconds())
	}
	if g.Progress != nil && g.report.Sent%progressEvery == 0 {
		g.Progress(g.report.Sent, g.open)
	}
	g.mu.Unlock()
	select {
	case g.jobs <- job{message, fmt.Sprintf("%s%x", g.Prefix, g.report.Sent), at}:
	default: // charged for the whole timeout
		g.mu.Lock()
		g.report.Answers[answerNone]++
		g.intended.RecordValue(micros(g.Timeout))
		g.open--
		g.mu.Unlock()
	}
}

// work submits jobs on a connection of its own, one after another.
func (g *runner) work() {
	c := &connection{dial: g.Dial, timeout: g.Timeout}
	defer c.close()
	for j := range g.jobs {
		g.mu.Lock()
		g.idle--
		g.mu.Unlock()
		sent := time.Now()
		answer := c.submit(g.Run, j, g.body)
		now := time.Now()
		g.mu.Lock()
		g.report.Answers[answer]++
		g.intended.RecordValue(micros(now.Sub(j.intended)))
		g.naive.RecordValue(micros(now.Sub(sent)))
		g.open--
		g.idle++
		g.mu.Unlock()
	}
}

// micros is a duration as a value of a histogram.
func micros(d time.Duration) int64 { return min(max(1, d.Microseconds()), maxLatencyMicros) }
