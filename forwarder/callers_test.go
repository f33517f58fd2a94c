package forwarder_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/emulator"
	"spanflow/internal/wal"
	"spanflow/transport"
)

func TestWaitingCallerGetsFinalAnswerOnce(t *testing.T) {
	f := newFixture(t).start()
	c := f.submit(transport.Submission{ID: "a", Type: "status", Destination: 7, Body: []byte("b")})
	require.Equal(t, transport.Reply{Status: transport.StatusAccepted}, <-c.reply)
	f.finishNext(transport.ResultOK)
	answer := <-c.final
	require.Equal(t, []any{"a", transport.Delivered}, []any{answer.ID, answer.Outcome})
	c = f.submit(transport.Submission{ID: "b", Type: "payment", Key: 5, Destination: 7})
	<-c.reply
	f.finishNext(transport.ResultClosed) // the message may have run, and must not run twice
	require.Equal(t, transport.Failed, (<-c.final).Outcome)
	c = f.submit(transport.Submission{ID: "b", Type: "payment", Destination: 7})
	require.Equal(t, transport.StatusInvalid, (<-c.reply).Status, "an id that was accepted before")
	f.stop()
	v, err := wal.Inspect(f.config.Folder)
	require.NoError(t, err)
	require.Empty(t, v.Pending)
}

func TestMessageOfDisconnectedCallerIsNotSent(t *testing.T) {
	f := newFixture(t).start()
	frontend := f.frontends[innerFrontend]
	first := f.submit(transport.Submission{ID: "a", Type: "payment", Key: 5, Destination: 7})
	second := f.submit(transport.Submission{ID: "b", Type: "payment", Key: 5, Destination: 7}) // queued behind first
	third := f.submit(transport.Submission{ID: "c", Type: "payment", Key: 5, Destination: 7})
	<-first.reply
	<-second.reply
	<-third.reply
	call := <-f.upstream.calls
	for id, c := range map[string]*testCaller{"a": first, "b": second} {
		c.disconnected.Store(true)
		frontend.submitter.Withdraw(id)
	}
	frontend.submitter.Withdraw("nobody")
	f.upstream.finish(call, transport.ResultOverloaded) // not sent again, as its caller has disconnected
	require.Equal(t, "c", (<-f.upstream.calls).Messages[0].ID)
	f.log.Await(t, "ready")
	v, err := wal.Inspect(f.config.Folder)
	require.NoError(t, err)
	require.Len(t, v.Pending, 1)
}

// The callers of an earlier process are disconnected. The messages whose answers they waited for are withdrawn, and a
// key cools down if one of its messages may still be running.
func TestRecoveredMessagesOfWaitingCallersAreWithdrawn(t *testing.T) {
	f := newFixture(t)
	walLog, err := wal.Open(f.config.Folder, 3_000_000)
	require.NoError(t, err)
	expiry := time.Now().Add(10 * time.Second).UnixMicro()
	for _, e := range []*wal.Entry{
		{ID: "ran", Key: 5, Destination: 7, Type: "payment", Expiry: expiry, Frontend: innerFrontend, CallerWaits: true},
		{ID: "not sent", Destination: 7, Type: "status", Expiry: expiry, Frontend: "removed", CallerWaits: true},
		{ID: "owed", Key: 5, Destination: 7, Type: "payment", Expiry: expiry, Frontend: innerFrontend},
	} {
		require.NoError(t, walLog.Append(e))
	}
	require.NoError(t, walLog.RecordAttempt(1, time.Now().UnixMicro(), 0))
	require.NoError(t, walLog.Close())
	began := time.Now()
	f.start()
	call := <-f.upstream.calls
	require.Equal(t, "owed", call.Messages[0].ID)
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond, "the cooldown of its key")
	f.upstream.finish(call, transport.ResultOK)
	f.stop()
	require.Contains(t, f.log.String(), `"withdrawn":2`)
	v, err := wal.Inspect(f.config.Folder)
	require.NoError(t, err)
	require.Empty(t, v.Pending)
}

// Callers of one frontend flood the forwarder without reading their answers. Callers of other frontends are still
// served.
func TestFloodedFrontendDoesNotStarveOthers(t *testing.T) {
	f := newFixture(t, forwarder.Frontend{Name: "flood", Protocol: "memory", MaxWaitingRequests: 1000}).start()
	end, flooded := make(chan struct{}), make(chan struct{})
	var submitted atomic.Int64
	go func() {
		defer close(flooded)
		c := &ignoringCaller{}
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			default:
				submission := &transport.Submission{ID: fmt.Sprint("f", i), Type: "none", Destination: 7}
				f.frontends["flood"].submitter.Submit(transport.Request{From: c, Submission: submission})
				submitted.Add(1)
			}
		}
	}()
	nonReadingClient := f.client() // sends and never reads
	go func() {
		ping := []byte(strings.Repeat(emulator.Command("PING"), 1000))
		for {
			if _, err := nonReadingClient.Write(ping); err != nil {
				return
			}
		}
	}()
	c := f.client()
	for i := range 200 {
		answer, err := c.Send(emulator.Command("PING"))
		require.NoError(t, err)
		require.Equal(t, "+PONG", answer)
		inner := f.submit(transport.Submission{ID: fmt.Sprint(i), Type: "status", Destination: 7})
		require.Equal(t, transport.StatusAccepted, (<-inner.reply).Status)
		f.finishNext(transport.ResultOK)
		<-inner.final
	}
	close(end)
	<-flooded
	require.Greater(t, submitted.Load(), int64(1000))
}
