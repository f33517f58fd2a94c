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
	diskBlock     = 512 // bytes; a file counts in whole blocks
	segmentCount  = 16  // the limit is divided into so many segments
	segmentSuffix = ".ledger"
	filePerm      = 0o600
)

// segment is one file of the log.
type segment struct {
	number   int
	size     int64
	recorded []uint64 // numbers of the entries recorded in it, some of them done or recorded anew since
}

// add notes that an entry's latest record is in the segment.
func (s *segment) add(e *Entry) {
	e.segment = s.number
	s.recorded = append(s.recorded, e.Seq)
}

// diskSize is the space that a file of a size takes.
func diskSize(size int64) int64 { return (size + diskBlock - 1) / diskBlock * diskBlock }

func segmentPath(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("%08d%s", number, segmentSuffix))
}

// segmentNumbers are the numbers of a folder's segments, in order.
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

// last is the segment that is written to. It is valid until the next one begins.
func (l *Log) last() *segment { return &l.segments[len(l.segments)-1] }

// segmentSize is the size from which a segment is followed by another.
func (l *Log) segmentSize() int64 { return l.limit / segmentCount }

// reserve is the space in which the entries of the segment that is being freed are recorded anew.
func (l *Log) reserve() int64 { return l.segmentSize() + maxPayload + 2*diskBlock }

// rotate begins a new segment.
func (l *Log) rotate() error {
	number := 1
	if len(l.segments) > 0 {
		number = l.last().number + 1
	}
	f, err := os.OpenFile(segmentPath(l.dir, number), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_EXCL, filePerm)
	if err != nil {
		return err
	}
	if l.head != nil {
		_ = l.head.Close() // each of its writes has returned its own error
	}
	l.head = f
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// makeSpace frees the oldest segments until a record of so many bytes fits, with left bytes to spare.
func (l *Log) makeSpace(record int, left int64) error {
	for range len(l.segments) {
		if l.Used()+int64(record)+left <= l.limit {
			return nil
		}
		if err := l.freeOldest(); err != nil {
			return err
		}
	}
	return nil
}

// freeOldest records what is pending in the oldest segment anew and removes it. A process killed in between leaves
// records twice, which says the same.
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

// pendingIn are the pending entries whose latest record is in a segment, in the order of their numbers.
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
