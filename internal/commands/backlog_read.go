package commands

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"time"

	"spanflow/internal/backlog"
)

// maxStoreReads limits how often a read of a store that keeps changing starts over without progress.
const maxStoreReads = 20

// backlogFilter selects stored messages; zero fields select all.
type backlogFilter struct {
	destination   *uint64
	tenant        *int
	state         string
	expiresBefore int64 // microseconds of the wall clock
}

// backlogFilter returns the filter that the flags describe. An error names the invalid flag.
func (f *inspectFlags) backlogFilter(tenants []string) (filter backlogFilter, err error) {
	if filter.destination, filter.tenant, err = f.lane(tenants); err != nil {
		return filter, err
	}
	filter.state = f.state
	known := backlogStates()
	switch {
	case f.state != "" && !slices.Contains(known, f.state):
		return filter, fmt.Errorf("--state: %q is none of %q", f.state, known)
	case f.limit < 0:
		return filter, fmt.Errorf("--limit: %d is negative", f.limit)
	case f.expiresWithin < 0:
		return filter, fmt.Errorf("--expires-within: %v is negative", f.expiresWithin)
	case f.expiresWithin > 0:
		filter.expiresBefore = time.Now().Add(f.expiresWithin).UnixMicro()
	}
	return filter, nil
}

func (f *backlogFilter) matchesLane(lane backlog.Lane) bool {
	return (f.destination == nil || lane.Destination == *f.destination) &&
		(f.tenant == nil || int64(lane.Tenant) == int64(*f.tenant))
}

func (f *backlogFilter) matches(m *backlog.Message) bool {
	return (f.state == "" || m.State().String() == f.state) && (f.expiresBefore == 0 || m.Expiry < f.expiresBefore)
}

// viewBacklog calls read with a view of a store, and again with a new view if the process that holds the store freed
// segments before they were read.
func viewBacklog(folder string, read func(*backlog.View) error) error {
	for range maxStoreReads {
		view, err := backlog.Inspect(backlog.OS{}, folder)
		if err != nil {
			return err
		}
		err = read(view)
		closeErr := view.Close()
		if !errors.Is(err, backlog.ErrChanged) {
			return errors.Join(err, closeErr)
		}
	}
	return fmt.Errorf("%s: %w", folder, backlog.ErrChanged)
}

// eachStored calls a function once for each stored message that a filter selects, ordered by lane and within a lane by
// acceptance. If the store changes meanwhile, reading resumes after the last message that was read.
func eachStored(folder string, filter *backlogFilter, each func(*backlog.Message) error) error {
	var last *backlog.Message // latest message read
	for {
		before := last
		err := viewBacklog(folder, func(view *backlog.View) error {
			selected := func(lane backlog.Lane) bool {
				return filter.matchesLane(lane) && (last == nil || compareLanes(lane, last.Lane) >= 0)
			}
			return view.Each(selected, func(m *backlog.Message) error {
				if last != nil && m.Lane == last.Lane && m.Seq <= last.Seq {
					return nil
				}
				last = m
				if !filter.matches(m) {
					return nil
				}
				return each(m)
			})
		})
		if !errors.Is(err, backlog.ErrChanged) || last == before {
			return err
		}
	}
}

func compareLanes(a, b backlog.Lane) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Tenant, b.Tenant))
}

// verifySegments verifies a store's segments. It starts over if the process that holds the store freed a segment before
// it was read.
func verifySegments(folder string) ([]segmentReport, error) {
	for range maxStoreReads {
		found, err := backlog.Verify(backlog.OS{}, folder)
		if err != nil {
			return nil, err
		}
		reports := make([]segmentReport, len(found))
		freed := false
		for i, r := range found {
			reports[i].SegmentReport = r
			if r.Fault != nil {
				reports[i].Damage = r.Fault.Error()
				freed = freed || errors.Is(r.Fault, fs.ErrNotExist)
			}
		}
		if !freed {
			return reports, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", folder, backlog.ErrChanged)
}
