package forwarder_test

import (
	"context"
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

// closing is a frontend on which a command was read while the event loop took its last turn.
type closing struct {
	*memory
	late *caller
}

func (c *closing) StopReading() {
	c.late = c.hand(transport.Submission{ID: "late", Type: "status", Destination: 7})
}

func TestWhatWasReadBehindTheLastTurnIsAnswered(t *testing.T) {
	h := newHouse(t)
	inner := h.order.FrontendProtocols["memory"]
	var front *closing
	h.order.FrontendProtocols["memory"] = func(f forwarder.Frontend, most int, desk transport.Submitter) (transport.Frontend, error) {
		m, err := inner(f, most, desk)
		front = &closing{memory: m.(*memory)}
		return front, err
	}
	h.start()
	h.stop()
	select {
	case r := <-front.late.door:
		require.Equal(t, transport.StatusAccepted, r.Status)
	default:
		t.Fatal("a command was read and never answered")
	}
	require.Empty(t, h.hands.calls, "no call begins that would be cut off")
	led, err := wal.Open(h.order.Folder, 3_000_000)
	require.NoError(t, err)
	defer led.Close()
	require.Len(t, led.Pending(), 1, "taken on: the next process owes it")
}

func TestAProcessToldToStopWhileItWaitsForTheFolderEnds(t *testing.T) {
	h := newHouse(t)
	led, err := wal.Open(h.order.Folder, 3_000_000)
	require.NoError(t, err)
	defer led.Close()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = wal.OpenWhenFree(ctx, h.order.Folder, 3_000_000, time.Hour)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, forwarder.Run(ctx, h.order, h.again, emulator.NewLog(), nil))
}

func TestAnUnlistedDestinationIsToldNoTimeToComeBackWhereNoneIsAllowed(t *testing.T) {
	for most, want := range map[float64]int{0: 0, 2: 1000} {
		h := newHouse(t)
		h.order.Scheduler.MaxRetryAfter = most
		silent, err := emulator.NewEndpoint("", func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: make(chan struct{})} })
		require.NoError(t, err)
		h.order.StaticEndpoints, h.order.Discovery = nil, silent.Addr // it never tells its list
		h.start()
		c := h.fronts["inner"].hand(transport.Submission{ID: "a", Type: "status", Destination: 99})
		require.Equal(t, transport.Reply{Status: transport.StatusOverloaded, RetryAfter: want}, <-c.door)
		h.stop()
	}
}

func TestWhatWasLearnedOutlastsAKill(t *testing.T) {
	h := newHouse(t).start()
	c := h.fronts["inner"].hand(transport.Submission{ID: "a", Type: "status", Destination: 7})
	require.Equal(t, transport.StatusAccepted, (<-c.door).Status)
	h.hands.end(<-h.hands.calls, transport.ResultOK)
	require.Equal(t, transport.Delivered, (<-c.final).Outcome)
	require.Eventually(t, func() bool { // the process does not end: a kill would find it so
		text, err := os.ReadFile(filepath.Join(h.order.Folder, "learnt"))
		return err == nil && strings.Contains(string(text), "\n7 ")
	}, 15*time.Second, 10*time.Millisecond)
}
