package seam

import (
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/choice"
)

func TestEveryEndHasItsOutcome(t *testing.T) {
	type meaning struct {
		outcome   choice.Outcome
		over, ran bool
	}
	for end, want := range map[End]meaning{Took: {choice.Delivered, true, true}, Failed: {choice.Errored, false, true},
		Waiting: {choice.Full, false, false}, TurnedAway: {choice.Full, false, false}, LineBusy: {choice.Moot, false, false},
		Spent: {choice.Moot, false, false}, Gone: {choice.Moot, true, false}, Unread: {choice.Moot, false, false},
		Refused: {choice.NoConnection, false, false}, NeverUp: {choice.NoConnection, false, false},
		BrokenEarly: {choice.NoConnection, false, false}, GivenUpEarly: {choice.NoConnection, false, false},
		Broken: {choice.Reset, false, true}, Garbled: {choice.Errored, false, true}, GivenUp: {choice.TimedOut, false, true},
		Unsent: {choice.Moot, false, false}, Recalled: {choice.Moot, false, false}} {
		outcome, over := end.Outcome()
		require.Equal(t, want, meaning{outcome, over, end.Ran()}, end.String())
	}
	require.Len(t, names, int(Recalled)+1)
}
