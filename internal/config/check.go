package config

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"

	"github.com/rs/zerolog"

	"spanflow/forwarder"
)

// Limits of the values in a configuration.
const (
	minMemory      = 16e6
	minDescriptors = 64
	minDisk        = 1e6
	maxCores       = 1024
	maxNameBytes   = 64
	maxTypes       = 64
	maxEndpoints   = 1 << 20
	maxBatch       = 1000
	minConnections = 8 // minimum number of connections per frontend
)

var plainName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns all problems of a configuration, and notes on values that are valid but may not be intended. Both are
// ordered by line.
func (l *Loaded) Check() (problems, notes Problems) {
	c := &checker{Loaded: l}
	c.checkProcess()
	c.checkLimits()
	c.checkBacklog()
	c.checkDispatch()
	c.checkFrontends()
	c.checkTypes()
	c.checkUpstreams()
	c.checkKinds()
	c.checkTenants()
	c.checkEndpointSource()
	c.checkEndpoints()
	c.checkLog()
	for _, v := range l.Values() {
		if s := v.Source; s.Line > 0 && (s.Layer == ByVariable || s.Layer == ByFlag) {
			c.note(v.Field, "%s overrides line %d of the file", s.Name, s.Line)
		}
	}
	byLine := func(a, b Problem) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field)) }
	slices.SortStableFunc(c.problems, byLine)
	slices.SortStableFunc(c.notes, byLine)
	return c.problems, c.notes
}

// checker collects the problems and notes of a configuration.
type checker struct {
	*Loaded
	problems Problems
	notes    Problems
}

// problemAt returns a Problem for a field, still without a reason. Its location is the variable or flag that sets the
// field, the field's line in the file, or else the line of the table that the field belongs to.
func (c *checker) problemAt(field string) Problem {
	p := Problem{Field: field}
	source, found := c.Sources[field]
	for name := field; !found && name != ""; {
		name = parent(name)
		if line := c.lines[name]; line > 0 {
			source, found = Source{Layer: ByFile, Line: line}, true
		}
	}
	switch source.Layer {
	case ByVariable, ByFlag:
		p.File = source.Name
	default:
		p.File, p.Line = c.Path, source.Line
	}
	return p
}

// parent returns the path of the table that contains a field, empty for top-level fields and lists.
func parent(field string) string {
	for i := len(field) - 1; i >= 0; i-- {
		switch field[i] {
		case '.':
			return field[:i]
		case '[':
			return ""
		}
	}
	return ""
}

func (c *checker) problem(field, format string, args ...any) {
	p := c.problemAt(field)
	p.Reason = fmt.Sprintf(format, args...)
	c.problems = append(c.problems, p)
}

func (c *checker) note(field, format string, args ...any) {
	p := c.problemAt(field)
	p.Reason = fmt.Sprintf(format, args...)
	c.notes = append(c.notes, p)
}

// oneOf checks a field that accepts only the known words.
func (c *checker) oneOf(field, value string, known ...string) {
	if !slices.Contains(known, value) {
		c.problem(field, "%q is not one of %q%s", value, known, suggestion(value, known))
	}
}

func (c *checker) address(field, value string) {
	if !forwarder.IsAddress(value) {
		c.problem(field, "%q is not an address with a port", value)
	}
}

// isRate reports whether a number is finite and greater than 0.
func isRate(value float64) bool { return value > 0 && !math.IsInf(value, 0) }

// isFraction reports whether a number is between 0 and 1, both included.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }

// checkProcess checks the fields that concern the process as a whole.
func (c *checker) checkProcess() {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		c.problem("name", "must be 1 to 64 bytes long")
	}
	if _, err := strconv.ParseUint(c.Seed, 16, 64); c.Seed != "" && err != nil {
		c.problem("seed", "%q is not a hexadecimal number of up to 16 digits", c.Seed)
	}
	if len(c.Zones) == 0 {
		c.problem("zones", "none is configured")
	} else if !slices.Contains(c.Zones, c.Zone) {
		c.problem("zone", "%q is not one of zones %q", c.Zone, c.Zones)
	}
	if c.WriteAheadLog.Folder == "" {
		c.problem("ledger.folder", "is not set")
	} else {
		c.checkFolder("ledger.folder", c.WALFolder())
	}
	c.checkMetricsAndAdmin()
}

// checkFolder checks that a path is a folder or does not exist yet.
func (c *checker) checkFolder(field, path string) {
	info, err := os.Stat(path)
	switch {
	case err == nil && !info.IsDir():
		c.problem(field, "%s is not a folder", path)
	case err != nil && !os.IsNotExist(err):
		c.problem(field, "%s", pathReason(err))
	}
}

func (c *checker) checkMetricsAndAdmin() {
	if c.Metrics.TokenFile != "" {
		if _, err := c.metricsToken(); err != nil {
			c.problem("metrics.token_file", "%s", pathReason(err))
		}
		if c.Metrics.Listen == "" {
			c.note("metrics.token_file", "has no effect, because metrics.listen is empty")
		}
	}
	if c.Admin != "" {
		c.address("admin", c.Admin)
	}
	if c.Metrics.Listen != "" {
		c.address("metrics.listen", c.Metrics.Listen)
	}
}

func (c *checker) checkLimits() {
	if !(c.Limits.Cores > 0 && c.Limits.Cores <= maxCores) {
		c.problem("limits.cores", "%v is not a valid number of cores", c.Limits.Cores)
	}
	for _, limit := range []struct {
		field      string
		value, min Size
	}{
		{"limits.memory", c.Limits.Memory, minMemory},
		{"ledger.disk", c.WriteAheadLog.Disk, minDisk},
	} {
		if limit.value < limit.min {
			c.problem(limit.field, "%s is below the minimum, %s", limit.value, limit.min)
		}
	}
	if c.Limits.Descriptors < minDescriptors {
		c.problem("limits.descriptors", "%d is below the minimum, %d", c.Limits.Descriptors, minDescriptors)
	}
}

func (c *checker) checkDispatch() {
	d := &c.Dispatch
	for _, count := range []struct {
		field string
		value int
	}{
		{"slots", d.ConcurrencyLimit},
		{"room", d.QueueCapacity},
		{"transmissions", d.MaxAttempts},
		{"forwarders", d.Forwarders},
	} {
		if count.value < 1 {
			c.problem("dispatch."+count.field, "%d is below the minimum, 1", count.value)
		}
	}
	if d.Connect <= 0 {
		c.problem("dispatch.connect", "0s leaves no time to establish a connection")
	}
	if d.IdleTimeout <= 0 {
		c.problem("dispatch.idle_life", "0s would keep no idle connection")
	}
	if d.PollWithin <= 0 {
		c.problem("dispatch.ask_within", "0s leaves no time between two polls of the endpoint list")
	}
	if !(d.SlowStartShare > 0 && d.SlowStartShare <= 1) {
		c.problem("dispatch.cold_from", "%v is not a share greater than 0 and at most 1", d.SlowStartShare)
	}
	if !(d.OverloadMultiple >= 1) || math.IsInf(d.OverloadMultiple, 0) {
		c.problem("dispatch.fall_multiple", "%v is not a finite number of at least 1", d.OverloadMultiple)
	}
	c.oneOf("dispatch.late", d.LateValueDecay, decayLine, decayHalves)
	c.oneOf("dispatch.listed_rates", d.ListedRates, ratesNone, ratesExact, ratesRough)
	if connections := c.Limits.Descriptors / 3; d.ConcurrencyLimit > connections {
		c.note("dispatch.slots", "%d concurrent calls can use at most %d connections, a third of limits.descriptors",
			d.ConcurrencyLimit, connections)
	}
}

func (c *checker) checkLog() {
	if _, err := zerolog.ParseLevel(c.Log.Level); err != nil || c.Log.Level == "" {
		c.oneOf("log.level", c.Log.Level, "trace", "debug", "info", "warn", "error")
	}
	c.oneOf("log.format", c.Log.Format, formatJSON, formatConsole)
	if !isFraction(c.Log.Sample) {
		c.problem("log.sample", "%v is not a share from 0 to 1", c.Log.Sample)
	}
	for _, key := range c.Log.Keys {
		if _, err := strconv.ParseUint(key, 16, 64); err != nil {
			c.problem("log.keys", "%q is not a hexadecimal number", key)
		}
	}
}
