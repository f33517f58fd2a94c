package backlog

import (
	"container/heap"
)

// Release removes messages that are finished or were recorded in the write-ahead log. Messages that are not stored are
// ignored. If it returns an error, no message was released. The error is ErrClosed or an error of the filesystem.
func (s *Store) Release(refs []Ref) error {
	if s.lock == nil {
		return ErrClosed
	}
	b := s.buf[:0]
	var stored []Ref
	for i := 0; i < len(refs); {
		lane, from := refs[i].Lane, len(stored)
		for ; i < len(refs) && refs[i].Lane == lane && len(stored)-from < maxReleased; i++ {
			if s.Contains(lane, refs[i].Seq) {
				stored = append(stored, refs[i])
			}
		}
		if len(stored) > from {
			b = encodeRelease(b, lane, stored[from:])
		}
	}
	if len(stored) == 0 {
		return nil
	}
	s.buf = b
	if _, _, err := s.writeEssential(b); err != nil {
		return err
	}
	s.compact(s.removeReleased(stored))
	return nil
}

// removeReleased removes released messages from the index. It returns the total size of their records.
func (s *Store) removeReleased(refs []Ref) (bytes int64) {
	for _, r := range refs {
		l := s.lanes[r.Lane]
		if l == nil {
			continue
		}
		e := l.find(r.Seq)
		if e == nil {
			continue
		}
		bytes += e.size()
		s.segment(e.segment).live--
		s.addToSums(l, e, -1)
		s.ids.remove(r.idHash)
		if e.keepsOrder() {
			s.keys.remove(r.keyHash, l.number)
		}
		l.heapRemove(e)
		if l.liveCount() == 0 {
			heap.Remove(&s.expiries, l.heapIndex)
			s.removeLane(l)
			continue
		}
		l.trim()
		heap.Fix(&s.expiries, l.heapIndex)
	}
	return bytes
}
