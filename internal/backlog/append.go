package backlog

import (
	"container/heap"
)

// Append stores a message after the newest one of its lane or, if its number is lower than those of all stored messages
// of the lane, before the oldest one. If it returns an error, nothing was stored. The error is ErrFull (until other
// messages are released), ErrStored, ErrOrder, ErrTooLarge, ErrClosed or an error of the filesystem.
func (s *Store) Append(m *Message) error {
	if s.lock == nil {
		return ErrClosed
	}
	if !m.fits() {
		return ErrTooLarge
	}
	l := s.lanes[m.Lane]
	if l != nil {
		if err := l.checkOrder(m.Seq); err != nil {
			return err
		}
	}
	s.buf = beginRecord(s.buf[:0], kindMessage)
	s.buf = m.encode(s.buf)
	endRecord(s.buf, 0)
	size := len(s.buf)
	if err := s.ensureSpace(int64(size)); err != nil {
		return err
	}
	seg, offset, err := s.write(s.buf)
	if err != nil {
		if isDiskFull(err) {
			return &FullError{Bytes: s.bytes, Bound: s.bounds.capacity(), Err: err}
		}
		return err
	}
	packed := pack(size, m.State(), m.keepsOrder())
	s.addToIndex(l, m, seg, entry{seq: m.Seq, expiry: m.Expiry, segment: seg.number, offset: offset, packed: packed})
	s.compact(int64(size))
	return nil
}

// checkOrder returns an error if a message with this number cannot be stored in the lane.
func (l *lane) checkOrder(seq uint64) error {
	switch {
	case seq > l.last().seq || seq < l.first().seq:
		return nil
	case l.find(seq) != nil:
		return ErrStored
	}
	return ErrOrder
}

// addToIndex adds the entry of a message that was written to seg; l is nil if its lane has no stored messages yet.
func (s *Store) addToIndex(l *lane, m *Message, seg *segment, e entry) {
	fresh := l == nil
	if fresh {
		l = s.newLane(m.Lane)
	}
	var ordinal uint32
	if l.empty() || m.Seq > l.last().seq {
		ordinal = l.pushBack(e)
	} else {
		ordinal = l.pushFront(e)
	}
	l.heapPush(ordinal)
	if fresh {
		heap.Push(&s.expiries, l)
	} else {
		heap.Fix(&s.expiries, l.heapIndex)
	}
	seg.live++
	s.addToSums(l, &e, 1)
	s.ids.add(hashID(m.ID))
	if e.keepsOrder() {
		s.keys.add(hashKey(m.Key), l.number)
	}
	s.lastSeq = max(s.lastSeq, m.Seq)
}

// newLane adds a lane that has no stored messages yet.
func (s *Store) newLane(id Lane) *lane {
	l := &lane{id: id, number: s.numbers.allocate()}
	s.lanes[id] = l
	return l
}

// removeLane removes a lane that has no stored messages left.
func (s *Store) removeLane(l *lane) {
	s.numbers.release(l.number)
	delete(s.lanes, l.id)
}

// addToSums adds an entry to the totals of the store and its lane if sign is 1, and subtracts it if sign is -1.
func (s *Store) addToSums(l *lane, e *entry, sign int) {
	s.messages += sign
	s.bytes += int64(sign) * e.size()
	l.bytes += int64(sign) * e.size()
	l.states[e.state()] += sign
}
