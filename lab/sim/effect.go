package sim

import (
	"math/rand/v2"

	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

// effect is what a client wants done, whatever number of messages it takes.
type effect struct {
	id             uint64 // of its first message; 0: none was submitted
	messageType    *scenario.Type
	typeIndex      int
	submittedAt    float64 // the intended moment
	expiry         float64
	tenant         int
	key            uint64 // ordering key; 0: none
	idempotencyKey uint64 // 0: none
	destination    int
	done           bool
}

// submission is one message: an effect submitted once.
type submission struct {
	id           uint64
	effect       *effect
	message      *scheduler.Message
	recovered    scheduler.RecoveredState // what a restart would recover
	attemptStart float64                  // of the attempt that is out; 0: none is
	attemptZone  int                      // of its endpoint
	expiry       float64
	finished     bool
}

// resubmissionSlack is how many seconds a resubmission needs at least before its expiry.
const resubmissionSlack = 0.05

// resubmission tells whether a client submits an effect again, after what time, and with what expiry. An idempotency
// key is known for its window only, so a message with a key is submitted again with no more time than that.
func (e *effect) resubmission(s *scenario.Scenario, now, retryAfter float64, random *rand.Rand) (expiry, wait float64, resubmit bool) {
	expiry = e.expiry
	if e.idempotencyKey != 0 {
		expiry = min(expiry, e.submittedAt+float64(e.messageType.DeduplicationWindow))
	}
	wait = retryAfter + 0.1 + 0.2*random.Float64()
	return expiry, wait, s.Resubmit && !e.done && now+wait+resubmissionSlack < expiry
}

// forwarderFor is the forwarder to which a client turns: any, but for an ordering key always the same, as forwarders
// share nothing.
func forwarderFor(e *effect, random *rand.Rand, forwarders int) int {
	if e.key != 0 {
		return int((e.key * 0x9e3779b97f4a7c15 >> 33) % uint64(forwarders))
	}
	return random.IntN(forwarders)
}

// nextForwarder is the one to which it turns when that one is not there.
func nextForwarder(e *effect, n, forwarders int) int {
	if e.key != 0 {
		return n
	}
	return (n + 1) % forwarders
}
