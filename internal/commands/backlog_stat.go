package commands

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/cli"
)

// backlogStats is the output of "backlog stat".
type backlogStats struct {
	Folder       string         `json:"folder"`
	HolderPID    int            `json:"owner_pid,omitempty"`
	Segments     int            `json:"segments"`
	DiskBytes    int64          `json:"bytes_on_disk"`
	Stored       int            `json:"stored"`
	Bytes        int64          `json:"bytes_stored"`
	Oldest       time.Time      `json:"oldest_taken,omitzero"`
	Lanes        int            `json:"lanes"`
	States       map[string]int `json:"by_state"`
	Destinations []backlogUsage `json:"by_destination"`
	Tenants      []backlogUsage `json:"by_tenant"`
}

// backlogUsage sums up the messages stored for a destination or a tenant.
type backlogUsage struct {
	Of     string    `json:"of"` // the destination's number, the tenant's name or number
	Stored int       `json:"stored"`
	Bytes  int64     `json:"bytes_stored"`
	Oldest time.Time `json:"oldest_taken,omitzero"`
}

func usageOf(of string, u backlog.Usage) backlogUsage {
	return backlogUsage{Of: of, Stored: u.Messages, Bytes: u.Bytes, Oldest: wallTime(u.Oldest)}
}

// String returns the usage as in the text output of stat.
func (u *backlogUsage) String() string {
	return fmt.Sprintf("%d, %d bytes, oldest taken %s", u.Stored, u.Bytes, u.Oldest.Format(time.RFC3339))
}

func (s *session) backlogStat(flags *inspectFlags) error {
	folder, tenants, err := s.folder(flags.folder, backlogFolder)
	if err != nil {
		return err
	}
	var stats *backlogStats
	err = viewBacklog(folder, func(view *backlog.View) error {
		sums, err := view.Stats()
		if err == nil {
			stats = sumBacklog(folder, sums, tenants)
		}
		return err
	})
	if err != nil {
		return err
	}
	if s.json {
		return cli.PrintJSON(s.out, stats)
	}
	return stats.write(s.out)
}

// sumBacklog returns the output of stat for a store. The destinations and tenants with the most messages come first.
func sumBacklog(folder string, sums *backlog.Stats, tenants []string) *backlogStats {
	stats := &backlogStats{
		Folder:       folder,
		HolderPID:    backlogHolder(folder),
		Segments:     sums.Segments,
		DiskBytes:    sums.DiskBytes,
		Stored:       sums.Messages,
		Bytes:        sums.Bytes,
		Oldest:       wallTime(sums.Oldest),
		Lanes:        sums.Lanes,
		States:       map[string]int{},
		Destinations: []backlogUsage{},
		Tenants:      []backlogUsage{},
	}
	for _, state := range backlog.States() {
		if n := sums.States[state]; n > 0 {
			stats.States[state.String()] = n
		}
	}
	for _, number := range slices.Sorted(maps.Keys(sums.Destinations)) {
		stats.Destinations = append(stats.Destinations, usageOf(fmt.Sprint(number), sums.Destinations[number]))
	}
	for _, number := range slices.Sorted(maps.Keys(sums.Tenants)) {
		stats.Tenants = append(stats.Tenants, usageOf(tenantName(int(number), tenants), sums.Tenants[number]))
	}
	mostFirst := func(a, b backlogUsage) int { return cmp.Compare(b.Stored, a.Stored) }
	slices.SortStableFunc(stats.Destinations, mostFirst)
	slices.SortStableFunc(stats.Tenants, mostFirst)
	return stats
}

// write prints the statistics as text.
func (s *backlogStats) write(w io.Writer) error {
	t := newColumns(w)
	fmt.Fprintf(t, "folder\t%s\n", s.Folder)
	fmt.Fprintf(t, "owner\t%s\n", holderText(s.HolderPID))
	fmt.Fprintf(t, "segments\t%d, %d bytes on disk\n", s.Segments, s.DiskBytes)
	fmt.Fprintf(t, "stored\t%d documents in %d lanes, %d bytes\n", s.Stored, s.Lanes, s.Bytes)
	if s.Stored > 0 {
		fmt.Fprintf(t, "oldest\ttaken %s\n", s.Oldest.Format(time.RFC3339))
	}
	for _, state := range backlogStates() {
		if n := s.States[state]; n > 0 {
			fmt.Fprintf(t, "%s\t%d\n", state, n)
		}
	}
	for i := range s.Destinations {
		fmt.Fprintf(t, "destination %s\t%s\n", s.Destinations[i].Of, &s.Destinations[i])
	}
	for i := range s.Tenants {
		fmt.Fprintf(t, "tenant %s\t%s\n", s.Tenants[i].Of, &s.Tenants[i])
	}
	return t.Flush()
}
