package backlog

import (
	"errors"
	"io/fs"
	"math"
	"slices"
)

// ExitUsage is what a part of the store holds.
type Usage struct {
	Messages int             `json:"messages"`
	Bytes    int64           `json:"bytes"`
	States   [stateCount]int `json:"-"`                // messages by state
	Oldest   int64           `json:"oldest,omitempty"` // when the longest stored was taken on, in microseconds of the wall clock
}

func (u *Usage) add(l *lane, oldest int64) {
	u.Messages += l.live()
	u.Bytes += l.bytes
	for state, n := range l.states {
		u.States[state] += n
	}
	if u.Oldest == 0 || oldest != 0 && oldest < u.Oldest {
		u.Oldest = oldest
	}
}

// Stats is what the store holds, in sum and by parts.
type Stats struct {
	Usage
	Lanes        int
	Destinations map[uint64]Usage
	Tenants      map[uint32]Usage
	DiskBytes    int64
	Segments     int
}

// Stats sums up what is stored. It reads one record a lane, to tell when the oldest was taken on.
func (s *Store) Stats() (*Stats, error) {
	stats := &Stats{Lanes: len(s.lanes), Destinations: map[uint64]Usage{}, Tenants: map[uint32]Usage{}, DiskBytes: s.Used(),
		Segments: len(s.segments)}
	for id, l := range s.lanes {
		first, err := s.read(id, l.first())
		if err != nil {
			return nil, err
		}
		stats.add(l, first.Taken)
		destination, tenant := stats.Destinations[id.Destination], stats.Tenants[id.Tenant]
		destination.add(l, first.Taken)
		tenant.add(l, first.Taken)
		stats.Destinations[id.Destination], stats.Tenants[id.Tenant] = destination, tenant
	}
	return stats, nil
}

// LaneUsage is what a lane holds, without the time of its oldest message.
func (s *Store) LaneUsage(id Lane) Usage {
	l := s.lanes[id]
	if l == nil {
		return Usage{}
	}
	var u Usage
	u.add(l, 0)
	return u
}

// Lanes gives all lanes with stored messages, by destination and tenant.
func (s *Store) Lanes() []Lane {
	lanes := make([]Lane, 0, len(s.lanes))
	for id := range s.lanes {
		lanes = append(lanes, id)
	}
	slices.SortFunc(lanes, compareLanes)
	return lanes
}

func compareLanes(a, b Lane) int {
	switch {
	case a.Destination < b.Destination, a.Destination == b.Destination && a.Tenant < b.Tenant:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// ErrChanged says that a store was written to so fast that it could not be read meanwhile.
var ErrChanged = errors.New("the backlog store changes faster than it can be read")

const mostLooks = 20 // segments may be freed while they are read

// View is a store read without its lock, in use or not.
type View struct{ store *Store }

// Inspect reads a folder without altering it or hindering the process that has it. Errors are as of Open.
func Inspect(files FS, dir string) (*View, error) {
	for range mostLooks {
		s, err := load(files, dir, Bounds{Bytes: math.MaxInt64, SegmentBytes: maxSegment, OpenFiles: openFiles})
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

// BlockUntil ends the reading.
func (v *View) Close() error { return v.store.Close() }

// Stats sums up what was stored when Inspect read it.
func (v *View) Stats() (*Stats, error) {
	stats, err := v.store.Stats()
	return stats, changed(err)
}

// Each calls a function for the messages of each lane that pick wants, in the order of lanes and within them of taking.
// It ends with the function's first error. ErrChanged says that segments were freed since Inspect: look again.
func (v *View) Each(pick func(Lane) bool, each func(*Message) error) error {
	for _, id := range v.store.Lanes() {
		if !pick(id) {
			continue
		}
		l := v.store.lanes[id]
		for ordinal := l.begin; ordinal != l.end; ordinal++ {
			m, err := v.store.read(id, l.at(ordinal))
			if err != nil {
				return changed(err)
			}
			if err := each(m); err != nil {
				return err
			}
		}
	}
	return nil
}

func changed(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return ErrChanged
	}
	return err
}

// SegmentReport is what Verify found in a segment.
type SegmentReport struct {
	File     string `json:"file"`
	Bytes    int64  `json:"bytes"`
	Messages int    `json:"messages"` // records
	Releases int    `json:"releases"` // records
	Torn     int64  `json:"torn"`     // bytes at the end that a kill or a failed write left: no damage
	Fault    error  `json:"-"`
}

// Verify reads every segment on its own, without altering anything, and tells what is wrong in each. It is an error if
// a segment between others is missing or the folder cannot be read.
func Verify(files FS, dir string) ([]SegmentReport, error) {
	numbers, err := listSegments(files, dir)
	if err != nil {
		return nil, err
	}
	reports := make([]SegmentReport, len(numbers))
	var next *header
	for i := len(numbers) - 1; i >= 0; i-- {
		reports[i].File = segmentName(dir, numbers[i])
		next = reports[i].verify(files, dir, numbers[i], i == len(numbers)-1, next)
	}
	return reports, nil
}

// verify reads one segment and gives its header, nil if it has none.
func (r *SegmentReport) verify(files FS, dir string, number uint32, last bool, next *header) *header {
	o, err := openSegment(files, dir, number, last)
	if err != nil {
		r.Fault = err
		return nil
	}
	defer o.file.Close()
	r.Bytes = o.size
	if o.header == nil {
		r.Torn = o.size
		return nil
	}
	one := &Store{dir: dir, lanes: map[Lane]*lane{}}
	var buf []byte
	r.Fault = one.replaySegment(o, next, &buf)
	if len(one.segments) == 1 {
		r.Torn = one.segments[0].excess
		r.Messages, r.Releases = one.segments[0].messages, one.segments[0].releases
	}
	return o.header
}
