package sim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/lab/audit"
	"spanflow/lab/receiver"
	"spanflow/transport"
)

// Guards against a run that takes messages for delivered by an answer that came once another message of their call had ended:
// the endpoint may take the whole call to be over then (report 8af0d7).
func TestAnswerBehindEndOfOneMessageCountsForNone(t *testing.T) {
	const first, second = 1, 2
	for name, test := range map[string]struct {
		expiry   float64 // of the first message, in seconds from now
		notice   bool    // the first message gets a notice
		answered bool    // the second message counts as delivered
	}{
		"in time":                                  {expiry: 5, answered: true},
		"behind the first one's notice":            {expiry: 5, notice: true},
		"behind the first one's time":              {expiry: -0.2},
		"in the slack behind the first one's time": {expiry: -0.001, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			run := &realRun{epoch: time.Now(), result: &Result{AttemptResults: map[string]int{}}, effects: map[uint64]*effect{},
				deliveredToForwarder: map[uint64]bool{}}
			run.log = audit.New(run, func(int) bool { return false }, 0)
			for id, expiry := range map[uint64]float64{first: test.expiry, second: 10} {
				run.effects[id] = &effect{}
				run.log.MessageSubmitted(&audit.Message{ID: id, Expiry: run.Now() + expiry, Accepted: true})
			}
			if test.notice {
				run.log.FinalAnswer(first, "returned")
			}
			call := &receiver.Call{Messages: []receiver.Message{{ID: first}, {ID: second}}}
			(&endpointServer{run: run}).recordAnswer(call, receiver.Answer{Code: transport.ResultOK})
			require.Equal(t, test.answered, run.log.Answered(second))
		})
	}
}
