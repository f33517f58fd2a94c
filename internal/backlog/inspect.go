package backlog

import (
	"errors"
	"io/fs"
	"math"
)

// ErrChanged is returned if another process freed segments while they were being read.
var ErrChanged = errors.New("the backlog store changes faster than it can be read")

const maxInspections = 20 // attempts to read a store; one fails if a segment is freed meanwhile

// View is a read-only view of a store. It holds no lock, so another process may have the store open.
type View struct{ store *Store }

// Inspect reads a store without changing it and without disturbing a process that has it open. Its errors are those of
// Open and ErrChanged.
func Inspect(files FS, dir string) (*View, error) {
	for range maxInspections {
		s, err := load(files, dir, Bounds{Bytes: math.MaxInt64, SegmentBytes: maxSegmentBytes, OpenFiles: defaultOpenFiles})
		if err == nil {
			return &View{s}, nil
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
		if _, err := files.List(dir); err != nil {
			return nil, err
		}
	}
	return nil, ErrChanged
}

// Close closes the files that the view has open for reading.
func (v *View) Close() error { return v.store.Close() }

// Stats returns the totals as of the call of Inspect. It returns ErrChanged if segments were freed since then.
func (v *View) Stats() (*Stats, error) {
	stats, err := v.store.Stats()
	return stats, asErrChanged(err)
}

// Each calls visit for the messages of every lane for which include returns true, ordered by lane and, within a lane,
// by number. It stops at the first error of visit and returns it. It returns ErrChanged if segments were freed since
// the call of Inspect, which then has to be repeated.
func (v *View) Each(include func(Lane) bool, visit func(*Message) error) error {
	for _, id := range v.store.Lanes() {
		if !include(id) {
			continue
		}
		l := v.store.lanes[id]
		for ordinal := l.begin; ordinal != l.end; ordinal++ {
			m, err := v.store.read(id, l.at(ordinal))
			if err != nil {
				return asErrChanged(err)
			}
			if err := visit(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// asErrChanged returns ErrChanged for the error of a missing file, and other errors unchanged.
func asErrChanged(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return ErrChanged
	}
	return err
}
