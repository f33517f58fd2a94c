package backlog

import (
	"errors"
	"io/fs"
)

const scanBufferSize = 64 << 10 // bytes read at once while segments are compacted

// compactionRate is how many bytes are scanned, to free segments, for each byte written or released.
const compactionRate = 8

// compact frees segments after so many bytes were written or released, in proportion to them.
func (s *Store) compact(bytes int64) {
	s.compactionBudget = min(s.compactionBudget+compactionRate*bytes, s.bounds.SegmentBytes)
	s.compactionBudget -= s.compactUpTo(s.compactionBudget)
}

// compactUpTo scans up to budget bytes of the oldest segments, copies their live records to the last segment, and
// removes them. It returns how many bytes it scanned. A kill at any moment leaves at worst two equal copies of a
// message. Any error ends it, also that a segment cannot be removed: the next write tries again.
func (s *Store) compactUpTo(budget int64) (spent int64) {
	s.removeUnusedSegments()
	for spent < budget && s.shouldCompact() && len(s.segments) > 1 {
		n, err := s.copyLiveRecords()
		if err != nil || n == 0 {
			return spent
		}
		spent += n
		s.removeUnusedSegments()
	}
	return spent
}

// shouldCompact reports whether so much on disk is dead that the live rest of the oldest segment is worth copying.
func (s *Store) shouldCompact() bool {
	dead := s.Used() - s.bytes
	if s.ballast {
		dead -= s.bounds.SegmentBytes
	}
	if s.freeBytes() < s.bounds.SegmentBytes {
		return dead > s.bytes/8
	}
	return dead > s.bytes+reservedSegments*s.bounds.SegmentBytes
}

// removeUnusedSegments removes the oldest segments while nothing in them is live. Only the oldest may be removed: a
// release must outlast the message's record.
func (s *Store) removeUnusedSegments() {
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
		s.compactedUpTo = 0
		dropped = true
	}
	if dropped && !s.ballast {
		s.makeBallast()
	}
}

// copiedRecord is a live record that was copied.
type copiedRecord struct {
	entry  *entry
	offset int // within the copies
}

// copyLiveRecords copies the live records in the next part of the oldest segment to the last one and returns how many
// bytes it scanned.
func (s *Store) copyLiveRecords() (looked int64, err error) {
	oldest := s.segments[0]
	from := max(s.compactedUpTo, segmentHeaderSize)
	file, err := s.reader(oldest.number)
	if err != nil {
		return 0, err
	}
	if s.scanner.buf == nil {
		s.scanner.buf = make([]byte, min(scanBufferSize, s.bounds.SegmentBytes))
	}
	s.scanner.file, s.scanner.name, s.scanner.end = file, segmentName(s.dir, oldest.number), oldest.size
	var copies []byte
	var found []copiedRecord
	most := from + int64(len(s.scanner.buf))
	upTo, err := s.scanner.scan(from, func(r scannedRecord) error {
		if e := s.liveEntry(oldest.number, r); e != nil {
			found = append(found, copiedRecord{e, len(copies)})
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
	s.compactedUpTo = upTo
	return upTo - from, nil
}

// liveEntry returns the entry of a record if the record is the one that counts, else nil.
func (s *Store) liveEntry(number uint32, r scannedRecord) *entry {
	if r.payload[0] != kindMessage {
		return nil
	}
	f, ok := decodeMessageFixed(r.payload[1:])
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
