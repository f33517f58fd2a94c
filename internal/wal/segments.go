package wal

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	diskBlock     = 512 // bytes; file sizes are rounded up to whole blocks
	segmentCount  = 16  // number of segments that the limit is divided into
	segmentSuffix = ".ledger"
	filePerm      = 0o600
)

// segment is one file of the log.
type segment struct {
	number   int
	size     int64
	recorded []uint64 // sequence numbers of the entries recorded here; some may since be done or recorded again
}

// add registers that an entry's latest record is in the segment.
func (s *segment) add(e *Entry) {
	e.segment = s.number
	s.recorded = append(s.recorded, e.Seq)
}

// diskSize returns the disk space that a file of the given size takes up.
func diskSize(size int64) int64 { return (size + diskBlock - 1) / diskBlock * diskBlock }

func segmentPath(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("%08d%s", number, segmentSuffix))
}

// segmentNumbers returns the numbers of a folder's segments in ascending order.
func segmentNumbers(dir string) ([]int, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var numbers []int
	for _, f := range files {
		base, ok := strings.CutSuffix(f.Name(), segmentSuffix)
		if !ok || !f.Type().IsRegular() {
			continue
		}
		var number int
		if _, err := fmt.Sscanf(base, "%d", &number); err != nil {
			continue
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

// last returns the segment that records are appended to. The pointer is valid until rotate.
func (l *Log) last() *segment { return &l.segments[len(l.segments)-1] }

// segmentSize is the size in bytes at which the log starts a new segment.
func (l *Log) segmentSize() int64 { return l.limit / segmentCount }

// compactionReserve is the space in bytes for recording again the pending entries of the segment being freed.
func (l *Log) compactionReserve() int64 { return l.segmentSize() + maxPayload + 2*diskBlock }

// rotate starts a new segment.
func (l *Log) rotate() error {
	number := 1
	if len(l.segments) > 0 {
		number = l.last().number + 1
	}
	f, err := os.OpenFile(segmentPath(l.dir, number), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_EXCL, filePerm)
	if err != nil {
		return err
	}
	if l.active != nil {
		_ = l.active.Close() // write errors were returned by the writes
	}
	l.active = f
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// makeSpace frees the oldest segments until a record of the given size fits with spare bytes left over.
func (l *Log) makeSpace(recordSize int, spare int64) error {
	for range len(l.segments) {
		if l.Used()+int64(recordSize)+spare <= l.limit {
			return nil
		}
		if err := l.freeOldest(); err != nil {
			return err
		}
	}
	return nil
}

// freeOldest records the pending entries of the oldest segment again and removes the segment. If the process is killed
// in between, entries are recorded twice, which is harmless.
func (l *Log) freeOldest() error {
	if len(l.segments) == 1 {
		return ErrFull
	}
	oldest := l.segments[0]
	for _, e := range l.pendingIn(&oldest) {
		record := l.entryRecord(e)
		l.buf = record
		sealRecord(record)
		if l.last().size >= l.segmentSize() {
			if err := l.rotate(); err != nil {
				return err
			}
		}
		if err := l.write(record); err != nil {
			return err
		}
		l.last().add(e)
	}
	if err := os.Remove(segmentPath(l.dir, oldest.number)); err != nil {
		return err
	}
	l.segments = l.segments[1:]
	maps.DeleteFunc(l.unrecorded, func(_ uint64, segment int) bool { return segment <= oldest.number })
	return nil
}

// pendingIn returns the pending entries whose latest record is in a segment, in the order of their sequence numbers.
func (l *Log) pendingIn(s *segment) []*Entry {
	var pending []*Entry
	for _, seq := range s.recorded {
		if e := l.entries[seq]; e != nil && e.segment == s.number {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, compareSeq)
	return slices.Compact(pending)
}
