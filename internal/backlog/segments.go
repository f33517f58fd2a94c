package backlog

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// segment is one file of the store that holds records.
type segment struct {
	number uint32
	size   int64 // valid bytes
	excess int64 // bytes after the valid ones, left by a failed write or a kill
	live   int   // number of records of stored messages

	messages, releases int // number of records found by replay
}

// segment returns the segment with the given number, which must exist.
func (s *Store) segment(number uint32) *segment { return s.segments[number-s.segments[0].number] }

// segmentName returns the path of a segment.
func segmentName(dir string, number uint32) string {
	return filepath.Join(dir, fmt.Sprintf("%010d%s", number, segmentSuffix))
}

// segmentNumber parses the file name of a segment. ok is false for other files.
func segmentNumber(name string) (number uint32, ok bool) {
	base, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(base, 10, 32)
	return uint32(n), err == nil
}

// listSegments returns the numbers of the segments in a folder, in order. It returns a DamageError if one between
// others is missing.
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

// reader returns the file of a segment for reading and opens it if necessary.
func (s *Store) reader(number uint32) (File, error) {
	if s.active != nil && s.segments[len(s.segments)-1].number == number {
		return s.active, nil
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

// closeReaders closes the least recently used readers until at most left are open.
func (s *Store) closeReaders(left int) {
	for len(s.readers) > left {
		_ = s.readers[0].file.Close() // opened only for reading, so errors do not matter
		s.readers = append(s.readers[:0], s.readers[1:]...)
	}
}

// closeReader closes the reader of a segment if there is one.
func (s *Store) closeReader(number uint32) {
	for i, r := range s.readers {
		if r.number == number {
			_ = r.file.Close() // opened only for reading, so errors do not matter
			s.readers = append(s.readers[:i], s.readers[i+1:]...)
			return
		}
	}
}
