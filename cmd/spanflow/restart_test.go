package main

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

func TestWhatARestartFindsUntriedIsCalledAndCounted(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := s.start()
	ids := map[string]bool{}
	for i := range 20 { // of these some are out, and the others wait behind them
		id := string(rune('a' + i))
		ids[id] = true
		s.put(c, zero, id, "c=status,d=20000,dest=7", "+OK")
	}
	require.NotEmpty(t, s.call().ID)
	s.kill()
	for len(s.target.Calls) > 0 {
		<-s.target.Calls
	}
	s.target.Do(nil)
	s.start()
	for len(ids) > 0 {
		delete(ids, s.call().ID)
	}
	line := s.log.Await(t, `"message":"recovered messages settled"`)
	require.Contains(t, line, `"recovered":20,`)
	require.Contains(t, line, `"uncalled":0,`)
	require.Empty(t, s.discovery.Notices)
}

func TestARestartEndsTheWaits(t *testing.T) {
	s := newStage(t, "single")
	s.target.Do(func(emulator.Call) emulator.Reply {
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "3600"}}
	})
	c := s.start()
	s.put(c, zero, "told", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "told", s.call().ID)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.put(c, zero, "untried", "c=status,d=20000,dest=9", "+OK") // it has no endpoint yet
	require.NoError(t, <-s.ended)
	require.True(t, strings.Contains(s.log.String(), `"owed":`))
	s.discovery.Set(emulator.Entry{UID: "s0", Endpoint: s.target.Addr, Zone: "a", Kind: "single", Destination: 9, State: "active"})
	s.target.Do(nil)
	s.start()
	for s.call().ID != "untried" {
	}
	s.put(s.client(), zero, "fresh", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "fresh", s.call().ID, "the wait was told to the process before")
}

// Words of the platform one upon the other, in any order, before and while the process stops.
func TestSignalsOneUponTheOtherStopTheProcessOnceAndLoseNothing(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := s.start()
	s.put(c, zero, "out", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "out", s.call().ID)
	for _, word := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		require.NoError(t, s.cmd.Process.Signal(word))
	}
	s.await(`"message":"stopping"`)
	s.put(c, zero, "late", "c=status,d=20000,dest=7", "+OK")
	close(hold)
	require.NoError(t, <-s.ended)
	require.Equal(t, 1, s.log.Count(`"message":"stopping"`))
	s.target.Do(nil)
	s.start()
	for id := ""; id != "late"; id = s.call().ID {
	}
	require.Empty(t, s.discovery.Notices)
}
