// Package measure measures what each role of a fleet costs at several sizes: memory, processor time, bytes and calls.
// Each role is a function that returns curves; package capacity fits a line to each. The scheduler is called through
// its exported interface alone, so that two versions of it are measured alike.
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

// Options are the bounds of a measurement and what it is made with.
type Options struct {
	Seed      uint64
	Largest   int           // the largest size, in the unit of each role; 0: the role's own
	Memory    int64         // bytes that this process and those it starts may take
	TimeLimit time.Duration // for each role; sizes that would take longer are left out
	Program   string        // path of the built forwarder; spanflowctl lies beside it
	Folder    string        // for write-ahead logs and configurations; empty: a temporary one
	Progress  func(line string)
}

// DefaultTimeLimit is the time that a role gets if none is set.
const DefaultTimeLimit = 3 * time.Minute

// DefaultMemory is a quarter of the machine's memory in bytes.
func DefaultMemory() int64 { return machineMemory() / 4 }

// CheckMemory returns an error unless a bound on memory is under half of the machine's, as it has to be.
func CheckMemory(bytes int64) error {
	if most := machineMemory() / 2; bytes <= 0 || bytes >= most {
		return fmt.Errorf("memory: %d bytes are not over 0 and under half of the machine's (%d)", bytes, most)
	}
	return nil
}

// Role is something whose cost grows with a size.
type Role struct {
	Name    string
	About   string
	Unit    string // of its sizes
	Largest int    // the largest size, unless another is set
	measure func(t *trial) error
}

// Roles are all roles, in the order in which they are measured.
var Roles = []Role{
	{"known-destination", "a destination in the list: memory, list changes, whole lists, first start", "destinations", 170_000, measureKnownDestination},
	{"down-destination", "a destination that is down: vain calls, and calls as it returns, by forwarders", "forwarders", 500, measureDownDestination},
	{"held-message", "a message that is held: memory, disk, cost of fresh messages beside it, giving up", "messages", 300_000, measureHeldMessage},
	{"restart", "a restart: time to open the write-ahead log and to be ready, by what is owed", "messages", 1_000_000, measureRestart},
	{"backlog", "messages in the backlog store, and destinations out: cost of fresh messages beside them", "messages", 1_000_000, measureBacklog},
	{"backlog-restart", "a restart with a backlog store: time to be ready, memory and disk, by what is stored", "messages", 1_000_000, measureBacklogRestart},
	{"backlog-drain", "a backlog store that drains to targets that answer at once, with one core", "messages", 100_000, measureBacklogDrain},
	{"backlog-expiry", "stored messages that all expire in one second: their answers, and fresh messages meanwhile", "messages", 100_000, measureBacklogExpiry},
	{"message-path", "a message on its way: processor time and bytes, by rate and by size of its body", "messages a second", 3000, measureMessagePath},
	{"idle-client", "a client's idle connection: memory and descriptors", "connections", 6000, measureIdleClient},
	{"scrape", "a scrape of the metrics, by destinations", "destinations", 170_000, measureScrape},
	{"reload", "a reload of the configuration, by destinations in its list", "destinations", 170_000, measureReload},
}

// Find finds a role by its name. An unknown name is an error that names the nearest known one.
func Find(name string) (*Role, error) {
	nearest, least := "", math.MaxInt
	for i := range Roles {
		if Roles[i].Name == name {
			return &Roles[i], nil
		}
		if d := levenshtein.ComputeDistance(name, Roles[i].Name); d < least {
			nearest, least = Roles[i].Name, d
		}
	}
	return nil, fmt.Errorf("unknown role %q; the nearest is %q", name, nearest)
}

// Names are the names of all roles.
func Names() []string {
	var names []string
	for _, r := range Roles {
		names = append(names, r.Name)
	}
	return names
}

// Measure measures a role and fits a line to each of its curves. Sizes beyond a bound are left out, which is reported
// as progress. The curves that were measured are returned even if ctx ends the work, with its error.
func (r *Role) Measure(ctx context.Context, options Options) ([]capacity.Curve, error) {
	t := newTrial(ctx, r, options)
	defer t.cancel()
	err := r.measure(t)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil { // the role's time is over, not the caller's
		t.say("stopped: %s are over", options.TimeLimit)
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
	quick  bool  // as a test wants it: few tries, short loads
	peak   int64 // the most memory in use that was seen at the present size
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

func (t *trial) say(format string, values ...any) {
	if t.Progress != nil {
		t.Progress(t.role.Name + ": " + fmt.Sprintf(format, values...))
	}
}

// quantity is what a curve shows.
type quantity struct{ name, sizeUnit, unit string }

// record adds a point to a quantity's curve.
func (t *trial) record(q quantity, size, value float64) {
	point := capacity.Point{Size: size, Value: value}
	t.say("%s at %.0f %s: %.4g %s", q.name, size, q.sizeUnit, value, q.unit)
	for i := range t.curves {
		if t.curves[i].Quantity == q.name {
			t.curves[i].Points = append(t.curves[i].Points, point)
			return
		}
	}
	t.curves = append(t.curves, capacity.Curve{Role: t.role.Name, Quantity: q.name, SizeUnit: q.sizeUnit, Unit: q.unit,
		Points: []capacity.Point{point}})
}

// sizes are five sizes over two decades up to the largest.
func sizes(largest int) []int {
	var all []int
	for _, share := range []float64{0.01, 0.03, 0.1, 0.3, 1} {
		all = append(all, max(1, int(math.Round(float64(largest)*share))))
	}
	return slices.Compact(all)
}

// The powers of the size with which the time of a measurement may grow.
const (
	equally       = 0.0
	linearly      = 1.0
	quadratically = 2.0
)

// sweep measures at growing sizes. It leaves out those that cannot be expected to fit into the memory, or into this
// sweep's share of the role's time.
func (t *trial) sweep(what string, share, growth float64, sizes []int, one func(size int) error) error {
	lasts := time.Duration(share * float64(t.TimeLimit))
	began, before, took := time.Now(), 0, time.Duration(0)
	for _, size := range sizes {
		if err := t.ctx.Err(); err != nil {
			return err
		}
		if before > 0 {
			times := float64(size) / float64(before)
			if need := time.Duration(float64(took) * math.Pow(times, growth)); time.Since(began)+need > lasts {
				t.say("%s left out from %d on: it may take %s", what, size, need.Round(time.Millisecond))
				return nil
			}
			if need := int64(float64(t.peak) * times); need > t.Memory {
				t.say("%s left out from %d on: it may take %d bytes of memory", what, size, need)
				return nil
			}
		}
		t.peak = 0
		start := time.Now()
		if err := one(size); err != nil {
			return err
		}
		before, took = size, time.Since(start)
	}
	return nil
}

// How often a measurement is tried: a short one suffers more from what else goes on on the machine.
const (
	fewTries  = 3
	mostTries = 1000
	longTries = 3 * time.Second        // after so long there is no further try
	tryAtMost = 300 * time.Millisecond // after so long there are no more than a few
)

// bestOf is the least of several tries of a measurement, which has the least of what else goes on on the machine.
func (t *trial) bestOf(one func() (float64, error)) (float64, error) {
	least, began := math.Inf(1), time.Now()
	for i := range mostTries {
		if err := t.ctx.Err(); err != nil {
			return 0, err
		}
		if spent := time.Since(began); i > 0 && (spent > longTries || i >= fewTries && (t.quick || spent > tryAtMost)) {
			break
		}
		value, err := one()
		if err != nil {
			return 0, err
		}
		least = math.Min(least, value)
	}
	return least, nil
}

// heap is the bytes that live objects take.
func (t *trial) heap() float64 {
	runtime.GC()
	runtime.GC() // the second frees what finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.peak = max(t.peak, int64(m.HeapSys-m.HeapReleased))
	return float64(m.HeapAlloc)
}

// Describe lists the roles, one a line.
func Describe() string {
	var b strings.Builder
	for _, r := range Roles {
		fmt.Fprintf(&b, "  %-18s %s\n", r.Name, r.About)
	}
	return b.String()
}
