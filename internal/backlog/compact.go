package backlog

import (
	"errors"
	"io/fs"
)

const scanBufferSize = 64 << 10 // bytes per read during compaction

// compactionRate is the number of bytes that compaction scans for each byte written or released.
const compactionRate = 8

// compact frees segments after the given number of bytes was written or released. The work that it does is proportional
// to that number.
func (s *Store) compact(bytes int64) {
	s.compactionBudget = min(s.compactionBudget+compactionRate*bytes, s.bounds.SegmentBytes)
	s.compactionBudget -= s.compactUpTo(s.compactionBudget)
}

// compactUpTo scans up to budget bytes of the oldest segments, copies their live records to the last segment, and
// removes the segments that it has copied completely. It returns the number of bytes scanned. If the process is killed
// meanwhile, at worst two equal copies of a message are left. It stops at the first error, or if a segment cannot be
// removed; the next write tries again.
func (s *Store) compactUpTo(budget int64) (scanned int64) {
	s.removeUnusedSegments()
	for scanned < budget && s.shouldCompact() && len(s.segments) > 1 {
		n, err := s.copyLiveRecords()
		if err != nil || n == 0 {
			return scanned
		}
		scanned += n
		s.removeUnusedSegments()
	}
	return scanned
}

// shouldCompact reports whether the dead bytes on disk make it worthwhile to copy the live records of the oldest
// segment.
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

// removeUnusedSegments removes the oldest segments as long as they have no live records. Segments are removed in order
// because a release record must not be removed before the record of its message.
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

// copiedRecord is a live record that compaction copies.
type copiedRecord struct {
	entry  *entry
	offset int // in the buffer of copied records
}

// copyLiveRecords copies the live records of the next part of the oldest segment to the last segment. It returns the
// number of bytes scanned.
func (s *Store) copyLiveRecords() (scanned int64, err error) {
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
	scanLimit := from + int64(len(s.scanner.buf))
	upTo, err := s.scanner.scan(from, func(r scannedRecord) error {
		if e := s.liveEntry(oldest.number, r); e != nil {
			found = append(found, copiedRecord{e, len(copies)})
			copies = append(copies, r.raw...)
		}
		if r.offset+int64(len(r.raw)) >= scanLimit {
			return errStop
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	if len(copies) > 0 {
		seg, offset, err := s.writeEssential(copies)
		if err != nil {
			return 0, err
		}
		for _, m := range found {
			m.entry.segment, m.entry.offset = seg.number, offset+uint32(m.offset)
		}
		seg.live += len(found)
		oldest.live -= len(found)
	}
	s.compactedUpTo = upTo
	return upTo - from, nil
}

// liveEntry returns the index entry of a record, or nil if the entry does not refer to this record (it was released or
// copied).
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
