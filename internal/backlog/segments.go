package backlog

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// segment is one file of the store.
type segment struct {
	number uint32
	size   int64 // bytes that count
	excess int64 // bytes behind them that a failed write left
	live   int   // records of stored messages

	messages, releases int // records that a replay found
}

// segment returns the segment with a number.
func (s *Store) segment(number uint32) *segment { return s.segments[number-s.segments[0].number] }

// segmentName returns the path of a segment.
func segmentName(dir string, number uint32) string {
	return filepath.Join(dir, fmt.Sprintf("%010d%s", number, segmentSuffix))
}

// segmentNumber reads a segment's number from its file name; ok is false for other files.
func segmentNumber(name string) (number uint32, ok bool) {
	base, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(base, 10, 32)
	return uint32(n), err == nil
}

// listSegments returns the numbers of a folder's segments, in order. It is an error if one between them is missing.
func listSegments(fs FS, dir string) ([]uint32, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, err
	}
	var numbers []uint32
	for _, name := range names {
		if n, ok := segmentNumber(name); ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for i := 1; i < len(numbers); i++ {
		if numbers[i] != numbers[i-1]+1 {
			return nil, &DamageError{File: segmentName(dir, numbers[i-1]+1), Reason: "missing"}
		}
	}
	return numbers, nil
}

// reader is a segment that is open for reading.
type reader struct {
	number uint32
	file   File
}

// reader returns a segment's file for reading and opens it if needed.
func (s *Store) reader(number uint32) (File, error) {
	if s.head != nil && s.segments[len(s.segments)-1].number == number {
		return s.head, nil
	}
	last := len(s.readers) - 1
	for i := last; i >= 0; i-- {
		if r := s.readers[i]; r.number == number {
			copy(s.readers[i:], s.readers[i+1:])
			s.readers[last] = r
			return r.file, nil
		}
	}
	s.closeReaders(s.bounds.OpenFiles - 1)
	file, err := s.fs.Open(segmentName(s.dir, number))
	if err != nil {
		return nil, err
	}
	s.readers = append(s.readers, reader{number, file})
	return file, nil
}

// closeReaders closes the least recently used files until at most left are open.
func (s *Store) closeReaders(left int) {
	for len(s.readers) > left {
		_ = s.readers[0].file.Close() // it was only read
		s.readers = append(s.readers[:0], s.readers[1:]...)
	}
}

// closeReader closes a segment that is open for reading, if it is.
func (s *Store) closeReader(number uint32) {
	for i, r := range s.readers {
		if r.number == number {
			_ = r.file.Close() // it was only read
			s.readers = append(s.readers[:i], s.readers[i+1:]...)
			return
		}
	}
}
