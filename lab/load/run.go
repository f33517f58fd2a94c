package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Message is a message to be handed in.
type Message struct {
	At             float64 `json:"at"` // seconds from the beginning
	Destination    uint64  `json:"dest"`
	Type           string  `json:"type"`
	Tenant         string  `json:"tenant,omitempty"`
	Key            string  `json:"key,omitempty"`    // ordering key, up to 16 hexadecimal digits
	IdempotencyKey string  `json:"number,omitempty"` // by which a repeat is known
	TimeToLive     float64 `json:"life,omitempty"`   // seconds that it may take; 0: the run's
	Bytes          int     `json:"bytes,omitempty"`  // of its body; 0: the run's
}

// EndpointSource tells what arrives, in order of time. False after the last.
type Source interface {
	Next() (Message, bool)
}

// Run is a load on a forwarder's frontend. Arrivals wait for nobody: where all connections are busy a message waits
// here, and its time counts from the intended moment all the same.
type Run struct {
	Addr        string
	Connections int           // at most
	Timeout     time.Duration // an answer that takes longer, counted from its sending, is none
	TimeToLive  float64
	Bytes       int
	Prefix      string // of ids
	Progress    func(sent, open int)
	Dial        func() (net.Conn, error) // makes a connection; nil: TCP to Addr
}

// Report is what a run saw.
type Report struct {
	Sent      int            `json:"sent"`
	Answers   map[string]int `json:"answers"` // ok, busy, error, none
	Lasted    float64        `json:"seconds"`
	MostLate  float64        `json:"most_late_s"` // by which the tool itself was late in sending, with a connection at hand
	Intended  Times          `json:"intended"`    // from the intended moment to the answer
	Naive     Times          `json:"naive"`       // from the sending, as a closed loop would count: hides what a stall does
	OpenAtEnd int            `json:"without_answer"`

	intended, naive *hdrhistogram.Histogram
}

// Latencies are percentiles in seconds.
type Times struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

func latencyTimes(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return Times{at(50), at(90), at(99), at(99.9), float64(h.Max()) / 1e6, h.Mean() / 1e6}
}

const (
	maxLatencyMicros  = 3_600_000_000 // microseconds in a histogram
	maxQueuedMessages = 1 << 20       // messages that wait for a connection
)

type job struct {
	message  Message
	id       string
	intended time.Time
}

// Do plays a source and returns once each message has its answer or is given up.
func (r Run) Do(ctx context.Context, src Source) (*Report, error) {
	if r.Connections < 1 || r.Timeout <= 0 || r.TimeToLive <= 0 {
		return nil, errors.New("connections, timeout and life have to be over 0")
	}
	rep := &Report{Answers: map[string]int{}, intended: hdrhistogram.New(1, maxLatencyMicros, 3), naive: hdrhistogram.New(1, maxLatencyMicros, 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	jobs := make(chan job, maxQueuedMessages)
	idle, workers, open := 0, 0, 0
	body := strings.Repeat("x", 64<<10)
	dial := r.Dial
	if dial == nil {
		dial = func() (net.Conn, error) { return net.DialTimeout("tcp", r.Addr, r.Timeout) }
	}
	work := func() {
		defer wg.Done()
		c := &connection{dial: dial, timeout: r.Timeout}
		defer c.close()
		for j := range jobs {
			mu.Lock()
			idle--
			mu.Unlock()
			sent := time.Now()
			answer := c.submit(r, j, body)
			now := time.Now()
			mu.Lock()
			rep.Answers[answer]++
			rep.intended.RecordValue(micros(now.Sub(j.intended)))
			rep.naive.RecordValue(micros(now.Sub(sent)))
			open--
			idle++
			mu.Unlock()
		}
	}
	began := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		message, more := src.Next()
		if !more {
			break
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
			break
		}
		rep.Sent++
		mu.Lock()
		open++
		if idle-len(jobs) <= 0 && workers < r.Connections {
			workers++
			idle++
			wg.Add(1)
			go work()
		}
		if idle > len(jobs) {
			rep.MostLate = max(rep.MostLate, time.Since(at).Seconds())
		}
		if r.Progress != nil && rep.Sent%100 == 0 {
			r.Progress(rep.Sent, open)
		}
		mu.Unlock()
		select {
		case jobs <- job{message, fmt.Sprintf("%s%x", r.Prefix, rep.Sent), at}:
		default: // charged for the whole run
			mu.Lock()
			rep.Answers["none"]++
			rep.intended.RecordValue(micros(r.Timeout))
			open--
			mu.Unlock()
		}
	}
	close(jobs)
	wg.Wait()
	rep.Lasted = time.Since(began).Seconds()
	rep.OpenAtEnd = open
	rep.Intended, rep.Naive = latencyTimes(rep.intended), latencyTimes(rep.naive)
	return rep, ctx.Err()
}

func micros(d time.Duration) int64 { return min(max(1, d.Microseconds()), maxLatencyMicros) }

// connection is one connection to a forwarder, made when it is needed.
type connection struct {
	dial    func() (net.Conn, error)
	timeout time.Duration
	conn    net.Conn
	reader  *bufio.Reader
}

func (l *connection) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// submit hands one message in. A connection that the forwarder closed between requests is made anew once.
func (l *connection) submit(r Run, j job, body string) string {
	n, life := j.message.Bytes, j.message.TimeToLive
	if n == 0 {
		n = r.Bytes
	}
	if life == 0 {
		life = r.TimeToLive
	}
	left := life - time.Since(j.intended).Seconds()
	if left <= 0 {
		return "expired" // it never left the tool: no connection was free in time
	}
	names := fmt.Sprintf("c=%s,d=%d,dest=%d", j.message.Type, int(left*1000), j.message.Destination)
	if j.message.IdempotencyKey != "" {
		names += ",k=" + j.message.IdempotencyKey
	}
	if j.message.Tenant != "" {
		names += ",t=" + j.message.Tenant
	}
	key := j.message.Key
	if key == "" {
		key = "0"
	}
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, a := range []string{"MSG.PUT", key, j.id, names, body[:min(n, len(body))]} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	for range 2 {
		fresh := l.conn == nil
		if fresh {
			c, err := l.dial()
			if err != nil {
				return "none"
			}
			l.conn, l.reader = c, bufio.NewReader(c)
		}
		l.conn.SetDeadline(time.Now().Add(l.timeout))
		_, err := io.WriteString(l.conn, b.String())
		answer := ""
		if err == nil {
			answer, err = l.reader.ReadString('\n')
		}
		if err != nil {
			l.close()
			var late net.Error
			if fresh || errors.As(err, &late) && late.Timeout() {
				return "none"
			}
			continue
		}
		switch {
		case strings.HasPrefix(answer, "+"):
			return "ok"
		case strings.HasPrefix(answer, "-BUSY"):
			return "busy"
		}
		return "error"
	}
	return "none"
}
