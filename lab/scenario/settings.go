package scenario

import (
	"spanflow/lab/receiver"
	"spanflow/scheduler"
)

// listedRateTolerances gives, by the value of dispatch.listed_rates, the factor by which a listed rate may be exceeded.
// Listed rates are not used for values that are missing here.
var listedRateTolerances = map[string]float64{"exact": 1, "rough": 1.5}

var idempotencies = map[string]scheduler.Idempotency{
	Idempotent:        scheduler.Idempotent,
	IdempotentWithKey: scheduler.IdempotentWithKey,
	AtMostOnce:        scheduler.AtMostOnce,
}

// SchedulerSettings returns the settings of a forwarder. They differ between forwarders only by zone.
func (s *Scenario) SchedulerSettings(forwarder int) scheduler.Settings {
	d := &s.Dispatch
	settings := scheduler.Settings{
		Forwarders:          d.Forwarders,
		ConcurrencyLimit:    d.ConcurrencyLimit,
		QueueCapacity:       d.QueueCapacity,
		MaxAttempts:         d.MaxAttempts,
		Zone:                forwarder % s.Zones,
		KeyCooldown:         float64(d.KeyCooldown),
		SlowStartShare:      d.SlowStartShare,
		SlowStartDuration:   float64(d.SlowStartDuration),
		OverloadMultiple:    d.OverloadMultiple,
		IdleTimeout:         float64(d.IdleTimeout),
		MaxRetryAfter:       float64(d.MaxRetryAfter),
		ListedRateTolerance: listedRateTolerances[d.ListedRates],
	}
	for _, r := range s.Receivers {
		settings.KindBatchSize = append(settings.KindBatchSize, r.Batch)
		settings.KindEndpointLimits = append(settings.KindEndpointLimits, r.EndpointLimits)
	}
	for _, t := range s.Tenants {
		settings.TenantRate = append(settings.TenantRate, t.PerSecond)
	}
	for _, t := range s.Types {
		settings.Types = append(settings.Types, scheduler.MessageType{
			Idempotency:         idempotencies[t.Idempotency],
			DeduplicatedPerZone: t.Group == KnownInOneZone,
			InOrder:             t.InOrder,
			LatencyObjective:    float64(t.LatencyObjective),
			TimeToLive:          float64(t.TimeToLive),
			DeduplicationWindow: float64(t.DeduplicationWindow),
		})
	}
	return settings
}

// ReceiverBehavior returns the behavior of a receiver's destinations. Slow starts follow the fleet's settings.
func (s *Scenario) ReceiverBehavior(r *Receiver) receiver.Behavior {
	return receiver.Behavior{
		Service:           receiver.Distribution{Form: r.Service, Mean: float64(r.Mean), Sigma: r.Sigma},
		Concurrency:       r.Concurrency,
		Queue:             r.Queue,
		Rate:              r.Rate,
		Burst:             r.Burst,
		WindowCalls:       r.Calls,
		Window:            float64(r.Window),
		EndpointLimits:    r.EndpointLimits,
		ReportsRetryAfter: r.ReportsRetryAfter,
		ReportsLimit:      r.ReportsLimit,
		SlowStartFraction: s.Dispatch.SlowStartShare,
		SlowStartDuration: float64(s.Dispatch.SlowStartDuration),
		OverloadMultiple:  s.Dispatch.OverloadMultiple,
		OverloadWindow:    float64(r.OverloadWindow),
		OverloadDowntime:  float64(r.OverloadDowntime),
	}
}
