package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// beside starts a second process beside the first on its socket and folder, and returns once it says yes.
func (s *stage) beside(first *process) *process {
	second := s.launch(s.socket)
	require.Eventually(s.t, func() bool { return second.ready(s.t) }, 6*time.Second, 20*time.Millisecond)
	return second
}

// nothingComes fails if an endpoint is called within a second: the time that a call out has to take effect in.
func (s *stage) nothingComes() {
	s.t.Helper()
	select {
	case call := <-s.target.Calls:
		s.t.Fatalf("%s went to a target out by hand", call.ID)
	case <-time.After(time.Second):
	}
}

// Operators call the new process of an upgrade while the old one still owns the folder: an endpoint taken out there
// gets nothing from the old one either, and nothing from the new one, until it is put back.
func TestACallToTheNewProcessOfAnUpgradeReachesTheOldOne(t *testing.T) {
	s := newStage(t, "single")
	s.socket = s.handedDown()
	first := s.launch(s.socket)
	first.log.Await(t, `"message":"ready"`)
	second := s.beside(first)
	code, said := ask(t, second.admin, "POST", "/_targets/detach?name=nobody")
	require.Equal(t, http.StatusNotFound, code, said)
	for range 2 {
		code, said = ask(t, second.admin, "POST", "/_targets/detach?name=s1")
		require.Equal(t, http.StatusOK, code, said)
	}
	first.log.Await(t, `"message":"endpoint drained or restored"`)
	c := s.client()
	s.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	s.nothingComes()
	got := vars(t, second.admin)
	require.Equal(t, "1|g", got["proxy.out_of_rotation"], "it knows of the call though it serves nobody yet")
	require.Equal(t, "0|c", got["proxy.fulfilled.status"])
	require.Equal(t, "1|g", vars(t, first.admin)["proxy.open_requests"])

	require.NoError(t, first.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-first.ended)
	second.log.Await(t, `"message":"ready"`)
	s.nothingComes()
	code, said = ask(t, second.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, said)
	require.Equal(t, "d1", s.call().ID)
}

// The old process hangs and is killed before it looked into the tray: the new one takes the call up itself, before it
// sends anything. Attempts away clients stay so.
func TestACallThatTheOldProcessNeverTookUpBindsTheNewOne(t *testing.T) {
	s := newStage(t, "single")
	s.socket = s.handedDown()
	first := s.launch(s.socket)
	first.log.Await(t, `"message":"ready"`)
	c := s.client()
	second := s.beside(first)
	require.NoError(t, first.cmd.Process.Signal(syscall.SIGSTOP))
	code, said := ask(t, second.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, said)
	code, said = ask(t, second.admin, "POST", "/_lameduck/on")
	require.Equal(t, http.StatusOK, code, said)
	require.NoError(t, first.cmd.Process.Kill())
	<-first.ended
	c.Close()
	second.log.Await(t, `"message":"ready"`)
	require.Equal(t, "1|g", vars(t, second.admin)["proxy.out_of_rotation"])
	code, said = ask(t, second.admin, "POST", "/_lameduck/off")
	require.Equal(t, http.StatusOK, code, said)
	c = s.client()
	s.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	s.nothingComes()
	require.True(t, second.log.Has(`"lameduck":true`))
	require.False(t, first.log.Has(`"message":"endpoint drained or restored"`))
}
