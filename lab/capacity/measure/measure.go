// Package measure measures the cost of each role at several sizes, in memory, processor time, bytes and calls. A role
// is one thing whose cost grows with its number, such as a known destination or a held message. The function of a role
// records curves, and package capacity fits a line to each. The scheduler is called only through its exported
// interface, so that different versions of it can be compared.
package measure

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"

	"spanflow/lab/capacity"
)

// Options holds the limits of a measurement and the program and folder that it uses.
type Options struct {
	Seed      uint64
	Largest   int           // the largest size, in the unit of each role; 0 means the role's default
	Memory    int64         // limit in bytes for this process and those it starts
	TimeLimit time.Duration // for each role; sizes that would exceed it are left out
	Program   string        // path of the built forwarder, with spanflowctl in the same folder
	Folder    string        // for write-ahead logs and configurations; empty means the system's temporary folder
	Progress  func(line string)
}

// DefaultTimeLimit is the time limit of a role if Options sets none.
const DefaultTimeLimit = 3 * time.Minute

// DefaultMemory returns a quarter of the machine's memory in bytes, the limit if Options sets none.
func DefaultMemory() int64 { return machineMemory() / 4 }

// CheckMemory returns an error unless a memory limit in bytes is positive and under half of the machine's memory.
func CheckMemory(bytes int64) error {
	if limit := machineMemory() / 2; bytes <= 0 || bytes >= limit {
		return fmt.Errorf("memory: %d bytes is not between 0 and half of the machine's memory (%d)", bytes, limit)
	}
	return nil
}

// Role is one thing whose cost is measured at several sizes.
type Role struct {
	Name    string
	About   string
	Unit    string // unit of the sizes
	Largest int    // the default largest size
	measure func(t *trial) error
}

// Roles lists all roles in the order in which they are measured.
var Roles = []Role{
	{"known-destination", "a destination in the list: memory, list changes, whole lists, first start", "destinations", 170_000, measureKnownDestination},
	{"down-destination", "a destination that is down: failed calls, and calls as it recovers, by number of forwarders", "forwarders", 500, measureDownDestination},
	{"held-message", "a held message: memory, disk, cost of fresh messages beside it and of its expiry", "messages", 300_000, measureHeldMessage},
	{"restart", "a restart: time to open the write-ahead log and to be ready, by pending messages", "messages", 1_000_000, measureRestart},
	{"backlog", "messages in the backlog store, and destinations that are down: cost of fresh messages beside them", "messages", 1_000_000, measureBacklog},
	{"backlog-restart", "a restart with a backlog store: time to be ready, memory and disk, by stored messages", "messages", 1_000_000, measureBacklogRestart},
	{"backlog-drain", "a backlog store that drains to endpoints that answer at once, with one core", "messages", 100_000, measureBacklogDrain},
	{"backlog-expiry", "stored messages that all expire within one second: their answers, and fresh messages meanwhile", "messages", 100_000, measureBacklogExpiry},
	{"message-path", "a message from client to endpoint: processor time and bytes, by rate and by size of the body", "messages a second", 3000, measureMessagePath},
	{"idle-client", "a client's idle connection: memory and descriptors", "connections", 6000, measureIdleClient},
	{"scrape", "a scrape of the metrics, by number of destinations", "destinations", 170_000, measureScrape},
	{"reload", "a reload of the configuration, by number of destinations in the list", "destinations", 170_000, measureReload},
}

// Find returns the role with the given name. The error for an unknown name suggests the closest known one.
func Find(name string) (*Role, error) {
	closest, leastDistance := "", math.MaxInt
	for i := range Roles {
		if Roles[i].Name == name {
			return &Roles[i], nil
		}
		if distance := levenshtein.ComputeDistance(name, Roles[i].Name); distance < leastDistance {
			closest, leastDistance = Roles[i].Name, distance
		}
	}
	return nil, fmt.Errorf("unknown role %q; the nearest is %q", name, closest)
}

// Names returns the names of all roles in the order of Roles.
func Names() []string {
	var names []string
	for _, r := range Roles {
		names = append(names, r.Name)
	}
	return names
}

// Measure measures a role and fits a line to each of its curves. Sizes that would exceed a limit are left out and
// reported as progress. If ctx ends, Measure returns its error together with the curves measured so far.
func (r *Role) Measure(ctx context.Context, options Options) ([]capacity.Curve, error) {
	t := newTrial(ctx, r, options)
	defer t.cancel()
	err := r.measure(t)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil { // the role's time limit, not the caller's
		t.reportProgress("stopped: the time limit of %s is over", options.TimeLimit)
		err = nil
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", r.Name, err)
	}
	for i := range t.curves {
		c := &t.curves[i]
		slices.SortFunc(c.Points, func(a, b capacity.Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
		c.Fit = capacity.FitLine(c.Points)
	}
	return t.curves, err
}

// trial is one measurement of a role.
type trial struct {
	Options
	ctx    context.Context
	cancel func()
	role   *Role
	curves []capacity.Curve
	quick  bool  // only few tries and short loads, for tests
	peak   int64 // highest memory use seen at the current size, in bytes
}

func newTrial(ctx context.Context, r *Role, options Options) *trial {
	if options.TimeLimit <= 0 {
		options.TimeLimit = DefaultTimeLimit
	}
	if options.Memory <= 0 {
		options.Memory = DefaultMemory()
	}
	if options.Largest <= 0 {
		options.Largest = r.Largest
	}
	t := &trial{Options: options, role: r}
	t.ctx, t.cancel = context.WithTimeout(ctx, options.TimeLimit)
	return t
}

func (t *trial) reportProgress(format string, values ...any) {
	if t.Progress != nil {
		t.Progress(t.role.Name + ": " + fmt.Sprintf(format, values...))
	}
}

// quantity describes the axes of a curve. All three texts are written into the results.
type quantity struct{ name, sizeUnit, unit string }

// record adds a point to a quantity's curve.
func (t *trial) record(q quantity, size, value float64) {
	point := capacity.Point{Size: size, Value: value}
	t.reportProgress("%s at %.0f %s: %.4g %s", q.name, size, q.sizeUnit, value, q.unit)
	for i := range t.curves {
		if t.curves[i].Quantity == q.name {
			t.curves[i].Points = append(t.curves[i].Points, point)
			return
		}
	}
	t.curves = append(t.curves, capacity.Curve{Role: t.role.Name, Quantity: q.name, SizeUnit: q.sizeUnit, Unit: q.unit,
		Points: []capacity.Point{point}})
}

// sizes returns five sizes that span two orders of magnitude up to the largest.
func sizes(largest int) []int {
	var all []int
	for _, fraction := range []float64{0.01, 0.03, 0.1, 0.3, 1} {
		all = append(all, max(1, int(math.Round(float64(largest)*fraction))))
	}
	return slices.Compact(all)
}

// Exponents of the size by which the time of a measurement may grow.
const (
	constantTime  = 0.0
	linearTime    = 1.0
	quadraticTime = 2.0
)

// sweep measures at each of the sizes, in increasing order. It stops before the first size that is expected to exceed
// the memory limit or this sweep's share of the role's time limit, judging by the previous size.
func (t *trial) sweep(subject string, share, growth float64, sizes []int, measureSize func(size int) error) error {
	timeLimit := time.Duration(share * float64(t.TimeLimit))
	began, previousSize, took := time.Now(), 0, time.Duration(0)
	for _, size := range sizes {
		if err := t.ctx.Err(); err != nil {
			return err
		}
		if previousSize > 0 {
			ratio := float64(size) / float64(previousSize)
			if estimate := time.Duration(float64(took) * math.Pow(ratio, growth)); time.Since(began)+estimate > timeLimit {
				t.reportProgress("%s: sizes from %d up are left out, as they may take %s", subject, size, estimate.Round(time.Millisecond))
				return nil
			}
			if estimate := int64(float64(t.peak) * ratio); estimate > t.Memory {
				t.reportProgress("%s: sizes from %d up are left out, as they may take %d bytes of memory", subject, size, estimate)
				return nil
			}
		}
		t.peak = 0
		start := time.Now()
		if err := measureSize(size); err != nil {
			return err
		}
		previousSize, took = size, time.Since(start)
	}
	return nil
}

// Limits of the number of tries of a measurement. Short measurements get more tries because other load on the machine
// distorts them more.
const (
	minTries      = 3
	maxTries      = 1000
	maxTryTime    = 3 * time.Second        // after this time, no further try starts
	minTriesAfter = 300 * time.Millisecond // after this time, no tries beyond minTries are made
)

// bestOf returns the lowest result of several tries, as it is the one least distorted by other load on the machine.
func (t *trial) bestOf(measureOnce func() (float64, error)) (float64, error) {
	least, began := math.Inf(1), time.Now()
	for i := range maxTries {
		if err := t.ctx.Err(); err != nil {
			return 0, err
		}
		if elapsed := time.Since(began); i > 0 && (elapsed > maxTryTime || i >= minTries && (t.quick || elapsed > minTriesAfter)) {
			break
		}
		value, err := measureOnce()
		if err != nil {
			return 0, err
		}
		least = math.Min(least, value)
	}
	return least, nil
}

// heapBytes returns the bytes taken by live objects and updates the peak.
func (t *trial) heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run frees objects that finalizers kept alive
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.peak = max(t.peak, int64(m.HeapSys-m.HeapReleased))
	return float64(m.HeapAlloc)
}

// Describe lists the roles for the help text, one per line.
func Describe() string {
	var b strings.Builder
	for _, r := range Roles {
		fmt.Fprintf(&b, "  %-18s %s\n", r.Name, r.About)
	}
	return b.String()
}
