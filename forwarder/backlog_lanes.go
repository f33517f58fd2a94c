package forwarder

import (
	"container/list"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/wal"
	"spanflow/scheduler"
)

// laneOf is the lane of a message of the write-ahead log.
func laneOf(e *wal.Entry) backlog.Lane {
	return backlog.Lane{Destination: e.Destination, Tenant: uint32(e.Tenant)}
}

// scheduledLane is the lane of a message that the scheduler has.
func scheduledLane(m *scheduler.Message) backlog.Lane {
	return backlog.Lane{Destination: m.Dest.ID, Tenant: uint32(m.Tenant)}
}

// policyLane is a lane as the policy has it.
func policyLane(l backlog.Lane) policy.Lane {
	return policy.Lane{Destination: l.Destination, Tenant: l.Tenant}
}

// storeLane is a lane of the policy as the store has it.
func storeLane(l policy.Lane) backlog.Lane {
	return backlog.Lane{Destination: l.Destination, Tenant: l.Tenant}
}

// keepsOrder reports whether a message's type keeps the order of its key. An unknown type counts as the first one, as
// for the scheduler.
func (loop *eventLoop) keepsOrder(e *wal.Entry) bool {
	return loop.config.Scheduler.Types[loop.messages.types[e.Type]].InOrder
}

// keyElsewhere reports whether a message has to go after one of its ordering key that is stored in another lane.
func (loop *eventLoop) keyElsewhere(e *wal.Entry) bool {
	return loop.keepsOrder(e) && loop.backlog.store.KeyInOtherLane(e.Key, laneOf(e))
}

// storedMessage is what the store keeps of a message.
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

// entryOf is what the write-ahead log keeps of a stored message.
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

// enter puts a message among those of its lane in memory, in the order of admission: one that is to be answered may be
// newer than what is brought back later.
func (b *backlogState) enter(m *trackedMessage) {
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

// remove takes a message out of its lane, and reports whether it was there.
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

// noteInMemory enters a message in its lane, if a backlog store is used.
func (loop *eventLoop) noteInMemory(m *trackedMessage) {
	if loop.backlog == nil {
		return
	}
	loop.backlog.enter(m)
	loop.backlog.policy.Held(policyLane(m.lane))
	loop.noteReachability(m.scheduled.Dest)
}

// noteLeftMemory takes an answered message out of its lane, if it is in one.
func (loop *eventLoop) noteLeftMemory(m *trackedMessage) {
	if loop.backlog.remove(m) {
		loop.backlog.policy.Ended(policyLane(m.lane))
	}
}

// noteReachability informs the policy whether a destination answers.
func (loop *eventLoop) noteReachability(d *scheduler.Destination) {
	if loop.backlog != nil {
		loop.backlog.policy.SetUnavailable(d.ID, loop.scheduler.Unresponsive(d))
	}
}
