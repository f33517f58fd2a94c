package config

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/rs/zerolog"

	"spanflow/forwarder"
)

// The least limits with which a forwarder runs.
const (
	leastMemory      = 16e6
	leastDescriptors = 64
	leastDisk        = 1e6
	leastRoom        = 1
	mostTypes        = 64
	mostTargets      = 1 << 20
)

var plainName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects what is wrong, and what is worth a word though it runs.
type checker struct {
	*Loaded
	wrong Problems
	notes Problems
}

func (c *checker) at(field string) Problem {
	p := Problem{Field: field}
	s, told := c.Sources[field]
	for name := field; !told && name != ""; { // the table that should have it
		name = parent(name)
		if line := c.lines[name]; line > 0 {
			s, told = Source{Layer: ByFile, Line: line}, true
		}
	}
	switch s.Layer {
	case ByVariable, ByFlag:
		p.File = s.Name
	default:
		p.File, p.Line = c.Path, s.Line
	}
	return p
}

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

func (c *checker) bad(field, format string, v ...any) {
	p := c.at(field)
	p.Reason = fmt.Sprintf(format, v...)
	c.wrong = append(c.wrong, p)
}

func (c *checker) note(field, format string, v ...any) {
	p := c.at(field)
	p.Reason = fmt.Sprintf(format, v...)
	c.notes = append(c.notes, p)
}

func (c *checker) word(field, value string, known ...string) {
	if !slices.Contains(known, value) {
		c.bad(field, "%q is none of %q%s", value, known, meant(value, known))
	}
}

func (c *checker) address(field, value string) {
	if !forwarder.IsAddress(value) {
		c.bad(field, "%q is not an address with a port", value)
	}
}

// Check tells all that is wrong with a configuration, and what is worth a word though it runs.
func (l *Loaded) Check() (wrong, notes Problems) {
	c := &checker{Loaded: l}
	c.whole()
	c.limits()
	c.backlog()
	c.dispatch()
	c.fronts()
	c.types()
	c.kinds()
	c.tenants()
	c.list()
	c.log()
	for _, v := range l.Values() {
		if s := v.Source; s.Line > 0 && (s.Layer == ByVariable || s.Layer == ByFlag) {
			c.note(v.Field, "%s goes before line %d of the file", s.Name, s.Line)
		}
	}
	byPlace := func(a, b Problem) int { return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field)) }
	slices.SortStableFunc(c.wrong, byPlace)
	slices.SortStableFunc(c.notes, byPlace)
	return c.wrong, c.notes
}

func (c *checker) whole() {
	if c.Name == "" || len(c.Name) > 64 {
		c.bad("name", "a name has 1 to 64 letters")
	}
	if _, err := strconv.ParseUint(c.Seed, 16, 64); c.Seed != "" && err != nil {
		c.bad("seed", "%q is not a hexadecimal number of up to 16 digits", c.Seed)
	}
	if len(c.Zones) == 0 {
		c.bad("zones", "there is none")
	} else if !slices.Contains(c.Zones, c.Zone) {
		c.bad("zone", "%q is none of zones %q", c.Zone, c.Zones)
	}
	if c.Ledger.Folder == "" {
		c.bad("ledger.folder", "is not told")
	} else if info, err := os.Stat(c.Folder()); err == nil && !info.IsDir() {
		c.bad("ledger.folder", "%s is not a folder", c.Folder())
	} else if err != nil && !os.IsNotExist(err) {
		c.bad("ledger.folder", "%s", unwrapped(err))
	}
	if f := c.Metrics.TokenFile; f != "" {
		if _, err := c.token(); err != nil {
			c.bad("metrics.token_file", "%s", unwrapped(err))
		}
		if c.Metrics.Listen == "" {
			c.note("metrics.token_file", "has no use, as metrics.listen is empty")
		}
	}
	if c.Admin != "" {
		c.address("admin", c.Admin)
	}
	if c.Metrics.Listen != "" {
		c.address("metrics.listen", c.Metrics.Listen)
	}
}

// Folder is the write-ahead log's, as seen from where the program runs.
func (l *Loaded) Folder() string { return l.beside(l.Ledger.Folder) }

// beside resolves a path of the file.
func (l *Loaded) beside(path string) string {
	if path == "" || filepath.IsAbs(path) || l.Path == "" {
		return path
	}
	return filepath.Join(filepath.Dir(l.Path), path)
}

func (c *checker) limits() {
	if !(c.Limits.Cores > 0 && c.Limits.Cores <= 1024) {
		c.bad("limits.cores", "%v is not a number of cores", c.Limits.Cores)
	}
	for _, l := range []struct {
		field      string
		value, min Size
	}{{"limits.memory", c.Limits.Memory, leastMemory}, {"ledger.disk", c.Ledger.Disk, leastDisk}} {
		if l.value < l.min {
			c.bad(l.field, "%s is under the least, %s", l.value, l.min)
		}
	}
	if c.Limits.Descriptors < leastDescriptors {
		c.bad("limits.descriptors", "%d is under the least, %d", c.Limits.Descriptors, leastDescriptors)
	}
}

func (c *checker) dispatch() {
	d := &c.Dispatch
	for _, n := range []struct {
		field string
		value int
		least int
	}{{"slots", d.ConcurrencyLimit, 1}, {"room", d.QueueCapacity, leastRoom}, {"transmissions", d.MaxAttempts, 1}, {"forwarders", d.Forwarders, 1}} {
		if n.value < n.least {
			c.bad("dispatch."+n.field, "%d is under the least, %d", n.value, n.least)
		}
	}
	if d.Connect <= 0 {
		c.bad("dispatch.connect", "0s leaves no time for a connection")
	}
	if d.IdleTimeout <= 0 {
		c.bad("dispatch.idle_life", "0s keeps no connection")
	}
	if d.PollWithin <= 0 {
		c.bad("dispatch.ask_within", "0s leaves no time between two questions for the list")
	}
	if !(d.SlowStartShare > 0 && d.SlowStartShare <= 1) {
		c.bad("dispatch.cold_from", "%v is not a share over 0 up to 1", d.SlowStartShare)
	}
	if !(d.OverloadMultiple >= 1) || math.IsInf(d.OverloadMultiple, 0) {
		c.bad("dispatch.fall_multiple", "%v is under 1", d.OverloadMultiple)
	}
	c.word("dispatch.late", d.Late, "line", "halves")
	c.word("dispatch.listed_rates", d.ListedRates, "none", "exact", "rough")
	if d.ConcurrencyLimit > c.Limits.Descriptors/3 {
		c.note("dispatch.slots", "%d calls find at most %d connections, a third of limits.descriptors", d.ConcurrencyLimit, c.Limits.Descriptors/3)
	}
}

func (c *checker) fronts() {
	if len(c.Frontends) == 0 {
		c.bad("fronts", "there is none: no document can come in")
		return
	}
	names, addresses := map[string]int{}, map[string]int{}
	total, even, waiting := 0, 0, Size(0)
	for i, f := range c.Frontends {
		at := func(name string) string { return fmt.Sprintf("fronts[%d].%s", i, name) }
		if !plainName.MatchString(f.Name) {
			c.bad(at("name"), "%q is not made of up to 63 small letters, digits and hyphens", f.Name)
		}
		if first, twice := names[f.Name]; twice {
			c.bad(at("name"), "fronts[%d] has this name too", first)
		}
		names[f.Name] = i
		if !forwarder.HasFrontendProtocol(f.Protocol) {
			c.bad(at("protocol"), "unknown protocol %q", f.Protocol)
		}
		c.address(at("listen"), f.Listen)
		if first, twice := addresses[f.Listen]; twice && !anyPort(f.Listen) {
			c.bad(at("listen"), "fronts[%d] listens there too", first)
		}
		addresses[f.Listen] = i
		if f.Connections < 0 || f.Connections > 0 && f.Connections < 8 {
			c.bad(at("connections"), "%d is under the least, 8", f.Connections)
		}
		if f.Waiting < 0 {
			c.bad(at("waiting"), "%d is under 0", f.Waiting)
		}
		if total += f.Connections; f.Connections == 0 {
			even++
		}
		if waiting += f.WaitingBytes; f.WaitingBytes == 0 {
			waiting += 4 << 20
		}
	}
	if all := forwarder.MaxClients(c.Limits.Descriptors); total+even*8 > all {
		c.bad("fronts", "their connections, %d and at least 8 for each other one, are more than the %d that limits.descriptors allows", total, all)
	}
	if waiting > c.Limits.Memory/2 {
		c.bad("fronts", "%s of waiting documents are more than half of limits.memory, %s", waiting, c.Limits.Memory)
	}
	if c.Metrics.Listen != "" && !anyPort(c.Metrics.Listen) {
		if i, twice := addresses[c.Metrics.Listen]; twice {
			c.bad("metrics.listen", "fronts[%d] listens there too", i)
		}
	}
}

func anyPort(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port == "0"
}

func (c *checker) types() {
	if len(c.Types) == 0 {
		c.bad("types", "there is none: no document can be taken on")
	}
	if len(c.Types) > mostTypes {
		c.bad("types", "%d are over the most, %d", len(c.Types), mostTypes)
	}
	names := map[string]bool{}
	for i, t := range c.Types {
		at := func(name string) string { return fmt.Sprintf("types[%d].%s", i, name) }
		if t.Name == "" || names[t.Name] {
			c.bad(at("name"), "%q is empty or used before", t.Name)
		}
		names[t.Name] = true
		c.word(at("repeat"), t.Idempotency, "replayable", "numbered", "binding")
		c.word(at("group"), t.Group, "all", "zone")
		if t.LatencyObjective <= 0 || t.TimeToLive <= 0 {
			c.bad(at("agreed"), "agreed and life need a time")
		} else if t.LatencyObjective > t.TimeToLive {
			c.bad(at("agreed"), "%s is over life, %s", t.LatencyObjective, t.TimeToLive)
		}
		if !(t.Value > 0) || math.IsInf(t.Value, 0) {
			c.bad(at("value"), "%v is no value over 0", t.Value)
		}
		if !(t.LateValueShare >= 0 && t.LateValueShare <= 1) {
			c.bad(at("late_share"), "%v is not a share from 0 to 1", t.LateValueShare)
		}
		if t.Idempotency == "numbered" && t.DeduplicationWindow <= 0 {
			c.bad(at("memory"), "a numbered type needs the time for which its number is known")
		} else if t.Idempotency != "numbered" && t.DeduplicationWindow > 0 {
			c.note(at("memory"), "has no use for a type that is not numbered")
		}
	}
}

func (c *checker) kinds() {
	outlets := map[string]bool{}
	for i, o := range c.Upstreams {
		at := func(name string) string { return fmt.Sprintf("outlets[%d].%s", i, name) }
		if !plainName.MatchString(o.Name) || outlets[o.Name] {
			c.bad(at("name"), "%q is not made of up to 63 small letters, digits and hyphens, or used before", o.Name)
		}
		outlets[o.Name] = true
		if !forwarder.HasUpstreamProtocol(o.Protocol) {
			c.bad(at("protocol"), "unknown protocol %q", o.Protocol)
		}
	}
	names := map[string]bool{}
	for i, k := range c.Kinds {
		at := func(name string) string { return fmt.Sprintf("kinds[%d].%s", i, name) }
		if k.Name == "" || names[k.Name] {
			c.bad(at("name"), "%q is empty or used before", k.Name)
		}
		names[k.Name] = true
		if k.Batch < 1 || k.Batch > 1000 {
			c.bad(at("batch"), "%d is not between 1 and 1000", k.Batch)
		}
		if !outlets[k.Upstream] {
			c.bad(at("outlet"), "%q is the name of none of outlets", k.Upstream)
		}
	}
}

func (c *checker) tenants() {
	names := map[string]bool{}
	for i, t := range c.Tenants {
		at := func(name string) string { return fmt.Sprintf("tenants[%d].%s", i, name) }
		if t.Name == "" || names[t.Name] {
			c.bad(at("name"), "%q is empty or used before", t.Name)
		}
		names[t.Name] = true
		if !(t.PerSecond > 0) || math.IsInf(t.PerSecond, 0) {
			c.bad(at("per_second"), "%v is not a rate over 0", t.PerSecond)
		}
	}
}

// list checks where the list comes from: discovery or the file, not both.
func (c *checker) list() {
	d := c.Discovery
	switch {
	case d.Address != "":
		c.address("discovery.address", d.Address)
		if len(c.Endpoints) > 0 {
			c.bad("targets", "discovery.address is told as well: the list can come from one of them only")
		}
	case len(c.Endpoints) == 0:
		c.bad("targets", "there is none, and no discovery.address that would tell some")
	case len(c.Endpoints) > mostTargets:
		c.bad("targets", "%d are over the most, %d", len(c.Endpoints), mostTargets)
	}
	if d.Notices != "" {
		c.address("discovery.notices", d.Notices)
	} else if d.Address == "" {
		c.note("discovery.notices", "is empty: the final answers of documents that are not delivered stand in the log alone")
	}
	names := map[string]int{}
	for i, t := range c.Endpoints {
		at := func(name string) string { return fmt.Sprintf("targets[%d].%s", i, name) }
		if t.UID == "" {
			c.bad(at("uid"), "is not told")
		} else if first, twice := names[t.UID]; twice {
			c.bad(at("uid"), "targets[%d] has it too", first)
		}
		names[t.UID] = i
		c.address(at("address"), t.Address)
		if t.Destination > math.MaxUint32 {
			c.bad(at("dest"), "%d is over %d", t.Destination, uint32(math.MaxUint32))
		}
		if !slices.Contains(c.Zones, t.Zone) {
			c.bad(at("zone"), "%q is none of zones %q", t.Zone, c.Zones)
		}
		if !slices.ContainsFunc(c.Kinds, func(k Kind) bool { return k.Name == t.Kind }) {
			c.bad(at("kind"), "%q is the name of none of kinds", t.Kind)
		}
		c.word(at("state"), t.State, "active", "leaving")
		if !(t.PerSecond >= 0) || math.IsInf(t.PerSecond, 0) {
			c.bad(at("per_second"), "%v is not a rate", t.PerSecond)
		} else if t.PerSecond > 0 && c.Dispatch.ListedRates == "none" {
			c.note(at("per_second"), "has no use, as dispatch.listed_rates is none")
		}
	}
}

func (c *checker) log() {
	if _, err := zerolog.ParseLevel(c.Log.Level); err != nil || c.Log.Level == "" {
		c.word("log.level", c.Log.Level, "trace", "debug", "info", "warn", "error")
	}
	c.word("log.format", c.Log.Format, "json", "console")
	if !(c.Log.Sample >= 0 && c.Log.Sample <= 1) {
		c.bad("log.sample", "%v is not a share from 0 to 1", c.Log.Sample)
	}
	for _, k := range c.Log.Keys {
		if _, err := strconv.ParseUint(k, 16, 64); err != nil {
			c.bad("log.keys", "%q is not a hexadecimal number", k)
		}
	}
}
