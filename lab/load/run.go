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

// Message is a message to submit.
type Message struct {
	At             float64 `json:"at"` // seconds from the start of the run
	Destination    uint64  `json:"dest"`
	Type           string  `json:"type"`
	Tenant         string  `json:"tenant,omitempty"`
	Key            string  `json:"key,omitempty"`    // ordering key, up to 16 hexadecimal digits
	IdempotencyKey string  `json:"number,omitempty"` // up to 16 hexadecimal digits
	TimeToLive     float64 `json:"life,omitempty"`   // seconds; 0 means the run's default
	Bytes          int     `json:"bytes,omitempty"`  // size of the body; 0 means the run's default
}

// Source provides the messages of a run in order of time.
type Source interface {
	// Next returns the next message, and false after the last one.
	Next() (Message, bool)
}

// Run configures a load on a forwarder's RESP frontend. If all connections are busy, messages are queued in this
// process, and their latencies still count from the intended time.
type Run struct {
	Addr        string
	Connections int                      // maximum number
	Timeout     time.Duration            // from sending; a message without an answer by then counts as unanswered
	TimeToLive  float64                  // seconds; default for messages that set none
	Bytes       int                      // default body size, for messages that set none
	Prefix      string                   // prefix of message ids
	Progress    func(sent, open int)     // called every progressEvery messages; may be nil
	Dial        func() (net.Conn, error) // nil means TCP to Addr
}

// Report is the outcome of a run.
type Report struct {
	Sent        int            `json:"sent"`
	Answers     map[string]int `json:"answers"` // number of messages by kind of answer: ok, busy, error, none, expired
	Seconds     float64        `json:"seconds"`
	MaxLateness float64        `json:"most_late_s"`    // seconds that messages were sent late although a connection was free
	Intended    Latencies      `json:"intended"`       // from the intended time to the answer
	Naive       Latencies      `json:"naive"`          // from sending, as a closed loop would measure; hides stalls
	OpenAtEnd   int            `json:"without_answer"` // messages still without an answer when the run ended
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

func newLatencies(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Latencies{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e6, h.Mean() / 1e6}
}

const (
	maxLatencyMicros  = 3_600_000_000 // highest value of the histograms
	latencyDigits     = 3             // significant digits of the histograms
	maxQueuedMessages = 1 << 20       // maximum number of messages queued for a connection
	maxBodyBytes      = 64 << 10
	progressEvery     = 100 // messages
)

// The kinds of answers that a run counts.
const (
	answerOK      = "ok"
	answerBusy    = "busy"
	answerError   = "error"
	answerNone    = "none"
	answerExpired = "expired" // not sent, as no connection was free within the time to live
)

type job struct {
	message  Message
	id       string
	intended time.Time
}

// activeRun is the state of a run in progress.
type activeRun struct {
	Run
	body string
	jobs chan job
	wg   sync.WaitGroup

	mu              sync.Mutex // guards the fields below
	report          *Report
	intended, naive *hdrhistogram.Histogram
	idle            int // workers without a job
	workers         int
	open            int // messages without an answer
}

// Do submits the messages of a source at their times, and returns when each one has been answered or has timed out. If
// ctx ends early, Do returns the report together with the error of ctx.
func (r Run) Do(ctx context.Context, src Source) (*Report, error) {
	if r.Connections < 1 || r.Timeout <= 0 || r.TimeToLive <= 0 {
		return nil, errors.New("connections, timeout and life must be greater than 0")
	}
	if r.Dial == nil {
		r.Dial = func() (net.Conn, error) { return net.DialTimeout("tcp", r.Addr, r.Timeout) }
	}
	g := &activeRun{
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
	g.report.Intended, g.report.Naive = newLatencies(g.intended), newLatencies(g.naive)
	return g.report, ctx.Err()
}

// play dispatches each message of a source at its intended time, until ctx is done.
func (g *activeRun) play(ctx context.Context, src Source, began time.Time) {
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

// dispatch queues a message for the workers, and starts another worker if all are busy.
func (g *activeRun) dispatch(message Message, at time.Time) {
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
	default: // the queue is full; the message counts as timed out
		g.mu.Lock()
		g.report.Answers[answerNone]++
		g.intended.RecordValue(micros(g.Timeout))
		g.open--
		g.mu.Unlock()
	}
}

// work submits jobs one after another on one connection.
func (g *activeRun) work() {
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

// micros converts a duration to a histogram value.
func micros(d time.Duration) int64 { return min(max(1, d.Microseconds()), maxLatencyMicros) }
