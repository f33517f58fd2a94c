// Package settings converts the platform's settings, which are JSON, to the scheduler's.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"spanflow/scheduler"
)

// Names holds the settings that the event loop needs in addition to the scheduler's.
type Names struct {
	Types, Zones, Kinds []string // by number
	Tenants             []string
	LimitIndex          int     // index of the limit among a load report's values, -1 if there is none
	LimitField          string  // name of the limit's field
	ShareIndex          int     // index of the remaining share of the limit, -1 if there is none
	ShareField          string  // name of the remaining share's field
	Connect             float64 // seconds within which a connection has to be established
}

// Fields of a load report: the limit in calls per second, and the share of it that currently remains.
const (
	limitField     = "x1"
	remainingField = "x0"
)

// Factors by which a rate in the endpoint list may be too high.
const (
	nominalTolerance = 1
	roughTolerance   = 1.5
)

const millisecondsPerSecond = 1000

// Read decodes the platform's settings. Errors name the invalid field.
func Read(text []byte) (scheduler.Settings, Names, error) {
	var p platformSettings
	if err := json.Unmarshal(text, &p); err != nil {
		return scheduler.Settings{}, Names{}, err
	}
	if err := p.check(); err != nil {
		return scheduler.Settings{}, Names{}, err
	}
	s, names := p.settings(), p.names()
	for _, t := range p.Tenants {
		s.TenantRate = append(s.TenantRate, t.Rate)
	}
	for i := range p.Classes {
		idempotency, err := p.Classes[i].idempotency(i)
		if err != nil {
			return scheduler.Settings{}, Names{}, err
		}
		s.Types = append(s.Types, p.Classes[i].messageType(idempotency))
	}
	return s, names, nil
}

// settings returns the scheduler's settings, without tenants and types.
func (p *platformSettings) settings() scheduler.Settings {
	s := scheduler.Settings{
		Forwarders:         p.NInstances,
		Zone:               p.MyZone,
		ConcurrencyLimit:   p.Extra.ConcurrencyLimit,
		QueueCapacity:      p.Limits.QueueCapacity,
		MaxAttempts:        p.Limits.MaxAttempts,
		KindBatchSize:      p.Extra.BatchSizes,
		KindEndpointLimits: p.Extra.SeparateRoutes,
		KeyCooldown:        p.Guarantees.KeyCooldown / millisecondsPerSecond,
		SlowStartShare:     p.Guarantees.SlowStartFraction,
		SlowStartDuration:  p.Guarantees.SlowStartDuration / millisecondsPerSecond,
		OverloadMultiple:   p.Guarantees.OverloadMultiple,
		IdleTimeout:        p.Limits.IdleTimeout / millisecondsPerSecond,
		HalvingValue:       p.Extra.Decay == decayHalves,
		PollEndpoints:      p.Discovery == discoveryPoll,
		PollWithin:         p.Guarantees.PollWithin / millisecondsPerSecond,
		DrainGrace:         p.Guarantees.DrainGrace / millisecondsPerSecond,
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = p.Limits.MaxRetryAfter / millisecondsPerSecond
	}
	switch p.WeightKind {
	case weightNominal:
		s.ListedRateTolerance = nominalTolerance
	case weightRough:
		s.ListedRateTolerance = roughTolerance
	}
	return s
}

func (p *platformSettings) names() Names {
	names := Names{
		Zones:      p.Azs,
		Kinds:      p.Kinds,
		LimitIndex: slices.Index(p.Report.Fields, limitField),
		LimitField: limitField,
		ShareIndex: slices.Index(p.Report.Fields, remainingField),
		ShareField: remainingField,
		Connect:    p.Limits.ConnectTimeout / millisecondsPerSecond,
	}
	for _, t := range p.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	for _, c := range p.Classes {
		names.Types = append(names.Types, c.Name)
	}
	return names
}

// idempotency returns how destinations treat a second attempt of a message of the class. index is the position of the
// class in Classes.
func (c *class) idempotency(index int) (scheduler.Idempotency, error) {
	switch c.Idempotency {
	case idempotencyRetryable:
		return scheduler.Idempotent, nil
	case idempotencyDedup:
		return scheduler.IdempotentWithKey, nil
	case idempotencyFragile:
		return scheduler.AtMostOnce, nil
	}
	return 0, &unknownWordError{fmt.Sprintf("Classes[%d].Idempotency", index), c.Idempotency}
}

func (c *class) messageType(idempotency scheduler.Idempotency) scheduler.MessageType {
	t := scheduler.MessageType{
		Idempotency:         idempotency,
		DeduplicatedPerZone: c.Group == groupZone,
		InOrder:             c.Sequential,
		LatencyObjective:    c.LatencyObjective / millisecondsPerSecond,
		TimeToLive:          c.TimeToLive / millisecondsPerSecond,
		DeduplicationWindow: c.DeduplicationWindow / millisecondsPerSecond,
		Value:               1,
		LateValueShare:      c.LateValueFraction,
	}
	if c.Value != nil {
		t.Value = *c.Value
	}
	return t
}
