package backlog

import (
	"container/heap"
)

// Release removes messages that are back in the write-ahead log or finished. Those that are not stored are ignored.
// With an error none is released: ErrClosed, or one of the filesystem.
func (s *Store) Release(refs []Ref) error {
	if s.lock == nil {
		return ErrClosed
	}
	b := s.buf[:0]
	var held []Ref
	for i := 0; i < len(refs); {
		lane, from := refs[i].Lane, len(held)
		for ; i < len(refs) && refs[i].Lane == lane && len(held)-from < maxReleased; i++ {
			if s.Contains(lane, refs[i].Seq) {
				held = append(held, refs[i])
			}
		}
		if len(held) > from {
			b = encodeRelease(b, lane, held[from:])
		}
	}
	if len(held) == 0 {
		return nil
	}
	s.buf = b
	if _, _, err := s.writeEssential(b); err != nil {
		return err
	}
	s.compact(s.removeReleased(held))
	return nil
}

// removeReleased removes released messages from the index and returns the bytes that they took.
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
			heap.Remove(&s.expiries, l.heapAt)
			s.removeLane(l)
			continue
		}
		l.trim()
		heap.Fix(&s.expiries, l.heapAt)
	}
	return bytes
}
