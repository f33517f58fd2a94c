package main

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/standin"
)

func TestWhatARestartFindsUntriedIsCalledAndCounted(t *testing.T) {
	s := newStage(t, "single")
	hold := make(chan struct{})
	s.target.Do(func(standin.Call) standin.Reply { return standin.Reply{Hold: hold} })
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
	line := s.log.Await(t, `"message":"recovered documents settled"`)
	require.Contains(t, line, `"recovered":20,`)
	require.Contains(t, line, `"uncalled":0,`)
	require.Empty(t, s.discovery.Notices)
}

func TestARestartEndsTheWaits(t *testing.T) {
	s := newStage(t, "single")
	s.target.Do(func(standin.Call) standin.Reply {
		return standin.Reply{Status: 429, Fields: map[string]string{"Retry-After": "3600"}}
	})
	c := s.start()
	s.put(c, zero, "told", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "told", s.call().ID)
	require.NoError(t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.put(c, zero, "untried", "c=status,d=20000,dest=9", "+OK") // it has no target yet
	require.NoError(t, <-s.ended)
	require.True(t, strings.Contains(s.log.String(), `"owed":`))
	s.discovery.Set(standin.Entry{UID: "s0", Endpoint: s.target.Addr, Zone: "a", Kind: "single", Dest: 9, State: "active"})
	s.target.Do(nil)
	s.start()
	for s.call().ID != "untried" {
	}
	s.put(s.client(), zero, "fresh", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "fresh", s.call().ID, "the wait was told to the process before")
}
