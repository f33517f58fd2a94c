package load

import (
	"bufio"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestArrivalsFollowTheirShape(t *testing.T) {
	shape := Shape{{0, 10}, {10, 10}, {20, 30}, {20, 0}, {30, 0}, {30, 50}, {40, 50}}
	require.NoError(t, shape.Check())
	require.Equal(t, []float64{10, 20, 0, 50}, []float64{shape.Rate(5), shape.Rate(15), shape.Rate(25), shape.Rate(35)})
	for _, a := range []*Arrivals{Even(shape, 40), Poisson(shape, 40, rand.New(rand.NewPCG(1, 2)))} {
		var n [4]int
		last := 0.0
		for {
			at, more := a.Next()
			if !more {
				break
			}
			require.GreaterOrEqual(t, at, last)
			last = at
			n[int(at/10)]++
		}
		slack := 2.0
		if a.random != nil {
			slack = 60
		}
		for i, want := range []float64{100, 200, 0, 500} {
			require.InDelta(t, want, n[i], slack, i)
		}
	}
	require.Error(t, Shape{{5, 1}, {4, 1}}.Check())
	require.Error(t, Shape{{0, math.NaN()}}.Check())
}

func TestPoissonIntervalsAreExponential(t *testing.T) {
	a := Poisson(Shape{{0, 100}}, math.Inf(1), rand.New(rand.NewPCG(1, 2)))
	n, sum, squares, last := 200_000, 0.0, 0.0, 0.0
	for range n {
		at, _ := a.Next()
		sum, squares = sum+at-last, squares+(at-last)*(at-last)
		last = at
	}
	mean := sum / float64(n)
	require.InEpsilon(t, 0.01, mean, 0.01)
	require.InEpsilon(t, mean*mean, squares/float64(n)-mean*mean, 0.02, "the standard deviation equals the mean")
}

func TestPickerFollowsItsWeights(t *testing.T) {
	p, random := Zipf(3, 1), rand.New(rand.NewPCG(1, 2))
	var n [3]float64
	for range 110_000 {
		n[p.Pick(random)]++
	}
	for i, want := range []float64{60_000, 30_000, 20_000} {
		require.InEpsilon(t, want, n[i], 0.03)
		require.InDelta(t, want/110_000, p.Weights()[i], 1e-9)
	}
}

// dialServer returns a function that connects to a server, which answers each command after a delay plus a stall. stall
// receives the time since the first connection; it may be nil. dialServer must be called in a synctest bubble, whose
// fake clock keeps other work on the machine from counting as delay.
func dialServer(delay time.Duration, stall func(since time.Duration) time.Duration) func() (net.Conn, error) {
	var once sync.Once
	var began time.Time
	return func() (net.Conn, error) {
		client, c := net.Pipe()
		once.Do(func() { began = time.Now() })
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				head, err := in.ReadString('\n')
				if err != nil {
					return
				}
				n, _ := strconv.Atoi(strings.TrimSpace(head[1:]))
				for range n {
					size, err := in.ReadString('\n')
					if err != nil {
						return
					}
					bytes, _ := strconv.Atoi(strings.TrimSpace(size[1:]))
					if _, err := in.Discard(bytes + 2); err != nil {
						return
					}
				}
				time.Sleep(delay)
				if stall != nil {
					time.Sleep(stall(time.Since(began)))
				}
				io.WriteString(c, "+OK\r\n")
			}
		}()
		return client, nil
	}
}

func newGenerator(rate, seconds float64) *Generator {
	return &Generator{Arrivals: Even(Shape{{0, rate}}, seconds), Random: rand.New(rand.NewPCG(1, 2)), Destinations: []uint64{1}, DestinationPicker: Zipf(1, 0), Types: []string{"status"}}
}

// TestReportedLatenciesMatchInjectedDelays checks reported latencies for a fixed delay and for a stall of two seconds.
func TestReportedLatenciesMatchInjectedDelays(t *testing.T) {
	synctest.Test(t, testReportedLatencies)
}

func testReportedLatencies(t *testing.T) {
	run := Run{Connections: 400, Timeout: 10 * time.Second, TimeToLive: 20, Bytes: 100}
	run.Dial = dialServer(400*time.Millisecond, nil)
	r, err := run.Do(context.Background(), newGenerator(100, 2))
	require.NoError(t, err)
	require.Equal(t, map[string]int{"ok": r.Sent}, r.Answers)
	for _, p := range []float64{r.Intended.P50, r.Intended.P90, r.Intended.P99} {
		require.InEpsilon(t, 0.4, p, 0.05)
	}

	const from, to = 1.0, 3.0
	run.Dial = dialServer(100*time.Millisecond, func(since time.Duration) time.Duration {
		if s := since.Seconds(); s > from && s < to {
			return time.Duration((to - s) * float64(time.Second))
		}
		return 0
	})
	run.Connections = 4 // few, as in real load tools, so that the stall blocks all and new arrivals are queued
	r, err = run.Do(context.Background(), newGenerator(20, 4))
	require.NoError(t, err)
	require.Equal(t, map[string]int{"ok": r.Sent}, r.Answers)
	require.InDelta(t, 2.1, r.Intended.Max, 0.15)
	require.Greater(t, r.Intended.P50, 0.5, "half of the arrivals are delayed by the stall or by the queue it left")
	require.Less(t, r.Naive.P90, 0.2, "a closed loop sees only four slow answers")
	t.Logf("intended %+v, naive %+v", r.Intended, r.Naive)
}

func TestStallCountsForEveryArrivalDuringIt(t *testing.T) {
	synctest.Test(t, testStall)
}

func testStall(t *testing.T) {
	run := Run{Connections: 400, Timeout: 10 * time.Second, TimeToLive: 20}
	run.Dial = dialServer(100*time.Millisecond, func(since time.Duration) time.Duration {
		if s := since.Seconds(); s > 1 && s < 3 {
			return time.Duration((3 - s) * float64(time.Second))
		}
		return 0
	})
	// 300 messages are answered after 0.1 s; the other 200 also wait for the rest of the two-second stall.
	r, err := run.Do(context.Background(), newGenerator(100, 5))
	require.NoError(t, err)
	require.InDelta(t, 500, r.Sent, 1)
	require.Equal(t, map[string]int{"ok": r.Sent}, r.Answers)
	require.InDelta(t, 0.1, r.Intended.P50, 0.02)
	require.InEpsilon(t, 1.6, r.Intended.P90, 0.05) // the slowest tenth arrived within half a second
	require.InEpsilon(t, 2.05, r.Intended.P99, 0.05)
}

func TestMissingForwarderGivesNoAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	ln.Close()
	r, err := Run{Addr: addr, Connections: 2, Timeout: time.Second, TimeToLive: 5}.Do(context.Background(), newGenerator(100, 0.2))
	require.NoError(t, err)
	require.Equal(t, map[string]int{"none": r.Sent}, r.Answers)
	_, err = Run{Addr: addr}.Do(context.Background(), newGenerator(1, 1))
	require.Error(t, err)
}

func TestTraceIsReadAndSpedUp(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	jsonPath := write("a.jsonl", `{"at":100,"dest":7,"type":"status","bytes":10}`+"\n\n"+`{"at":101.5,"dest":8,"type":"ticket","key":"5","number":"n1","tenant":"x"}`+"\n")
	csvPath := write("a.csv", "at,dest,type,key,number,tenant,bytes\n100,7,status,,,,10\n101.5,8,ticket,5,n1,x,\n")
	for _, path := range []string{jsonPath, csvPath} {
		tr, err := Open(path, 10)
		require.NoError(t, err)
		a, _ := tr.Next()
		b, _ := tr.Next()
		require.Equal(t, Message{Destination: 7, Type: "status", Bytes: 10}, a)
		require.Equal(t, Message{At: 0.15, Destination: 8, Type: "ticket", Key: "5", IdempotencyKey: "n1", Tenant: "x"}, b)
		_, more := tr.Next()
		require.True(t, !more && tr.Err == nil)
		tr.Close()
	}
	for text, want := range map[string]string{`{"at":1,"type":"x"}` + "\n" + `{"at":0,"type":"x"}`: "line 2: at: 0 is earlier than", `{"at":1}`: "line 1: type",
		`{"at":1,"type":"x","colour":1}`: `line 1: json: unknown field "colour"`, `{"at":1,"type":"x","key":"z"}`: "line 1: key", `{`: "line 1: "} {
		tr, err := Open(write("b.jsonl", text), 1)
		require.NoError(t, err)
		for more := true; more; {
			_, more = tr.Next()
		}
		require.ErrorContains(t, tr.Err, want)
		tr.Close()
	}
	_, err := Open(write("b.csv", "at,colour\n"), 1)
	require.ErrorContains(t, err, `unknown column "colour"`)
	_, err = Open(jsonPath, 0)
	require.ErrorContains(t, err, "speed")
}
