// Package settings turns the operators' settings into what the scheduler is told at its start.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"spanflow/scheduler"
)

// settings names the figures read here as the operators write them; times in milliseconds.
type settings struct {
	Classes []struct {
		Name, Idempotency, Group   string
		Sequential                 bool
		Slo, HardLimit, MemorySpan float64
		Worth                      *float64 // absent: 1
		LateShare                  float64
	}
	Tenants []struct {
		Name     string
		QuotaRps float64
	}
	Extra struct {
		CallsOut       int
		KindBatch      []int
		SeparateRoutes []bool
		Decay          string
	}
	Guarantees struct{ AskWithin, Cold, ColdFrom, FallMultiple, KeyRest float64 }
	Limits     struct {
		AttemptsCap, MaxOpen int
		MaxRetryAfter        float64
		ConnIdle             float64
		ConnectTimeout       float64
		RetryAfter           bool
	}
	Report struct {
		Fields []string
	}
	Discovery, WeightKind string
	MyZone, NInstances    int
	Azs, Kinds            []string
}

// Names are what the event loop needs beside the scheduler's terms.
type Names struct {
	Types, Zones, Kinds []string // by their numbers
	Tenants             []string
	LimitIndex          int     // place of the limit among a load report's values, -1 if there is none
	LimitField          string  // its name
	ShareIndex          int     // place of the share of the limit that is left, -1 if there is none
	ShareField          string  // its name
	Connect             float64 // seconds in which a connection comes up or never does
}

// The load report's fields that tell the limit in calls a second, and the share of it that is left just now.
const limit, left = "x1", "x0"

// Read decodes settings.
func Read(text []byte) (scheduler.Settings, Names, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return scheduler.Settings{}, Names{}, err
	}
	switch {
	case len(s.Classes) == 0:
		return scheduler.Settings{}, Names{}, errors.New("no document type in Classes")
	case s.Extra.CallsOut < 1:
		return scheduler.Settings{}, Names{}, errors.New("Extra.CallsOut is not a number of slots")
	case s.NInstances < 1:
		return scheduler.Settings{}, Names{}, errors.New("NInstances is not a number of forwarders")
	}
	if err := s.check(); err != nil {
		return scheduler.Settings{}, Names{}, err
	}
	t := scheduler.Settings{KindBatchSize: s.Extra.KindBatch, KindEndpointLimits: s.Extra.SeparateRoutes, Forwarders: s.NInstances,
		ConcurrencyLimit: s.Extra.CallsOut, QueueCapacity: s.Limits.MaxOpen, MaxAttempts: s.Limits.AttemptsCap, Zone: s.MyZone,
		KeyCooldown: s.Guarantees.KeyRest / 1000, SlowStartShare: s.Guarantees.ColdFrom, SlowStartDuration: s.Guarantees.Cold / 1000,
		OverloadMultiple: s.Guarantees.FallMultiple, IdleTimeout: s.Limits.ConnIdle / 1000,
		HalvingValue: s.Extra.Decay == "halves", PollEndpoints: s.Discovery == "ask", PollWithin: s.Guarantees.AskWithin / 1000}
	if s.Limits.RetryAfter {
		t.MaxRetryAfter = s.Limits.MaxRetryAfter / 1000
	}
	switch s.WeightKind {
	case "nominal":
		t.ListedRateTolerance = 1
	case "rough":
		t.ListedRateTolerance = 1.5
	}
	f := Names{Zones: s.Azs, Kinds: s.Kinds, LimitIndex: slices.Index(s.Report.Fields, limit), LimitField: limit,
		ShareIndex: slices.Index(s.Report.Fields, left), ShareField: left,
		Connect: s.Limits.ConnectTimeout / 1000}
	for _, q := range s.Tenants {
		t.TenantRate = append(t.TenantRate, q.QuotaRps)
		f.Tenants = append(f.Tenants, q.Name)
	}
	for i, c := range s.Classes {
		d := scheduler.MessageType{DeduplicatedPerZone: c.Group == "zone", InOrder: c.Sequential, LatencyObjective: c.Slo / 1000,
			TimeToLive: c.HardLimit / 1000, DeduplicationWindow: c.MemorySpan / 1000, Value: 1, LateValueShare: c.LateShare}
		if c.Worth != nil {
			d.Value = *c.Worth
		}
		switch c.Idempotency {
		case "retryable":
			d.Idempotency = scheduler.Idempotent
		case "dedup":
			d.Idempotency = scheduler.IdempotentWithKey
		case "fragile":
			d.Idempotency = scheduler.AtMostOnce
		default:
			return scheduler.Settings{}, Names{}, fmt.Errorf("Classes[%d].Idempotency: unknown word %q", i, c.Idempotency)
		}
		t.Types = append(t.Types, d)
		f.Types = append(f.Types, c.Name)
	}
	return t, f, nil
}

// check names the first field that no forwarder can work by. UnknownOption keys and absent ones pass.
func (s *settings) check() error {
	if !slices.Contains([]string{"", "line", "halves"}, s.Extra.Decay) {
		return fmt.Errorf("Extra.Decay: unknown word %q", s.Extra.Decay)
	}
	if !slices.Contains([]string{"", "silent", "nominal", "rough", "live"}, s.WeightKind) {
		return fmt.Errorf("WeightKind: unknown word %q", s.WeightKind)
	}
	for i, c := range s.Classes {
		bad := func(field string, v any) error {
			path := fmt.Sprintf("Classes[%d].%s", i, field)
			return fmt.Errorf("%s: %v is out of range", path, v)
		}
		switch {
		case c.Worth != nil && *c.Worth < 0:
			return bad("Worth", *c.Worth)
		case c.LateShare < 0 || c.LateShare > 1:
			return bad("LateShare", c.LateShare)
		case c.Slo < 0:
			return bad("Slo", c.Slo)
		case c.MemorySpan < 0:
			return bad("MemorySpan", c.MemorySpan)
		case c.HardLimit < c.Slo:
			return bad("HardLimit", c.HardLimit)
		}
	}
	return nil
}
