package commands

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"spanflow/internal/cli"
	"spanflow/internal/wal"
)

// walStats is the output of "wal stat".
type walStats struct {
	Folder       string             `json:"folder"`
	HolderPID    int                `json:"owner_pid,omitempty"`
	Files        int                `json:"files"`
	DiskBytes    int64              `json:"bytes_on_disk"`
	Pending      int                `json:"owed"`
	PendingBytes int                `json:"bytes_owed"`
	States       map[string]int     `json:"by_state"`
	Destinations []destinationStats `json:"by_destination"`
	FirstExpiry  time.Time          `json:"first_expiry,omitzero"`
}

// destinationStats are the counts of one destination's messages in the write-ahead log.
type destinationStats struct {
	Destination uint64 `json:"dest"`
	Pending     int    `json:"owed"`
	Expired     int    `json:"past_expiry"`
}

func (s *session) walStat(flags *inspectFlags) error {
	view, _, err := s.inspectWAL(flags)
	if err != nil {
		return err
	}
	stats := sumWAL(view, time.Now())
	if s.json {
		return cli.PrintJSON(s.out, stats)
	}
	return stats.write(s.out)
}

// sumWAL returns the output of stat for a write-ahead log. The destinations with the most messages come first.
func sumWAL(view *wal.View, now time.Time) *walStats {
	stats := &walStats{
		Folder:    view.Dir,
		HolderPID: view.HolderPID,
		Files:     len(view.Files),
		DiskBytes: view.Bytes,
		Pending:   len(view.Pending),
		States:    map[string]int{},
	}
	destinations := map[uint64]*destinationStats{}
	for _, e := range view.Pending {
		stats.States[e.State()]++
		stats.PendingBytes += e.Size()
		d := destinations[e.Destination]
		if d == nil {
			d = &destinationStats{Destination: e.Destination}
			destinations[e.Destination] = d
		}
		d.Pending++
		if e.Expiry < now.UnixMicro() {
			d.Expired++
		}
		if expiry := time.UnixMicro(e.Expiry); stats.FirstExpiry.IsZero() || expiry.Before(stats.FirstExpiry) {
			stats.FirstExpiry = expiry
		}
	}
	for _, d := range destinations {
		stats.Destinations = append(stats.Destinations, *d)
	}
	slices.SortFunc(stats.Destinations, func(a, b destinationStats) int {
		return cmp.Or(cmp.Compare(b.Pending, a.Pending), cmp.Compare(a.Destination, b.Destination))
	})
	return stats
}

// write prints the statistics as text.
func (s *walStats) write(w io.Writer) error {
	t := newColumns(w)
	fmt.Fprintf(t, "folder\t%s\n", s.Folder)
	fmt.Fprintf(t, "owner\t%s\n", holderText(s.HolderPID))
	fmt.Fprintf(t, "files\t%d, %d bytes on disk\n", s.Files, s.DiskBytes)
	fmt.Fprintf(t, "owed\t%d documents, %d bytes\n", s.Pending, s.PendingBytes)
	if s.Pending > 0 {
		fmt.Fprintf(t, "first expiry\t%s\n", s.FirstExpiry.Format(time.RFC3339))
	}
	for _, state := range wal.States() {
		if n := s.States[state]; n > 0 {
			fmt.Fprintf(t, "%s\t%d\n", state, n)
		}
	}
	for _, d := range s.Destinations {
		fmt.Fprintf(t, "destination %d\t%d, %d of them past expiry\n", d.Destination, d.Pending, d.Expired)
	}
	return t.Flush()
}
