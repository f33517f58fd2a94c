package main

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	smallestMemoryMB   = 32   // the least that the deployment's pages name
	crowdDescriptors   = 1024 // the most
	crowdDuration      = 3 * time.Second
	pingMedianBound    = 50 * time.Millisecond
	megabyte           = 1 << 20
	memorySamplePause  = 10 * time.Millisecond
	memoryLimitMeasure = "resident memory of the process at its peak"
)

// checksLimits reports whether memory and times are checked. A program with the race detector takes several times as much
// of both; it is run for its data races.
func checksLimits() bool { return raceFlag != "-race" }

// Guards against a process over its memory limit through clients that stop half way, write slowly or send much
// (report 5ef372), and against other clients without an answer meanwhile.
func TestHostileClientsDoNotExceedMemoryLimit(t *testing.T) {
	for kind, count := range map[string]int{
		"half of a large command":          640,
		"slow in a large command":          640,
		"many large commands":              300,
		"refused commands without reading": 200,
		"ever new names":                   20,
		"many short fields":                640,
	} {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t, "single")
			h.memoryMB, h.sockets = smallestMemoryMB, crowdDescriptors
			go discardArrivals(h)
			h.start()
			crowd := h.startCrowd(hostileClientCount{kind, count})
			pings := make(chan []time.Duration)
			go func() { pings <- h.probe(crowdDuration, ping) }()
			large := h.probe(crowdDuration, largeMessage)
			small := <-pings
			crowd.end()
			peak := peakMemory(t, h.process.Pid())
			t.Logf("%d clients: peak %.1f MB; PING median %v, slowest %v of %d; large message median %v, slowest %v of %d",
				count, float64(peak)/megabyte, small[len(small)/2], small[len(small)-1], len(small),
				large[len(large)/2], large[len(large)-1], len(large))
			require.NotZero(t, peak, "the process has ended; log:\n%s", h.process.Log)
			if !checksLimits() {
				return
			}
			require.Less(t, peak, smallestMemoryMB*megabyte, memoryLimitMeasure)
			require.Less(t, small[len(small)-1], clientPatience, "slowest answer to a PING")
			require.Less(t, small[len(small)/2], pingMedianBound, "median answer to a PING")
			require.Less(t, large[len(large)-1], clientPatience, "slowest answer to a large message")
		})
	}
}

// Guards against the two processes of an upgrade over their common memory limit (report 5ef372).
func TestHostileClientsDoNotExceedMemoryLimitInUpgrade(t *testing.T) {
	for kind, count := range map[string]int{
		"half of a large command": 640,
		"many large commands":     300,
	} {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t, "single")
			h.memoryMB, h.sockets = smallestMemoryMB, crowdDescriptors
			go discardArrivals(h)
			socket := h.inheritedSocket()
			predecessor := h.startWithAdmin(socket)
			predecessor.AwaitReady(t)
			crowd := h.startCrowd(hostileClientCount{kind, count})
			time.Sleep(crowdDuration / 3)
			var successor atomic.Pointer[adminProcess]
			sampled, stop := make(chan int), make(chan struct{})
			go func() { sampled <- h.largestSum(predecessor, &successor, stop) }()
			began := time.Now()
			next := h.startSuccessor(socket)
			t.Logf("successor ready after %v", time.Since(began))
			successor.Store(next)
			time.Sleep(crowdDuration / 3)
			require.NoError(t, predecessor.Signal(syscall.SIGTERM))
			next.AwaitReady(t)
			time.Sleep(crowdDuration / 3)
			close(stop)
			peak := <-sampled
			crowd.end()
			t.Logf("peak of both processes %.1f MB", float64(peak)/megabyte)
			if checksLimits() {
				require.Less(t, peak, smallestMemoryMB*megabyte, "memory of both processes")
			}
			h.put(h.client(), noKey, "last", "c=status,d=8000,dest=7", "+OK")
		})
	}
}

// largestSum returns the largest memory of two processes together until stop is closed.
func (h *harness) largestSum(first *adminProcess, second *atomic.Pointer[adminProcess], stop chan struct{}) (largest int) {
	for !stopped(stop) {
		sum := proportionalMemory(h.t, first.Pid())
		if p := second.Load(); p != nil {
			sum += proportionalMemory(h.t, p.Pid())
		}
		largest = max(largest, sum)
		pause(memorySamplePause, stop)
	}
	return largest
}

// discardArrivals discards calls and notices, as the test does not wait for single ones.
func discardArrivals(h *harness) {
	go func() {
		for range h.discovery.Notices {
		}
	}()
	for range h.endpoint.Calls {
	}
}
