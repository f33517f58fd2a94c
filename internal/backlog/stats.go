package backlog

import (
	"slices"
)

// Usage has the number and size of the messages in the store or in a part of it.
type Usage struct {
	Messages int             `json:"messages"`
	Bytes    int64           `json:"bytes"`
	States   [stateCount]int `json:"-"`                // number of messages by State
	Oldest   int64           `json:"oldest,omitempty"` // acceptance of the oldest message, microseconds of the wall clock
}

func (u *Usage) add(l *lane, oldest int64) {
	u.Messages += l.liveCount()
	u.Bytes += l.bytes
	for state, n := range l.states {
		u.States[state] += n
	}
	if u.Oldest == 0 || oldest != 0 && oldest < u.Oldest {
		u.Oldest = oldest
	}
}

// Stats has the usage of the store in total, by destination and by tenant.
type Stats struct {
	Usage
	Lanes        int
	Destinations map[uint64]Usage
	Tenants      map[uint32]Usage
	DiskBytes    int64
	Segments     int
}

// Stats returns the usage of the store. It reads one record per lane to find out when its oldest message was accepted.
func (s *Store) Stats() (*Stats, error) {
	stats := &Stats{
		Lanes:        len(s.lanes),
		Destinations: map[uint64]Usage{},
		Tenants:      map[uint32]Usage{},
		DiskBytes:    s.Used(),
		Segments:     len(s.segments),
	}
	for id, l := range s.lanes {
		first, err := s.read(id, l.first())
		if err != nil {
			return nil, err
		}
		stats.add(l, first.AcceptedAt)
		destination, tenant := stats.Destinations[id.Destination], stats.Tenants[id.Tenant]
		destination.add(l, first.AcceptedAt)
		tenant.add(l, first.AcceptedAt)
		stats.Destinations[id.Destination], stats.Tenants[id.Tenant] = destination, tenant
	}
	return stats, nil
}

// LaneUsage returns the usage of a lane, without Usage.Oldest.
func (s *Store) LaneUsage(id Lane) Usage {
	l := s.lanes[id]
	if l == nil {
		return Usage{}
	}
	var u Usage
	u.add(l, 0)
	return u
}

// Lanes returns all lanes with stored messages, ordered by destination and tenant.
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

// States returns how many messages are stored in each state.
func (s *Store) States() (counts [stateCount]int) {
	for _, l := range s.lanes {
		for state, n := range l.states {
			counts[state] += n
		}
	}
	return counts
}

// Oldest returns when the oldest stored message was accepted, in microseconds of the wall clock, or 0 if the store is
// empty. It reads one record.
func (s *Store) Oldest() (int64, error) {
	var oldest *lane
	for _, l := range s.lanes {
		if oldest == nil || l.first().seq < oldest.first().seq {
			oldest = l
		}
	}
	if oldest == nil {
		return 0, nil
	}
	m, err := s.read(oldest.id, oldest.first())
	if err != nil {
		return 0, err
	}
	return m.AcceptedAt, nil
}
