package transport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
)

func TestEveryEndHasItsOutcome(t *testing.T) {
	type meaning struct {
		outcome   scheduler.Outcome
		over, ran bool
	}
	for end, want := range map[End]meaning{Took: {scheduler.Delivered, true, true}, Failed: {scheduler.Errored, false, true},
		Waiting: {scheduler.Full, false, false}, TurnedAway: {scheduler.Full, false, false}, LineBusy: {scheduler.Moot, false, false},
		Spent: {scheduler.Moot, false, false}, Gone: {scheduler.Moot, true, false}, Unread: {scheduler.Moot, false, false},
		Refused: {scheduler.NoConnection, false, false}, NeverUp: {scheduler.NoConnection, false, false},
		BrokenEarly: {scheduler.NoConnection, false, false}, GivenUpEarly: {scheduler.NoConnection, false, false},
		Broken: {scheduler.Reset, false, true}, Garbled: {scheduler.Errored, false, true}, GivenUp: {scheduler.TimedOut, false, true},
		Unsent: {scheduler.Moot, false, false}, Recalled: {scheduler.Moot, false, false}} {
		outcome, over := end.Outcome()
		require.Equal(t, want, meaning{outcome, over, end.Ran()}, end.String())
	}
	require.Len(t, names, int(Recalled)+1)
}
