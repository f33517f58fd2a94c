package sim

// The names of the final answers in the audit and the result. The client may submit a rejected message again, but not a
// failed one.
const (
	answerDelivered = "delivered"
	answerRejected  = "returned"
	answerFailed    = "abandoned"
)

// scheduleArrivals schedules the submissions of clients. All of them are drawn in advance.
func (run *simRun) scheduleArrivals() {
	for _, e := range planArrivals(run.scenario, run.loadRandom) {
		run.At(e.submittedAt, func() {
			run.result.recordOffer(e)
			run.submit(e, e.expiry, forwarderFor(e, run.networkRandom, len(run.forwarders)))
		})
	}
}

// submit submits an effect to forwarder n as a new message.
func (run *simRun) submit(e *effect, expiry float64, n int) {
	run.After(float64(run.scenario.NetworkDelay), func() {
		f := run.forwarders[n]
		if !f.up { // the connection is refused, and the client tries the next forwarder after a delay
			run.After(failoverDelay, func() {
				if run.Now() < expiry {
					run.submit(e, expiry, nextForwarder(e, n, len(run.forwarders)))
				}
			})
			return
		}
		f.do(func() {
			if run.Now() < expiry {
				f.admit(e, expiry)
			}
		})
	})
}

// resubmit submits an effect again after it was refused or rejected, if the scenario and its expiry allow it.
func (run *simRun) resubmit(e *effect, retryAfter float64) {
	expiry, wait, resubmit := e.resubmission(run.scenario, run.Now(), retryAfter, run.networkRandom)
	if !resubmit {
		return
	}
	run.After(wait, func() { run.submit(e, expiry, forwarderFor(e, run.networkRandom, len(run.forwarders))) })
}

// notifyClient notifies the client of a final answer, after the network delay.
func (run *simRun) notifyClient(s *submission, answer string, retryAfter float64) {
	run.After(float64(run.scenario.NetworkDelay), func() {
		run.log.FinalAnswer(s.id, answer)
		if answer == answerRejected {
			run.resubmit(s.effect, retryAfter)
		}
	})
}
