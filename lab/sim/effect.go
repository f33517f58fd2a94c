package sim

import (
	"math/rand/v2"

	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

// effect is one effect that a client wants to cause at a receiver. This may take several messages, as the client
// resubmits rejected ones.
type effect struct {
	id             uint64 // ID of its first message; 0 until that is submitted
	messageType    *scenario.Type
	typeIndex      int
	submittedAt    float64 // intended time of the first submission
	expiry         float64
	tenant         int
	key            uint64 // ordering key; 0 means none
	idempotencyKey uint64 // 0 means none
	destination    int
	done           bool // the effect has taken place
}

// submission is one submission of an effect, as a message.
type submission struct {
	id           uint64
	effect       *effect
	message      *scheduler.Message
	recovered    scheduler.RecoveredState // state that a restarted process would recover
	attemptStart float64                  // start of the open attempt; 0 if there is none
	attemptZone  int                      // zone of the open attempt's endpoint
	expiry       float64
	finished     bool
}

// resubmissionSlack is the minimum time in seconds between a resubmission and its expiry.
const resubmissionSlack = 0.05

// resubmission decides whether a client submits an effect again, after which delay (wait), and with which expiry. The
// expiry of a message with an idempotency key is limited to the key's deduplication window.
func (e *effect) resubmission(s *scenario.Scenario, now, retryAfter float64, random *rand.Rand) (expiry, wait float64, resubmit bool) {
	expiry = e.expiry
	if e.idempotencyKey != 0 {
		expiry = min(expiry, e.submittedAt+float64(e.messageType.DeduplicationWindow))
	}
	wait = retryAfter + 0.1 + 0.2*random.Float64()
	return expiry, wait, s.Resubmit && !e.done && now+wait+resubmissionSlack < expiry
}

// forwarderFor returns the number of the forwarder that a client submits an effect to. It is always the same one for an
// ordering key, as forwarders share no state, and otherwise a random one.
func forwarderFor(e *effect, random *rand.Rand, forwarders int) int {
	if e.key != 0 {
		return int((e.key * 0x9e3779b97f4a7c15 >> 33) % uint64(forwarders))
	}
	return random.IntN(forwarders)
}

// nextForwarder returns the forwarder that a client tries after forwarder n did not answer. It is the same one for an
// effect with an ordering key.
func nextForwarder(e *effect, n, forwarders int) int {
	if e.key != 0 {
		return n
	}
	return (n + 1) % forwarders
}
