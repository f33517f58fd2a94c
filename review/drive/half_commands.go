package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	badClients  = 500 // at once
	badRounds   = 4
	badPatience = 3500 * time.Millisecond // longest stay of a bad client
	wholeBody   = 64 << 10
	partOfBody  = 65_000
)

var smallLimits = limits{Cores: 1, MemoryMB: 48, Sockets: 1024, DiskMB: 3}

// badClient stops in the middle of a request and stays. It reports whether it got an error or a close, and after how
// long.
func badClient(address, id string) (answered bool, after time.Duration) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return true, 0
	}
	defer conn.Close()
	connected := time.Now()
	options := "c=route-update,d=8000,dest=1"
	command := fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s", len(id), id,
		len(options), options, wholeBody, strings.Repeat("x", partOfBody))
	if err := conn.SetDeadline(time.Now().Add(badPatience)); err != nil {
		return false, 0
	}
	if _, err := io.WriteString(conn, command); err != nil {
		return true, time.Since(connected)
	}
	_, err = conn.Read(make([]byte, 256))
	return !errors.Is(err, os.ErrDeadlineExceeded), time.Since(connected)
}

// halfCommands plays case 3. Bad clients send most of a message and stop, by hundreds. Each is owed an error or a close,
// which it gets. The rule is broken if the forwarder goes over its memory limit meanwhile, for which the platform kills
// it.
func halfCommands(s *stage) (violations int, err error) {
	addresses, err := s.addresses(2)
	if err != nil {
		return 0, err
	}
	t, err := s.newTarget("s-1", addresses[0], 1, usualWork)
	if err != nil {
		return 0, err
	}
	d, err := s.newDiscovery(addresses[1], entry{"s-1", t.address, "catania-1", "client-shop", 1, "active", 20, 0})
	if err != nil {
		return 0, err
	}
	f, err := s.newLimitedForwarder("n1", d.address, smallLimits, palermoSettings(2), d.whole())
	if err != nil {
		return 0, err
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	// The platform looks at the memory and kills what is over the limit.
	over := make(chan struct{})
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Add(1)
	var most int64
	go func() {
		defer watching.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			now := f.memory()
			most = max(most, now)
			if now > int64(smallLimits.MemoryMB)<<20 {
				s.record("platform: n1 holds %.1f MB of private memory, its limit is %d MB", float64(now)/(1<<20),
					smallLimits.MemoryMB)
				close(over)
				f.kill()
				return
			}
		}
	}()
	// The usual clients go on all the time.
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-over:
				return
			case <-time.After(200 * time.Millisecond):
			}
			f.put(&message{id: fmt.Sprintf("usual-%d", i), class: "route-update", dest: 1, ms: 8000})
		}
	}()
	time.Sleep(2 * time.Second)
	for round := range badRounds {
		s.record("round %d: %.1f MB of private memory", round, float64(f.memory())/(1<<20))
		if s.trouble {
			badRound(s, f, round)
		} else {
			time.Sleep(3 * time.Second)
		}
		select {
		case <-over:
			violations++
		default:
		}
		if violations > 0 || f.hasEnded() {
			break
		}
	}
	close(stop)
	watching.Wait()
	clients.Wait()
	s.record("most private memory: %.1f MB of %d MB", float64(most)/(1<<20), smallLimits.MemoryMB)
	if violations == 0 && f.hasEnded() {
		s.record("the forwarder ended by itself")
		violations++
	}
	return violations, nil
}

// badRound plays one round of bad clients and records how they were answered.
func badRound(s *stage, f *forwarder, round int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	without, longest := 0, time.Duration(0)
	for i := range badClients {
		all.Add(1)
		go func() {
			defer all.Done()
			answered, after := badClient(f.listen, fmt.Sprintf("bad-%d-%d", round, i))
			mu.Lock()
			defer mu.Unlock()
			if !answered {
				without++
			}
			longest = max(longest, after)
		}()
	}
	all.Wait()
	s.record("round %d: %d bad clients, %d without an error or a close, the longest stay %.1f s", round, badClients, without,
		longest.Seconds())
}
