package forwarder

import (
	"container/list"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/wal"
	"spanflow/scheduler"
)

// laneOf returns the lane of an entry of the write-ahead log.
func laneOf(e *wal.Entry) backlog.Lane {
	return backlog.Lane{Destination: e.Destination, Tenant: uint32(e.Tenant)}
}

// scheduledLane returns the lane of a message in the scheduler.
func scheduledLane(m *scheduler.Message) backlog.Lane {
	return backlog.Lane{Destination: m.Dest.ID, Tenant: uint32(m.Tenant)}
}

// policyLane converts a lane of the store to the policy's type.
func policyLane(l backlog.Lane) policy.Lane {
	return policy.Lane{Destination: l.Destination, Tenant: l.Tenant}
}

// storeLane converts a lane of the policy to the store's type.
func storeLane(l policy.Lane) backlog.Lane {
	return backlog.Lane{Destination: l.Destination, Tenant: l.Tenant}
}

// keepsOrder reports whether messages of the entry's type are sent in the order of their key. An unknown type counts as
// the first one, as in the scheduler.
func (loop *eventLoop) keepsOrder(e *wal.Entry) bool {
	return loop.config.Scheduler.Types[loop.messages.types[e.Type]].InOrder
}

// keyInOtherLane reports whether a message must be sent after one of its ordering key that is stored in another lane.
func (loop *eventLoop) keyInOtherLane(e *wal.Entry) bool {
	return loop.keepsOrder(e) && loop.backlog.store.KeyInOtherLane(e.Key, laneOf(e))
}

// storedMessage converts an entry of the write-ahead log to a message for the store.
func (loop *eventLoop) storedMessage(e *wal.Entry, accepted time.Time) *backlog.Message {
	return &backlog.Message{
		Seq:              e.Seq,
		Lane:             laneOf(e),
		Key:              e.Key,
		Ordered:          loop.keepsOrder(e),
		Type:             e.Type,
		ID:               e.ID,
		Body:             e.Body,
		AcceptedAt:       accepted.UnixMicro(),
		Expiry:           e.Expiry,
		Attempts:         uint32(e.Attempts),
		MayHaveRun:       e.FirstRanAt,
		MayHaveRunZone:   uint32(e.FirstRanZone),
		DeduplicationKey: e.IdempotencyKey,
		Frontend:         e.Frontend,
	}
}

// entryOf converts a stored message to an entry of the write-ahead log.
func entryOf(m *backlog.Message) *wal.Entry {
	return &wal.Entry{
		Seq:            m.Seq,
		Key:            m.Key,
		Destination:    m.Lane.Destination,
		Tenant:         int(m.Lane.Tenant),
		Type:           m.Type,
		ID:             m.ID,
		IdempotencyKey: m.DeduplicationKey,
		Expiry:         m.Expiry,
		Attempts:       int(m.Attempts),
		FirstRanAt:     m.MayHaveRun,
		FirstRanZone:   int(m.MayHaveRunZone),
		Body:           m.Body,
		Frontend:       m.Frontend,
	}
}

// insert adds a message to its lane in memory, in the order of admission. The message need not be the newest: one
// loaded early to be answered may be newer than messages loaded later.
func (b *backlogState) insert(m *trackedMessage) {
	lane := b.lanes[m.lane]
	if lane == nil {
		lane = list.New()
		b.lanes[m.lane] = lane
	}
	older := lane.Back()
	for older != nil && older.Value.(*trackedMessage).MessageID > m.MessageID {
		older = older.Prev()
	}
	if older == nil {
		m.laneElement = lane.PushFront(m)
	} else {
		m.laneElement = lane.InsertAfter(m, older)
	}
}

// remove removes a message from its lane in memory, and reports whether it was there.
func (b *backlogState) remove(m *trackedMessage) bool {
	if m.laneElement == nil {
		return false
	}
	lane := b.lanes[m.lane]
	lane.Remove(m.laneElement)
	m.laneElement = nil
	if lane.Len() == 0 {
		delete(b.lanes, m.lane)
	}
	return true
}

// addToLane adds a message to its lane in memory and informs the policy, if a backlog store is used.
func (loop *eventLoop) addToLane(m *trackedMessage) {
	if loop.backlog == nil {
		return
	}
	loop.backlog.insert(m)
	loop.backlog.policy.Held(policyLane(m.lane))
	loop.updateReachability(m.scheduled.Dest)
}

// removeFromLane removes an answered message from its lane in memory, if it is in one, and informs the policy.
func (loop *eventLoop) removeFromLane(m *trackedMessage) {
	if loop.backlog.remove(m) {
		loop.backlog.policy.Ended(policyLane(m.lane))
	}
}

// updateReachability informs the policy whether a destination answers.
func (loop *eventLoop) updateReachability(d *scheduler.Destination) {
	if loop.backlog != nil {
		loop.backlog.policy.SetUnavailable(d.ID, loop.scheduler.Unresponsive(d))
	}
}
