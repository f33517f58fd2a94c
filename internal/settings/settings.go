// Package settings reads the platform's settings, written in JSON, into those of the scheduler.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"spanflow/scheduler"
)

// Names holds what the event loop needs beside the scheduler's settings.
type Names struct {
	Types, Zones, Kinds []string // by their numbers
	Tenants             []string
	LimitIndex          int     // place of the limit among a load report's values, -1 if there is none
	LimitField          string  // its name
	ShareIndex          int     // place of the part of the limit that is left, -1 if there is none
	ShareField          string  // its name
	Connect             float64 // seconds within which a connection has to be established
}

// The load report's fields with the limit in calls a second, and the part of it that is left just now.
const (
	limitField     = "x1"
	remainingField = "x0"
)

// Tolerances of the rates in the list, by how exact they are.
const (
	nominalTolerance = 1
	roughTolerance   = 1.5
)

const millisecondsPerSecond = 1000

// Read decodes settings. An error names the field at fault.
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

// idempotency returns what a second attempt at a message of the class may do. number is the number of the class.
func (c *class) idempotency(number int) (scheduler.Idempotency, error) {
	switch c.Idempotency {
	case idempotencyRetryable:
		return scheduler.Idempotent, nil
	case idempotencyDedup:
		return scheduler.IdempotentWithKey, nil
	case idempotencyFragile:
		return scheduler.AtMostOnce, nil
	}
	return 0, &unknownWordError{fmt.Sprintf("Classes[%d].Idempotency", number), c.Idempotency}
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
