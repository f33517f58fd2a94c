package scenario

import (
	"fmt"
	"slices"

	"spanflow/internal/config"
)

const (
	maxSeconds   = 86400 // maximum length of a scenario and of its drain
	maxZones     = 2
	maxRate      = 1e6 // messages per second
	maxEndpoints = 1_000_000
)

// checker collects the problems of a scenario, and the names that later parts of the scenario may refer to.
type checker struct {
	*Scenario
	problems     config.Problems
	tenants      []string // names of tenants, and "" because a reference may be empty
	receivers    []string // names of receivers, and "" for the same reason
	destinations int
}

// Check returns all problems of a scenario, each with the TOML field concerned.
func (s *Scenario) Check() config.Problems {
	c := &checker{Scenario: s, tenants: []string{""}, receivers: []string{""}}
	c.checkRun()
	for i := range s.Types {
		c.checkType(fmt.Sprintf("types[%d].", i), &s.Types[i])
	}
	for i := range s.Tenants {
		c.checkTenant(fmt.Sprintf("tenants[%d].", i), &s.Tenants[i])
	}
	for i := range s.Receivers {
		c.checkReceiver(fmt.Sprintf("partners[%d].", i), &s.Receivers[i])
	}
	if c.destinations == 0 {
		c.add("partners", "at least one is required")
	}
	c.checkLoad()
	for i := range s.Faults {
		c.checkFault(fmt.Sprintf("troubles[%d].", i), &s.Faults[i])
	}
	return c.problems
}

func (c *checker) add(field, format string, v ...any) {
	c.problems = append(c.problems, config.Problem{Field: field, Reason: fmt.Sprintf(format, v...)})
}

// oneOf adds a problem if a value is not one of the known ones.
func (c *checker) oneOf(field, value string, known ...string) {
	if !slices.Contains(known, value) {
		c.add(field, "%q is not one of %q", value, known)
	}
}

func (c *checker) checkRun() {
	if c.Length <= 0 || c.Length > maxSeconds || c.Drain > maxSeconds {
		c.add("length", "%s is not a duration above 0 and up to a day", c.Length)
	}
	if !(c.Floor >= 0 && c.Floor <= 1) {
		c.add("floor", "%v is not a share from 0 to 1", c.Floor)
	}
	if c.Zones < 1 || c.Zones > maxZones {
		c.add("zones", "%d is not 1 or 2", c.Zones)
	}
	d := &c.Dispatch
	if d.Forwarders < 1 || d.Forwarders > 10_000 || d.ConcurrencyLimit < 1 || d.QueueCapacity < 1 || d.MaxAttempts < 1 {
		c.add("dispatch", "forwarders, slots, room and transmissions must be at least 1")
	}
	if len(c.Types) == 0 {
		c.add("types", "at least one is required")
	}
}

func (c *checker) checkType(at string, t *Type) {
	c.oneOf(at+"repeat", t.Idempotency, Idempotent, IdempotentWithKey, AtMostOnce)
	c.oneOf(at+"group", t.Group, KnownInAllZones, KnownInOneZone)
	if t.LatencyObjective <= 0 || t.TimeToLive < t.LatencyObjective {
		c.add(at+"agreed", "agreed must be above 0 and at most life")
	}
	if t.Idempotency == IdempotentWithKey && t.DeduplicationWindow <= 0 {
		c.add(at+"memory", "is required for a numbered type")
	}
	if !(t.LoadWeight > 0) || !(t.Value >= 0) || t.Keys < 1 {
		c.add(at+"part", "part must be above 0, value at least 0 and keys at least 1")
	}
}

func (c *checker) checkTenant(at string, t *Tenant) {
	if !(t.PerSecond > 0) || !(t.LoadWeight >= 0) {
		c.add(at+"per_second", "per_second must be above 0 and part at least 0")
	}
	c.tenants = append(c.tenants, t.Name)
}

func (c *checker) checkReceiver(at string, r *Receiver) {
	c.oneOf(at+"service", r.Service, ServiceFixed, ServiceExponential, ServiceLognormal)
	if r.Count < 1 || r.Endpoints < 1 || r.Count*r.Endpoints > maxEndpoints || r.Batch < 1 || r.Concurrency < 1 || r.Queue < 0 {
		c.add(at+"count", "count, targets, batch and places must be at least 1, and queue at least 0")
	}
	if r.Mean <= 0 {
		c.add(at+"mean", "is missing")
	}
	if !(r.Rate >= 0) || !(r.Burst >= 0) || r.Calls < 0 || (r.Calls > 0) != (r.Window > 0) {
		c.add(at+"rate", "rate, burst and calls must not be negative; calls and window must be set together")
	}
	c.destinations += r.Count
	c.receivers = append(c.receivers, r.Name)
}

func (c *checker) checkLoad() {
	c.oneOf("load.arrive", c.Load.Arrivals, ArrivalsPoisson, ArrivalsEven)
	if !(c.Load.PerSecond > 0) || c.Load.PerSecond > maxRate {
		c.add("load.per_second", "%v is not a valid rate", c.Load.PerSecond)
	}
	if err := c.Shape().Check(); err != nil {
		c.add("load.shape", "%v", err)
	}
	for i, b := range c.Load.Bursts {
		at := fmt.Sprintf("load.clumps[%d].", i)
		if b.Destination < AnyDestination || b.Destination >= c.destinations || b.Count < 1 {
			c.add(at+"dest", "there is no destination %d, or count is below 1", b.Destination)
		}
		c.oneOf(at+"tenant", b.Tenant, c.tenants...)
	}
}

func (c *checker) checkFault(at string, f *Fault) {
	if FaultKinds[f.Kind] == "" {
		c.add(at+"kind", "unknown fault %q", f.Kind)
	}
	for _, d := range f.Destinations {
		if d < 0 || d >= c.destinations {
			c.add(at+"dest", "there is no destination %d", d)
		}
	}
	c.oneOf(at+"partner", f.Receiver, c.receivers...)
	c.oneOf(at+"tenant", f.Tenant, c.tenants...)
	if f.For <= 0 && f.Kind != FaultRestart {
		c.add(at+"for", "is missing")
	}
	if !(f.Fraction >= 0 && f.Fraction <= 1) {
		c.add(at+"share", "%v is not a share from 0 to 1", f.Fraction)
	}
	if slices.Contains(fractionFaults, f.Kind) && f.Fraction == 0 {
		c.add(at+"share", "is missing")
	}
	if f.Kind == FaultSlow && !(f.By > 1) {
		c.add(at+"by", "%v is not above 1", f.By)
	}
}
