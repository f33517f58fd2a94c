package backlog

import (
	"errors"
	"io"
)

// Used returns the size of the store's files on disk, in bytes, including the ballast.
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

// Written returns how many bytes were written to segments since Open.
func (s *Store) Written() int64 { return s.written }

// ensureSpace returns a FullError if there is no room for a record. If necessary it first compacts, scanning at most
// the bytes of one segment. The space for the release records of all stored messages is never used for messages.
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

// freeBytes returns how many bytes are left for new messages.
func (s *Store) freeBytes() int64 {
	reserved := int64(s.messages)*singleReleaseSize + reservedSegments*s.bounds.SegmentBytes
	if !s.ballast {
		reserved += s.bounds.SegmentBytes
	}
	return s.bounds.Bytes - s.Used() - reserved
}

// write appends records to the last segment in one call. If it returns an error, none of them is valid.
func (s *Store) write(b []byte) (seg *segment, offset uint32, err error) {
	if err := s.prepareActive(int64(len(b))); err != nil {
		return nil, 0, err
	}
	seg = s.segments[len(s.segments)-1]
	n, err := s.active.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		s.truncateActive(int64(len(b)))
		return nil, 0, err
	}
	offset = uint32(seg.size)
	seg.size += int64(n)
	s.written += int64(n)
	return seg, offset, nil
}

// truncateActive removes the bytes that a failed write may have left at the end of the last segment, at most maxExcess.
// If that fails too, it closes the segment; the header of the next one will have the number of its valid bytes.
func (s *Store) truncateActive(maxExcess int64) {
	g := s.segments[len(s.segments)-1]
	if s.active.Truncate(g.size) != nil {
		g.excess = maxExcess
		_ = s.active.Close() // errors do not matter: the valid bytes were written
		s.active = nil
	}
}

// writeEssential writes records that help to free space. If the disk is full, it releases the ballast to make room for
// them.
func (s *Store) writeEssential(b []byte) (seg *segment, offset uint32, err error) {
	seg, offset, err = s.write(b)
	if err != nil && isDiskFull(err) && s.releaseBallast() {
		return s.write(b)
	}
	return seg, offset, err
}

// prepareActive ensures that the last segment is open for writing and has room for size bytes.
func (s *Store) prepareActive(size int64) error {
	if s.active != nil {
		have := s.segments[len(s.segments)-1].size
		if have == segmentHeaderSize || have+size <= s.bounds.SegmentBytes {
			return nil
		}
	}
	return s.rotate()
}

// rotate creates a new segment and makes it the active one.
func (s *Store) rotate() error {
	h := header{number: 1, lastSeq: s.lastSeq}
	if n := len(s.segments); n > 0 {
		h.number, h.previous = s.segments[n-1].number+1, uint32(s.segments[n-1].size)
	}
	name := segmentName(s.dir, h.number)
	f, err := s.fs.Create(name)
	if err != nil {
		_ = s.fs.Remove(name) // an earlier failed attempt may have left it
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
	if s.active != nil {
		_ = s.active.Close() // write errors were returned by the earlier writes
	}
	s.active = f
	s.written += segmentHeaderSize
	s.segments = append(s.segments, &segment{number: h.number, size: segmentHeaderSize})
	return nil
}
