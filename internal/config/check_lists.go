package config

import (
	"fmt"
	"math"
	"slices"

	"spanflow/forwarder"
)

func (c *checker) checkTypes() {
	if len(c.Types) == 0 {
		c.problem("types", "none is configured, so no message can be accepted")
	}
	if len(c.Types) > maxTypes {
		c.problem("types", "%d exceed the maximum, %d", len(c.Types), maxTypes)
	}
	names := map[string]bool{}
	for i, t := range c.Types {
		field := func(key string) string { return fmt.Sprintf("types[%d].%s", i, key) }
		if t.Name == "" || names[t.Name] {
			c.problem(field("name"), "%q is empty or already used", t.Name)
		}
		names[t.Name] = true
		c.checkType(&t, field)
	}
}

func (c *checker) checkType(t *Type, field func(key string) string) {
	c.oneOf(field("repeat"), t.Idempotency, wordIdempotent, wordIdempotentWithKey, wordAtMostOnce)
	c.oneOf(field("group"), t.Group, groupAll, groupZone)
	if t.LatencyObjective <= 0 || t.TimeToLive <= 0 {
		c.problem(field("agreed"), "agreed and life must be greater than 0s")
	} else if t.LatencyObjective > t.TimeToLive {
		c.problem(field("agreed"), "%s is longer than life, %s", t.LatencyObjective, t.TimeToLive)
	}
	if !isRate(t.Value) {
		c.problem(field("value"), "%v is not a finite value greater than 0", t.Value)
	}
	if !isFraction(t.LateValueShare) {
		c.problem(field("late_share"), "%v is not a share from 0 to 1", t.LateValueShare)
	}
	if t.Idempotency == wordIdempotentWithKey && t.DeduplicationWindow <= 0 {
		c.problem(field("memory"), "a numbered type needs the time for which targets remember a number")
	} else if t.Idempotency != wordIdempotentWithKey && t.DeduplicationWindow > 0 {
		c.note(field("memory"), "has no effect on a type that is not numbered")
	}
}

func (c *checker) checkUpstreams() {
	names := map[string]bool{}
	for i, u := range c.Upstreams {
		field := func(key string) string { return fmt.Sprintf("outlets[%d].%s", i, key) }
		if !plainName.MatchString(u.Name) || names[u.Name] {
			c.problem(field("name"), "%q is already used, or not a name of 1 to 63 lowercase letters, digits and hyphens that begins with a letter or digit", u.Name)
		}
		names[u.Name] = true
		if !forwarder.HasUpstreamProtocol(u.Protocol) {
			c.problem(field("protocol"), "unknown protocol %q", u.Protocol)
		}
	}
}

func (c *checker) checkKinds() {
	names := map[string]bool{}
	for i, k := range c.Kinds {
		field := func(key string) string { return fmt.Sprintf("kinds[%d].%s", i, key) }
		if k.Name == "" || names[k.Name] {
			c.problem(field("name"), "%q is empty or already used", k.Name)
		}
		names[k.Name] = true
		if k.Batch < 1 || k.Batch > maxBatch {
			c.problem(field("batch"), "%d is not between 1 and %d", k.Batch, maxBatch)
		}
		if !slices.ContainsFunc(c.Upstreams, func(u Upstream) bool { return u.Name == k.Upstream }) {
			c.problem(field("outlet"), "%q is not the name of an outlet", k.Upstream)
		}
	}
}

func (c *checker) checkTenants() {
	names := map[string]bool{}
	for i, t := range c.Tenants {
		field := func(key string) string { return fmt.Sprintf("tenants[%d].%s", i, key) }
		if t.Name == "" || names[t.Name] {
			c.problem(field("name"), "%q is empty or already used", t.Name)
		}
		names[t.Name] = true
		if !isRate(t.PerSecond) {
			c.problem(field("per_second"), "%v is not a rate greater than 0", t.PerSecond)
		}
	}
}

// checkEndpointSource checks that the endpoint list comes either from discovery or from the file.
func (c *checker) checkEndpointSource() {
	d := c.Discovery
	switch {
	case d.Address != "":
		c.address("discovery.address", d.Address)
		if len(c.Endpoints) > 0 {
			c.problem("targets", "discovery.address is also set, but the list can come from only one of them")
		}
	case len(c.Endpoints) == 0:
		c.problem("targets", "none is configured, and discovery.address is not set")
	case len(c.Endpoints) > maxEndpoints:
		c.problem("targets", "%d exceed the maximum, %d", len(c.Endpoints), maxEndpoints)
	}
	if d.Notices != "" {
		c.address("discovery.notices", d.Notices)
	} else if d.Address == "" {
		c.note("discovery.notices", "is empty, so the final answers of messages that are not delivered appear only in the log")
	}
}

func (c *checker) checkEndpoints() {
	uids := map[string]int{} // index of the latest endpoint with that uid
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		field := func(key string) string { return fmt.Sprintf("targets[%d].%s", i, key) }
		if e.UID == "" {
			c.problem(field("uid"), "is not set")
		} else if first, taken := uids[e.UID]; taken {
			c.problem(field("uid"), "targets[%d] already has this uid", first)
		}
		uids[e.UID] = i
		c.checkEndpoint(e, field)
	}
}

func (c *checker) checkEndpoint(e *Endpoint, field func(key string) string) {
	c.address(field("address"), e.Address)
	if e.Destination > math.MaxUint32 {
		c.problem(field("dest"), "%d exceeds the maximum, %d", e.Destination, uint32(math.MaxUint32))
	}
	if !slices.Contains(c.Zones, e.Zone) {
		c.problem(field("zone"), "%q is not one of zones %q", e.Zone, c.Zones)
	}
	if !slices.ContainsFunc(c.Kinds, func(k Kind) bool { return k.Name == e.Kind }) {
		c.problem(field("kind"), "%q is not the name of a kind", e.Kind)
	}
	c.oneOf(field("state"), e.State, stateActive, stateLeaving)
	if !(e.PerSecond >= 0) || math.IsInf(e.PerSecond, 0) {
		c.problem(field("per_second"), "%v is not a rate of 0 or more", e.PerSecond)
	} else if e.PerSecond > 0 && c.Dispatch.ListedRates == ratesNone {
		c.note(field("per_second"), "has no effect, because dispatch.listed_rates is none")
	}
}
