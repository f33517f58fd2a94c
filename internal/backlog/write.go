package backlog

import (
	"errors"
	"io"
)

// Used returns what the store's files take on disk, in bytes.
func (s *Store) Used() int64 {
	used := int64(0)
	for _, g := range s.segments {
		used += g.size + g.excess
	}
	if s.ballast {
		used += s.bounds.SegmentBytes
	}
	return used
}

// Written returns how many bytes this process has written to the store.
func (s *Store) Written() int64 { return s.written }

// ensureSpace compacts at most a segment's bytes until a record has room, or returns a FullError. The room that the
// releases of all stored messages will take is never given to messages.
func (s *Store) ensureSpace(size int64) error {
	full := &FullError{Bytes: s.bytes, Bound: s.bounds.capacity()}
	if s.bytes+size > s.bounds.capacity() {
		return full
	}
	if s.freeBytes() >= size+singleReleaseSize {
		return nil
	}
	s.compactUpTo(s.bounds.SegmentBytes)
	if s.freeBytes() >= size+singleReleaseSize {
		return nil
	}
	return full
}

// freeBytes returns how many bytes may still be written for new messages.
func (s *Store) freeBytes() int64 {
	kept := int64(s.messages)*singleReleaseSize + reservedSegments*s.bounds.SegmentBytes
	if !s.ballast {
		kept += s.bounds.SegmentBytes
	}
	return s.bounds.Bytes - s.Used() - kept
}

// write appends records to the last segment in one call. With an error none of them counts.
func (s *Store) write(b []byte) (where *segment, offset uint32, err error) {
	if err := s.prepareHead(int64(len(b))); err != nil {
		return nil, 0, err
	}
	where = s.segments[len(s.segments)-1]
	n, err := s.head.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		s.truncateHead(int64(len(b)))
		return nil, 0, err
	}
	offset = uint32(where.size)
	where.size += int64(n)
	s.written += int64(n)
	return where, offset, nil
}

// truncateHead removes what a failed write has left at the end of the last segment. If that fails too, the next
// segment's header says how much of this one counts.
func (s *Store) truncateHead(most int64) {
	g := s.segments[len(s.segments)-1]
	if s.head.Truncate(g.size) != nil {
		g.excess = most
		_ = s.head.Close() // what it holds counts no further than the next header says
		s.head = nil
	}
}

// writeEssential writes records that a full disk must not prevent, since they lead to free space: it releases the
// ballast for them.
func (s *Store) writeEssential(b []byte) (where *segment, offset uint32, err error) {
	where, offset, err = s.write(b)
	if err != nil && isDiskFull(err) && s.releaseBallast() {
		return s.write(b)
	}
	return where, offset, err
}

// prepareHead makes sure that the last segment can be written to and has room.
func (s *Store) prepareHead(size int64) error {
	if s.head != nil {
		have := s.segments[len(s.segments)-1].size
		if have == segmentHeaderSize || have+size <= s.bounds.SegmentBytes {
			return nil
		}
	}
	return s.rotate()
}

// rotate creates a new segment.
func (s *Store) rotate() error {
	h := header{number: 1, lastSeq: s.lastSeq}
	if n := len(s.segments); n > 0 {
		h.number, h.previous = s.segments[n-1].number+1, uint32(s.segments[n-1].size)
	}
	name := segmentName(s.dir, h.number)
	f, err := s.fs.Create(name)
	if err != nil {
		_ = s.fs.Remove(name) // of an earlier attempt
		return err
	}
	n, err := f.Write(h.encode())
	if err == nil && n < segmentHeaderSize {
		err = io.ErrShortWrite
	}
	if err != nil {
		err = errors.Join(err, f.Close())
		_ = s.fs.Remove(name)
		return err
	}
	if s.head != nil {
		_ = s.head.Close() // each of its writes has told its own error
	}
	s.head = f
	s.written += segmentHeaderSize
	s.segments = append(s.segments, &segment{number: h.number, size: segmentHeaderSize})
	return nil
}
