package sim

import (
	"encoding/json"
	"fmt"

	"spanflow/lab/scenario"
)

// object is a JSON object of the configuration that the hosting platform passes to a forwarder (PROXY_CONFIG). The
// platform defines its keys.
type object = map[string]any

const diskMB = 8 // disk limit of a forwarder's write-ahead log

// platformIdempotencies maps a type's idempotency to the platform's value.
var platformIdempotencies = map[string]string{
	scenario.Idempotent:        "retryable",
	scenario.IdempotentWithKey: "dedup",
	scenario.AtMostOnce:        "fragile",
}

// platformListedRates maps the precision of listed rates to the platform's value. Listed rates are not used for values
// that are missing here.
var platformListedRates = map[string]string{"exact": "nominal", "rough": "rough"}

// platformConfig returns a forwarder's configuration in the platform's format, with a random seed.
func (run *realRun) platformConfig(p *process) object {
	return object{
		"name":      p.name,
		"listen":    p.listen,
		"discovery": run.discovery.Addr,
		"seed":      fmt.Sprintf("%016x", run.random.Uint64()),
		"limits":    object{"cores": 1, "memory_mb": run.Memory, "sockets": run.Sockets, "disk_mb": diskMB},
		"known":     json.RawMessage(run.discovery.Known()),
		"settings":  platformSettings(run.scenario, p.number),
	}
}

// platformSettings returns a forwarder's settings in the platform's format.
func platformSettings(s *scenario.Scenario, forwarder int) object {
	var kinds, zones []string
	var batch []int
	var endpointLimits []bool
	for i, r := range s.Receivers {
		kinds, batch, endpointLimits = append(kinds, fmt.Sprint("k", i)), append(batch, r.Batch), append(endpointLimits, r.EndpointLimits)
	}
	for z := range s.Zones {
		zones = append(zones, fmt.Sprint("z", z))
	}
	d := &s.Dispatch
	return object{
		"Classes":    platformClasses(s),
		"Tenants":    platformTenants(s),
		"Kinds":      kinds,
		"Azs":        zones,
		"MyZone":     forwarder % s.Zones,
		"NInstances": d.Forwarders,
		"Extra":      object{"CallsOut": d.ConcurrencyLimit, "KindBatch": batch, "SeparateRoutes": endpointLimits},
		"Guarantees": object{
			"Cold":         millis(float64(d.SlowStartDuration)),
			"ColdFrom":     d.SlowStartShare,
			"FallMultiple": d.OverloadMultiple,
			"KeyRest":      millis(float64(d.KeyCooldown)),
		},
		"Limits": object{
			"AttemptsCap":    d.MaxAttempts,
			"MaxOpen":        d.QueueCapacity,
			"RetryAfter":     d.MaxRetryAfter > 0,
			"MaxRetryAfter":  millis(float64(d.MaxRetryAfter)),
			"ConnIdle":       millis(float64(d.IdleTimeout)),
			"ConnectTimeout": millis(float64(d.Connect)),
		},
		"Report":     object{"Fields": []string{"x0", "x1"}},
		"Discovery":  "ask",
		"WeightKind": platformListedRates[d.ListedRates],
	}
}

func platformClasses(s *scenario.Scenario) []object {
	var classes []object
	for _, t := range s.Types {
		classes = append(classes, object{
			"Name":        t.Name,
			"Idempotency": platformIdempotencies[t.Idempotency],
			"Group":       t.Group,
			"Sequential":  t.InOrder,
			"Slo":         millis(float64(t.LatencyObjective)),
			"HardLimit":   millis(float64(t.TimeToLive)),
			"MemorySpan":  millis(float64(t.DeduplicationWindow)),
		})
	}
	return classes
}

func platformTenants(s *scenario.Scenario) []object {
	var tenants []object
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"Name": t.Name, "QuotaRps": t.PerSecond})
	}
	return tenants
}

func millis(seconds float64) float64 { return seconds * 1000 }
