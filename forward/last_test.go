package forward_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forward"
	"spanflow/internal/ledger"
	"spanflow/internal/standin"
	"spanflow/seam"
)

// closing is a front on which a command was read while the owner took its last turn.
type closing struct {
	*memory
	late *caller
}

func (c *closing) Halt() { c.late = c.hand(seam.Handed{ID: "late", Type: "status", Dest: 7}) }

func TestWhatWasReadBehindTheLastTurnIsAnswered(t *testing.T) {
	h := newHouse(t)
	inner := h.order.Protocols["memory"]
	var front *closing
	h.order.Protocols["memory"] = func(f forward.Front, most int, desk seam.Desk) (seam.Front, error) {
		m, err := inner(f, most, desk)
		front = &closing{memory: m.(*memory)}
		return front, err
	}
	h.start()
	h.stop()
	select {
	case r := <-front.late.door:
		require.Equal(t, seam.Taken, r.Word)
	default:
		t.Fatal("a command was read and never answered")
	}
	require.Empty(t, h.hands.calls, "no call begins that would be cut off")
	led, err := ledger.Open(h.order.Folder, 3_000_000)
	require.NoError(t, err)
	defer led.Close()
	require.Len(t, led.Owed(), 1, "taken on: the next process owes it")
}

func TestAProcessToldToStopWhileItWaitsForTheFolderEnds(t *testing.T) {
	h := newHouse(t)
	led, err := ledger.Open(h.order.Folder, 3_000_000)
	require.NoError(t, err)
	defer led.Close()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_, err = ledger.OpenWaiting(ctx, h.order.Folder, 3_000_000, time.Hour)
	require.ErrorIs(t, err, context.Canceled)
	require.NoError(t, forward.Run(ctx, h.order, h.again, standin.NewLog(), nil))
}

func TestAnUnlistedDestinationIsToldNoTimeToComeBackWhereNoneIsAllowed(t *testing.T) {
	for most, want := range map[float64]int{0: 0, 2: 1000} {
		h := newHouse(t)
		h.order.Terms.ComeBackMost = most
		silent, err := standin.NewTarget("", func(standin.Call) standin.Reply { return standin.Reply{Hold: make(chan struct{})} })
		require.NoError(t, err)
		h.order.Static, h.order.Discovery = nil, silent.Addr // it never tells its list
		h.start()
		c := h.fronts["inner"].hand(seam.Handed{ID: "a", Type: "status", Dest: 99})
		require.Equal(t, seam.Reply{Word: seam.Busy, Wait: want}, <-c.door)
		h.stop()
	}
}

func TestWhatWasLearntOutlastsAKill(t *testing.T) {
	h := newHouse(t).start()
	c := h.fronts["inner"].hand(seam.Handed{ID: "a", Type: "status", Dest: 7})
	require.Equal(t, seam.Taken, (<-c.door).Word)
	h.hands.end(<-h.hands.calls, seam.Took)
	require.Equal(t, seam.Delivered, (<-c.final).Outcome)
	require.Eventually(t, func() bool { // the process does not end: a kill would find it so
		text, err := os.ReadFile(filepath.Join(h.order.Folder, "learnt"))
		return err == nil && strings.Contains(string(text), "\n7 ")
	}, 15*time.Second, 10*time.Millisecond)
}
