package backlog

import (
	"errors"
	"io/fs"
	"math"
)

// ErrChanged is the error for a store that was written to so fast that it could not be read meanwhile.
var ErrChanged = errors.New("the backlog store changes faster than it can be read")

const maxInspections = 20 // segments may be freed while they are read

// View is a store that was read without its lock, whether or not another process uses it.
type View struct{ store *Store }

// Inspect reads a store without altering it or disturbing the process that has it open. Errors are as of Open, and
// ErrChanged.
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

// Close closes the files that are open for reading.
func (v *View) Close() error { return v.store.Close() }

// Stats sums up what was stored when Inspect read it. ErrChanged says that segments were freed since.
func (v *View) Stats() (*Stats, error) {
	stats, err := v.store.Stats()
	return stats, asErrChanged(err)
}

// Each calls each for the messages of every lane for which pick returns true, in the order of lanes and within them of
// numbers. It ends with the first error of each. ErrChanged says that segments were freed since Inspect: inspect again.
func (v *View) Each(pick func(Lane) bool, each func(*Message) error) error {
	for _, id := range v.store.Lanes() {
		if !pick(id) {
			continue
		}
		l := v.store.lanes[id]
		for ordinal := l.begin; ordinal != l.end; ordinal++ {
			m, err := v.store.read(id, l.at(ordinal))
			if err != nil {
				return asErrChanged(err)
			}
			if err := each(m); err != nil {
				return err
			}
		}
	}
	return nil
}

func asErrChanged(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return ErrChanged
	}
	return err
}
