package backlog

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
)

// ballastFileName is the name of the ballast, a file that reserves the disk space of one segment. It is removed when
// the disk is full, to make room for the records that free space.
const ballastFileName = "backlog.reserve"

func (s *Store) ballastFile() string { return filepath.Join(s.dir, ballastFileName) }

// adoptBallast uses the ballast file of an earlier process if it has the right size, and removes it otherwise.
func (s *Store) adoptBallast() {
	f, err := s.fs.Open(s.ballastFile())
	if err != nil {
		return
	}
	size, err := f.Size()
	_ = f.Close() // opened only for reading, so errors do not matter
	s.ballast = err == nil && size == s.bounds.SegmentBytes
	if !s.ballast {
		_ = s.fs.Remove(s.ballastFile())
	}
}

// makeBallast reserves disk space that releaseBallast frees when the disk is full, so that the store can still be
// drained. After a failure it is called again when a segment is removed.
func (s *Store) makeBallast() {
	if s.ballast || s.Used()+s.bounds.SegmentBytes > s.bounds.Bytes {
		return
	}
	f, err := s.fs.Create(s.ballastFile())
	if err != nil {
		return
	}
	zeros := make([]byte, min(scanBufferSize, s.bounds.SegmentBytes))
	for left := s.bounds.SegmentBytes; left > 0 && err == nil; {
		var n int
		n, err = f.Write(zeros[:min(left, int64(len(zeros)))])
		if err == nil && n == 0 {
			err = io.ErrShortWrite
		}
		left -= int64(n)
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = s.fs.Remove(s.ballastFile())
		return
	}
	s.ballast = true
}

// releaseBallast frees the reserved space. It returns false if there was none or if it could not be freed.
func (s *Store) releaseBallast() bool {
	if !s.ballast {
		return false
	}
	err := s.fs.Remove(s.ballastFile())
	s.ballast = err != nil && !errors.Is(err, fs.ErrNotExist)
	return !s.ballast
}
