package sim

import (
	"math"
	"slices"

	"spanflow/scheduler"
)

// Reconcile answers messages that can no longer be sent, and sends those that may be sent now.
func (b *baseline) Reconcile() {
	for _, m := range b.inSendingOrder() {
		if m.openAttempts > 0 && !(b.misbehavior == overlapsAttempts && m.openAttempts == 1 && b.now > m.notBefore) {
			continue
		}
		if exhausted, rejectable := b.exhausted(m); exhausted {
			b.answerExhausted(m, rejectable)
			continue
		}
		if b.now < m.notBefore || b.openCalls >= b.settings.ConcurrencyLimit {
			continue
		}
		d := b.destinations[m.handle.Dest.ID]
		if m.inOrder() && d.keyQueues[m.handle.Key][0] != m && b.misbehavior != breaksKeyOrder {
			continue
		}
		if e := b.pickEndpoint(d, m); e != nil {
			b.send(m, e, d)
		}
	}
	if len(b.unanswered) > 0 && !b.timerSet {
		b.timerSet = true
		b.host.Wake(baselineTick)
	}
}

// inSendingOrder returns the unanswered messages in the order of their arrival. The oracle sends those that have missed
// their latency objective last.
func (b *baseline) inSendingOrder() []*baselineMessage {
	all := slices.Clone(b.unanswered)
	if !b.oracle {
		return all
	}
	late := func(m *baselineMessage) bool {
		return b.now > m.expiry-m.messageType.TimeToLive+m.messageType.LatencyObjective
	}
	slices.SortStableFunc(all, func(x, y *baselineMessage) int {
		switch lateX, lateY := late(x), late(y); {
		case lateX == lateY:
			return 0
		case lateY:
			return -1
		}
		return 1
	})
	return all
}

// exhausted reports whether a message must not be sent any more, and whether it may be rejected rather than failed.
func (b *baseline) exhausted(m *baselineMessage) (exhausted, rejectable bool) {
	retryable := m.firstRanAt == 0 || m.messageType.Idempotency == scheduler.Idempotent
	switch {
	case b.now >= m.expiry-minAttemptTime || m.attempts >= b.settings.MaxAttempts:
		return true, retryable
	case retryable:
		return false, false
	case m.messageType.Idempotency == scheduler.AtMostOnce:
		return b.misbehavior != repeatsAtMostOnce, false
	}
	return b.now > m.firstRanAt+m.messageType.DeduplicationWindow-baselineTimeout-0.5, false
}

// answerExhausted rejects or fails a message that must not be sent any more.
func (b *baseline) answerExhausted(m *baselineMessage, rejectable bool) {
	if b.misbehavior == neverAnswers || b.misbehavior == answersLate && b.now < m.expiry+1 {
		return
	}
	b.finish(m)
	answers := 1
	if b.misbehavior == answersTwice {
		answers = 2
	}
	for range answers {
		if rejectable {
			b.host.Reject(m.handle, b.retryAfter())
		} else {
			b.host.Fail(m.handle)
		}
	}
}

// pickEndpoint returns the endpoint that a message is sent to, or nil if it cannot be sent now.
func (b *baseline) pickEndpoint(d *baselineDestination, m *baselineMessage) *baselineEndpoint {
	if b.bucket && !d.refill(b.now) {
		return nil
	}
	var best *baselineEndpoint
	leastInService := 0
	for i := range d.endpoints {
		e := d.endpoints[(d.next+i)%len(d.endpoints)]
		if !b.callable(e, m) {
			continue
		}
		if b.joinsBatch(e) {
			return e
		}
		if b.oracle {
			ready, inService := b.inspect(e.handle.ID)
			if ready && (best == nil || inService < leastInService) {
				best, leastInService = e, inService
			}
			continue
		}
		if best == nil || b.leastLoaded && e.openCalls < best.openCalls {
			best = e
		}
	}
	return best
}

// refill refills the token bucket and reports whether a token is available.
func (d *baselineDestination) refill(now float64) bool {
	d.tokens = math.Min(bucketBurst, d.tokens+(now-d.refilledAt)*math.Max(1, d.rate*bucketGrowth))
	d.rate *= math.Exp(d.refilledAt - now)
	d.refilledAt = now
	return !(d.tokens < 1)
}

// callable reports whether a message may be sent to an endpoint.
func (b *baseline) callable(e *baselineEndpoint, m *baselineMessage) bool {
	switch {
	case e.state == scheduler.Removed:
		return false
	case e.state != scheduler.Ready && b.misbehavior != callsDraining:
		return false
	case b.now < e.blockedUntil+0.005 && b.misbehavior != ignoresRetryAfter:
		return false
	}
	t := m.messageType
	keyKnownElsewhere := t.Idempotency == scheduler.IdempotentWithKey && t.DeduplicatedPerZone && e.zone != m.zone
	return m.firstRanAt <= 0 || !keyKnownElsewhere
}

// joinsBatch reports whether a message would join a call that began at the current time, so that it needs no slot.
func (b *baseline) joinsBatch(e *baselineEndpoint) bool {
	return b.oracle && e.callStarted == b.now && e.callMessages < e.batchSize
}

// send sends a message to an endpoint and updates the counters of messages, calls and tokens.
func (b *baseline) send(m *baselineMessage, e *baselineEndpoint, d *baselineDestination) {
	if d.next++; b.joinsBatch(e) {
		e.callMessages++
	} else {
		e.callStarted, e.callMessages = b.now, 1
	}
	d.tokens--
	if m.openAttempts == 0 {
		b.openCalls++
		e.openCalls++
		m.endpoint = e
	}
	m.openAttempts++
	m.attempts++
	m.notBefore = b.now + baselineTick
	b.host.Send(m.handle, e.handle, math.Min(baselineTimeout, m.expiry-b.now))
}
