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
	for end, want := range map[ResultCode]meaning{ResultOK: {scheduler.Delivered, true, true}, ResultServerError: {scheduler.ServerError, false, true},
		ResultRetryAfter: {scheduler.Overloaded, false, false}, ResultOverloaded: {scheduler.Overloaded, false, false}, ResultNoSlot: {scheduler.NotSent, false, false},
		ResultAttemptsExhausted: {scheduler.NotSent, false, false}, ResultGone: {scheduler.NotSent, true, false}, ResultBadRequest: {scheduler.NotSent, false, false},
		ResultConnectRefused: {scheduler.NoConnection, false, false}, ResultConnectTimeout: {scheduler.NoConnection, false, false},
		ResultClosedBeforeSent: {scheduler.NoConnection, false, false}, ResultTimeoutBeforeSent: {scheduler.NoConnection, false, false},
		ResultClosed: {scheduler.Reset, false, true}, ResultMalformed: {scheduler.ServerError, false, true}, ResultTimeout: {scheduler.TimedOut, false, true},
		ResultNotStarted: {scheduler.NotSent, false, false}, ResultCancelled: {scheduler.NotSent, false, false}} {
		outcome, over := end.Outcome()
		require.Equal(t, want, meaning{outcome, over, end.MayHaveRun()}, end.String())
	}
	require.Len(t, resultNames, int(ResultCancelled)+1)
}
