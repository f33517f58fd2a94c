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
	for end, want := range map[End]meaning{Took: {scheduler.Delivered, true, true}, Failed: {scheduler.ServerError, false, true},
		Waiting: {scheduler.Overloaded, false, false}, TurnedAway: {scheduler.Overloaded, false, false}, LineBusy: {scheduler.NotSent, false, false},
		Spent: {scheduler.NotSent, false, false}, Gone: {scheduler.NotSent, true, false}, Unread: {scheduler.NotSent, false, false},
		Refused: {scheduler.NoConnection, false, false}, NeverUp: {scheduler.NoConnection, false, false},
		BrokenEarly: {scheduler.NoConnection, false, false}, GivenUpEarly: {scheduler.NoConnection, false, false},
		Broken: {scheduler.Reset, false, true}, Garbled: {scheduler.ServerError, false, true}, GivenUp: {scheduler.TimedOut, false, true},
		Unsent: {scheduler.NotSent, false, false}, Recalled: {scheduler.NotSent, false, false}} {
		outcome, over := end.Outcome()
		require.Equal(t, want, meaning{outcome, over, end.Ran()}, end.String())
	}
	require.Len(t, names, int(Recalled)+1)
}
