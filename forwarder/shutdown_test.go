package forwarder_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/emulator"
	"spanflow/internal/wal"
	"spanflow/transport"
)

// lateFrontend is a frontend that reads a command while the event loop runs its last turn.
type lateFrontend struct {
	*memoryFrontend
	late *testCaller
}

func (l *lateFrontend) StopReading() {
	l.late = l.submit(transport.Submission{ID: "late", Type: "status", Destination: 7})
}

func TestAnswersRequestsReadAfterLastTurn(t *testing.T) {
	f := newFixture(t)
	var frontend *lateFrontend
	f.config.FrontendProtocols["memory"] = func(
		_ forwarder.Frontend, _ int, submitter transport.Submitter,
	) (transport.Frontend, error) {
		frontend = &lateFrontend{memoryFrontend: &memoryFrontend{submitter}}
		return frontend, nil
	}
	f.start()
	f.stop()
	select {
	case r := <-frontend.late.reply:
		require.Equal(t, transport.StatusAccepted, r.Status)
	default:
		t.Fatal("a command was read and never answered")
	}
	require.Empty(t, f.upstream.calls, "no call begins that would be cut off")
	walLog, err := wal.Open(f.config.Folder, 3_000_000)
	require.NoError(t, err)
	defer walLog.Close()
	require.Len(t, walLog.Pending(), 1, "accepted, so it is pending for the next process")
}

func TestStopsWhileWaitingForFolder(t *testing.T) {
	f := newFixture(t)
	walLog, err := wal.Open(f.config.Folder, 3_000_000)
	require.NoError(t, err)
	defer walLog.Close()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = wal.OpenWhenFree(ctx, f.config.Folder, 3_000_000, time.Hour)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, forwarder.Run(ctx, f.config, f.reload, emulator.NewLog(), nil))
}

func TestRetryAfterForUnlistedDestinationIsCapped(t *testing.T) {
	for maxRetryAfter, want := range map[float64]int{0: 0, 2: 1000} {
		f := newFixture(t)
		f.config.Scheduler.MaxRetryAfter = maxRetryAfter
		silent, err := emulator.NewEndpoint("", func(emulator.Call) emulator.Reply {
			return emulator.Reply{Hold: make(chan struct{})}
		})
		require.NoError(t, err)
		f.config.StaticEndpoints, f.config.Discovery = nil, silent.Addr // it never sends its list
		f.start()
		c := f.submit(transport.Submission{ID: "a", Type: "status", Destination: 99})
		require.Equal(t, transport.Reply{Status: transport.StatusOverloaded, RetryAfter: want}, <-c.reply)
		f.stop()
	}
}

func TestLearnedLatenciesSurviveKill(t *testing.T) {
	f := newFixture(t).start()
	c := f.submit(transport.Submission{ID: "a", Type: "status", Destination: 7})
	require.Equal(t, transport.StatusAccepted, (<-c.reply).Status)
	f.finishNext(transport.ResultOK)
	require.Equal(t, transport.Delivered, (<-c.final).Outcome)
	require.Eventually(t, func() bool { // the process is still running: a kill would leave the file in this state
		text, err := os.ReadFile(filepath.Join(f.config.Folder, "learnt"))
		return err == nil && strings.Contains(string(text), "\n7 ")
	}, 15*time.Second, 10*time.Millisecond)
}

// Guards against calls whose connections come up after the last turn: they would be sent although changes of the list are no
// longer read, and the next process would have to assume that their messages have run.
func TestStopCancelsUnsentCalls(t *testing.T) {
	for _, connecting := range []bool{true, false} {
		f := newFixture(t)
		f.upstream.connecting = connecting
		f.start()
		answer, err := f.client().Put("0000000000000000", "a", "c=payment,d=20000,dest=7", "body")
		require.NoError(t, err)
		require.Equal(t, "+OK", answer)
		require.Eventually(t, func() bool { return len(f.upstream.calls) == 1 }, 5*time.Second, time.Millisecond)
		f.stop()
		walLog, err := wal.Open(f.config.Folder, 3_000_000)
		require.NoError(t, err)
		pending := walLog.Pending()
		require.NoError(t, walLog.Close())
		require.Len(t, pending, 1)
		require.Equal(t, connecting, pending[0].AttemptStartedAt == 0, "connecting %v", connecting)
		require.Equal(t, connecting, pending[0].Attempts == 0, "an attempt that was not sent does not count")
		require.Zero(t, pending[0].FirstRanAt, "what was in flight is counted by the next process")
	}
}

// Guards against messages that have fewer attempts left behind a restart because calls with their neighbours were turned
// away as a whole.
func TestCallsTurnedAwayForTheirSizeCostNoAttemptsBehindRestart(t *testing.T) {
	const messages, turnedAway = 20, 2
	f := newFixture(t)
	f.config.Scheduler.KindBatchSize = []int{10}
	f.start()
	f.submit(transport.Submission{ID: "first", Type: "status", Destination: 7, Body: []byte("b")})
	first := <-f.upstream.calls
	for n := range messages { // accepted before the end of the first call, so that the next ones are joined
		caller := f.submit(transport.Submission{ID: fmt.Sprint("m", n), Type: "status", Destination: 7, Body: []byte("b")})
		<-caller.reply
	}
	f.upstream.finish(first, transport.ResultOK)
	for joined := 0; joined < turnedAway; {
		call, code := <-f.upstream.calls, transport.ResultOK
		if len(call.Messages) > 1 {
			code = transport.ResultTooLarge
			joined++
		}
		f.upstream.finish(call, code)
	}
	<-f.upstream.calls // the results before it are recorded
	f.stop()
	walLog, err := wal.Open(f.config.Folder, 3_000_000)
	require.NoError(t, err)
	pending := walLog.Pending()
	require.NoError(t, walLog.Close())
	require.NotEmpty(t, pending)
	for _, e := range pending {
		if e.AttemptStartedAt == 0 {
			require.Zero(t, e.Attempts, e.ID)
		} else {
			require.Equal(t, 1, e.Attempts, e.ID)
		}
	}
}
