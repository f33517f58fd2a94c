package backlog

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
)

// Used is what the store's files take on disk, in bytes.
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

// Written is how many bytes this process has written to the store.
func (s *Store) Written() int64 { return s.written }

// makeRoom frees segments until a record has room, a bounded number of bytes long. The room that the releases of all
// stored messages will take is never given to messages.
func (s *Store) makeRoom(size int64) error {
	full := &FullError{Bytes: s.bytes, Bound: s.bounds.room()}
	if s.bytes+size > s.bounds.room() {
		return full
	}
	if s.free() >= size+loneRelease {
		return nil
	}
	s.freeUpTo(s.bounds.SegmentBytes)
	if s.free() >= size+loneRelease {
		return nil
	}
	return full
}

// free is how many bytes may still be written for new messages.
func (s *Store) free() int64 {
	kept := int64(s.messages)*loneRelease + reserved*s.bounds.SegmentBytes
	if !s.ballast {
		kept += s.bounds.SegmentBytes
	}
	return s.bounds.Bytes - s.Used() - kept
}

// write appends records to the last segment in one call. With an error none of them counts.
func (s *Store) write(b []byte) (where *segment, offset uint32, err error) {
	if err := s.readyHead(int64(len(b))); err != nil {
		return nil, 0, err
	}
	where = s.segments[len(s.segments)-1]
	n, err := s.head.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		s.cutHead(int64(len(b)))
		return nil, 0, err
	}
	offset = uint32(where.size)
	where.size += int64(n)
	s.written += int64(n)
	return where, offset, nil
}

// cutHead takes what a failed write has left off the last segment. If that fails too, the next segment's header says
// how much of this one counts.
func (s *Store) cutHead(most int64) {
	g := s.segments[len(s.segments)-1]
	if s.head.Truncate(g.size) != nil {
		g.excess = most
		s.head.Close()
		s.head = nil
	}
}

// writeEssential writes what a full disk must not prevent, since it leads to room: it gives up the ballast for it.
func (s *Store) writeEssential(b []byte) (where *segment, offset uint32, err error) {
	where, offset, err = s.write(b)
	if err != nil && diskFull(err) && s.dropBallast() {
		return s.write(b)
	}
	return where, offset, err
}

// readyHead makes sure that the last segment can be written to and has room.
func (s *Store) readyHead(size int64) error {
	if s.head != nil {
		have := s.segments[len(s.segments)-1].size
		if have == segmentHeader || have+size <= s.bounds.SegmentBytes {
			return nil
		}
	}
	return s.rotate()
}

// rotate begins a new segment.
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
	if err == nil && n < segmentHeader {
		err = io.ErrShortWrite
	}
	if err != nil {
		f.Close()
		_ = s.fs.Remove(name)
		return err
	}
	if s.head != nil {
		s.head.Close()
	}
	s.head = f
	s.written += segmentHeader
	s.segments = append(s.segments, &segment{number: h.number, size: segmentHeader})
	return nil
}

// freeSegments frees segments after so many bytes were written or released, in proportion to them.
func (s *Store) freeSegments(bytes int64) {
	s.credit = min(s.credit+workFor*bytes, s.bounds.SegmentBytes)
	s.credit -= s.freeUpTo(s.credit)
}

// freeUpTo looks through up to so many bytes of the oldest segments, writes what is live in them anew, and removes
// them. A kill at any moment leaves messages in two places that say the same. It gives how many bytes it looked at.
// An error ends it, also that a segment cannot be removed: the
// next write tries again.
func (s *Store) freeUpTo(budget int64) (spent int64) {
	s.dropDead()
	for spent < budget && s.wasteful() && len(s.segments) > 1 {
		n, err := s.copyLive()
		if err != nil || n == 0 {
			return spent
		}
		spent += n
		s.dropDead()
	}
	return spent
}

// wasteful tells if so much on disk is dead that it is worth writing the live rest of the oldest segment anew.
func (s *Store) wasteful() bool {
	dead := s.Used() - s.bytes
	if s.ballast {
		dead -= s.bounds.SegmentBytes
	}
	if s.free() < s.bounds.SegmentBytes {
		return dead > s.bytes/8
	}
	return dead > s.bytes+reserved*s.bounds.SegmentBytes
}

// dropDead removes the oldest segments while nothing in them is live. Only the oldest may go: a release must outlast
// the message's record.
func (s *Store) dropDead() {
	if s.messages == 0 && len(s.segments) == 1 && s.segments[0].size > s.bounds.SegmentBytes/2 {
		if s.rotate() != nil {
			return
		}
	}
	dropped := false
	for len(s.segments) > 1 && s.segments[0].live == 0 {
		number := s.segments[0].number
		s.closeReader(number)
		if err := s.fs.Remove(segmentName(s.dir, number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			break
		}
		s.segments = append([]*segment(nil), s.segments[1:]...)
		s.cursor = 0
		dropped = true
	}
	if dropped && !s.ballast {
		s.makeBallast()
	}
}

func (s *Store) closeReader(number uint32) {
	for i, r := range s.readers {
		if r.number == number {
			r.file.Close()
			s.readers = append(s.readers[:i], s.readers[i+1:]...)
			return
		}
	}
}

// moved is a live record that was copied.
type moved struct {
	entry  *entry
	offset int // within the copies
}

// copyLive writes the live records of the oldest segment's next part anew and gives how many bytes it looked at.
func (s *Store) copyLive() (looked int64, err error) {
	oldest := s.segments[0]
	from := max(s.cursor, segmentHeader)
	file, err := s.reader(oldest.number)
	if err != nil {
		return 0, err
	}
	if s.scanner.buf == nil {
		s.scanner.buf = make([]byte, min(scanBuffer, s.bounds.SegmentBytes))
	}
	s.scanner.file, s.scanner.name, s.scanner.end = file, segmentName(s.dir, oldest.number), oldest.size
	var copies []byte
	var found []moved
	most := from + int64(len(s.scanner.buf))
	upTo, err := s.scanner.scan(from, func(r scanned) error {
		if e := s.liveAt(oldest.number, r); e != nil {
			found = append(found, moved{e, len(copies)})
			copies = append(copies, r.raw...)
		}
		if r.offset+int64(len(r.raw)) >= most {
			return errStop
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	if len(copies) > 0 {
		where, offset, err := s.writeEssential(copies)
		if err != nil {
			return 0, err
		}
		for _, m := range found {
			m.entry.segment, m.entry.offset = where.number, offset+uint32(m.offset)
		}
		where.live += len(found)
		oldest.live -= len(found)
	}
	s.cursor = upTo
	return upTo - from, nil
}

// liveAt gives the entry of a record if the record is the one that counts.
func (s *Store) liveAt(number uint32, r scanned) *entry {
	if r.payload[0] != kindMessage {
		return nil
	}
	f, ok := decodeFixed(r.payload[1:])
	if !ok {
		return nil
	}
	l := s.lanes[Lane{f.destination, f.tenant}]
	if l == nil {
		return nil
	}
	e := l.find(f.seq)
	if e == nil || e.segment != number || int64(e.offset) != r.offset {
		return nil
	}
	return e
}

func (s *Store) ballastFile() string { return filepath.Join(s.dir, ballastName) }

// findBallast takes up the ballast of an earlier process, if it has the right size, and removes any other.
func (s *Store) findBallast() {
	f, err := s.fs.Open(s.ballastFile())
	if err != nil {
		return
	}
	size, err := f.Size()
	f.Close()
	s.ballast = err == nil && size == s.bounds.SegmentBytes
	if !s.ballast {
		_ = s.fs.Remove(s.ballastFile())
	}
}

// makeBallast sets disk space aside that is given up once the disk is full, so that the store can be drained then. It
// is tried again when a segment goes.
func (s *Store) makeBallast() {
	if s.ballast || s.Used()+s.bounds.SegmentBytes > s.bounds.Bytes {
		return
	}
	f, err := s.fs.Create(s.ballastFile())
	if err != nil {
		return
	}
	zeros := make([]byte, min(scanBuffer, s.bounds.SegmentBytes))
	for left := s.bounds.SegmentBytes; left > 0 && err == nil; {
		var n int
		n, err = f.Write(zeros[:min(left, int64(len(zeros)))])
		if err == nil && n == 0 {
			err = io.ErrShortWrite
		}
		left -= int64(n)
	}
	f.Close()
	if err != nil {
		_ = s.fs.Remove(s.ballastFile())
		return
	}
	s.ballast = true
}

// dropBallast gives up the space set aside; it tells if there was any.
func (s *Store) dropBallast() bool {
	if !s.ballast {
		return false
	}
	err := s.fs.Remove(s.ballastFile())
	s.ballast = err != nil && !errors.Is(err, fs.ErrNotExist)
	return !s.ballast
}
