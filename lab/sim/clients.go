package sim

// The final answers, as the audit and the result name them: a rejected message may be submitted again, a failed one has
// been given up.
const (
	answerDelivered = "delivered"
	answerRejected  = "returned"
	answerFailed    = "abandoned"
)

// scheduleArrivals puts what clients want on the time line. All of it is drawn beforehand.
func (run *simRun) scheduleArrivals() {
	for _, e := range planArrivals(run.scenario, run.loadRandom) {
		run.At(e.submittedAt, func() {
			run.result.recordOffer(e)
			run.submit(e, e.expiry, forwarderFor(e, run.networkRandom, len(run.forwarders)))
		})
	}
}

// submit submits an effect to a forwarder, as a message of its own.
func (run *simRun) submit(e *effect, expiry float64, n int) {
	run.After(float64(run.scenario.NetworkDelay), func() {
		f := run.forwarders[n]
		if !f.up { // refused: to another a little later
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

// resubmit submits again what was refused or returned, if its client does.
func (run *simRun) resubmit(e *effect, retryAfter float64) {
	expiry, wait, resubmit := e.resubmission(run.scenario, run.Now(), retryAfter, run.networkRandom)
	if !resubmit {
		return
	}
	run.After(wait, func() { run.submit(e, expiry, forwarderFor(e, run.networkRandom, len(run.forwarders))) })
}

// notifyClient gives a client a final answer.
func (run *simRun) notifyClient(s *submission, answer string, retryAfter float64) {
	run.After(float64(run.scenario.NetworkDelay), func() {
		run.log.FinalAnswer(s.id, answer)
		if answer == answerRejected {
			run.resubmit(s.effect, retryAfter)
		}
	})
}
