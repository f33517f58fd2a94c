package config

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rs/zerolog"

	"spanflow/forwarder"
	"spanflow/internal/metrics"
	"spanflow/internal/settings"
	"spanflow/scheduler"
	"spanflow/transport"
)

const mostToken = 4 << 10

// token is the secret that a reader of metrics has to show. It stands in a file of its own, never in a configuration,
// and is shown nowhere.
func (l *Loaded) token() (string, error) {
	if l.Metrics.TokenFile == "" {
		return "", nil
	}
	f, err := os.Open(l.beside(l.Metrics.TokenFile))
	if err != nil {
		return "", err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return "", err
	} else if info.Mode().Perm()&0o007 != 0 {
		return "", fmt.Errorf("%s is open to everybody (mode %o): take the last digit away", f.Name(), info.Mode().Perm())
	}
	text, err := io.ReadAll(io.LimitReader(f, mostToken))
	if err != nil {
		return "", err
	}
	if text = bytes.TrimSpace(text); len(text) == 0 {
		return "", fmt.Errorf("%s is empty", f.Name())
	}
	return string(text), nil
}

// Config makes the forwarder's order of a configuration that has been checked, with a reload that reads it anew.
func ForwarderConfig(path string, environ, flags []string) (*forwarder.Config, error) {
	o, err := order(path, environ, flags)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, err
	}
	o.Reload = func() (*forwarder.Config, error) {
		next, err := order(path, environ, flags)
		if err == nil && next.RandomSeed {
			next.Seed = o.Seed
		}
		return next, err
	}
	return o, nil
}

func order(path string, environ, flags []string) (*forwarder.Config, error) {
	l, err := Load(path, environ, flags)
	if err != nil {
		return nil, err
	}
	if wrong, _ := l.Check(); len(wrong) > 0 {
		return nil, wrong
	}
	return l.ForwarderConfig()
}

// Config makes an order of a configuration in which Check found nothing wrong. It makes no folder and reads nothing again.
func (l *Loaded) ForwarderConfig() (*forwarder.Config, error) {
	folder, err := filepath.Abs(l.Folder())
	if err != nil {
		return nil, err
	}
	o := &forwarder.Config{Name: l.Name, Discovery: l.Discovery.Address, Folder: folder,
		MemoryMB: int(l.Limits.Memory / 1e6), Sockets: l.Limits.Descriptors, DiskMB: int(l.Ledger.Disk / 1e6), Cores: l.Limits.Cores,
		KindUpstream: map[string]string{}, Metrics: l.Metrics.Listen, TokenFile: l.Metrics.TokenFile, DiscoveryMovable: true,
		Admin: l.Admin}
	o.SetConfiguredAddresses(l.Discovery.Address, l.Discovery.Notices)
	if l.Seed == "" {
		o.Seed, o.RandomSeed = rand.Uint64(), true
	} else if o.Seed, err = strconv.ParseUint(l.Seed, 16, 64); err != nil {
		return nil, err
	}
	for _, f := range l.Frontends {
		o.Frontends = append(o.Frontends, forwarder.Frontend{Name: f.Name, Protocol: f.Protocol, Listen: f.Listen, Connections: f.Connections,
			Waiting: f.Waiting, WaitingBytes: int(f.WaitingBytes)})
	}
	if o.Backlog, err = l.backlogOrder(); err != nil {
		return nil, err
	}
	o.Scheduler, o.Names = l.terms()
	for _, w := range l.Upstreams {
		o.Upstreams = append(o.Upstreams, forwarder.Upstream{Name: w.Name, Protocol: w.Protocol, Connect: float64(w.Connect)})
	}
	for _, k := range l.Kinds {
		o.KindUpstream[k.Name] = k.Upstream
	}
	if o.Discovery == "" {
		o.StaticEndpoints = &transport.EndpointList{Complete: true}
		for _, t := range l.Endpoints {
			o.StaticEndpoints.Endpoints = append(o.StaticEndpoints.Endpoints, transport.Endpoint{UID: t.UID, Address: t.Address, Zone: t.Zone, Kind: t.Kind,
				Destination: t.Destination, State: t.State, Rate: t.PerSecond})
		}
	}
	o.Log.Console, o.Log.Sample, o.Log.IDs = l.Log.Format == "console", l.Log.Sample, l.Log.IDs
	if o.Log.Level, err = zerolog.ParseLevel(l.Log.Level); err != nil {
		return nil, err
	}
	for _, k := range l.Log.Keys {
		n, err := strconv.ParseUint(k, 16, 64)
		if err != nil {
			return nil, err
		}
		o.Log.Keys = append(o.Log.Keys, n)
	}
	token, err := l.token()
	if err != nil {
		return nil, err
	}
	if o.Metrics != "" {
		o.Recorder = func(addr, forwarder string, fronts []string, levels []transport.Gauge) (transport.Recorder, error) {
			return metrics.New(addr, token, forwarder, fronts, levels)
		}
	}
	return o, nil
}

// terms are what the scheduler is told, and the names behind its numbers.
func (l *Loaded) terms() (scheduler.Settings, settings.Names) {
	d := &l.Dispatch
	t := scheduler.Settings{PollEndpoints: true, Forwarders: d.Forwarders, ConcurrencyLimit: d.ConcurrencyLimit, QueueCapacity: d.QueueCapacity, MaxAttempts: d.MaxAttempts, KeyCooldown: float64(d.KeyCooldown), PollWithin: float64(d.PollWithin),
		SlowStartShare: d.SlowStartShare, SlowStartDuration: float64(d.SlowStartDuration), OverloadMultiple: d.OverloadMultiple, IdleTimeout: float64(d.IdleTimeout),
		HalvingValue: d.Late == "halves", MaxRetryAfter: float64(d.MaxRetryAfter), ListedRateTolerance: map[string]float64{"exact": 1, "rough": 1.5}[d.ListedRates]}
	n := settings.Names{Zones: l.Zones, LimitIndex: -1, LimitField: d.ReportLimit, ShareIndex: -1, ShareField: d.ReportShare, Connect: float64(d.Connect)}
	for i, z := range l.Zones {
		if z == l.Zone {
			t.Zone = i
		}
	}
	for _, k := range l.Kinds {
		t.KindBatchSize, t.KindEndpointLimits = append(t.KindBatchSize, k.Batch), append(t.KindEndpointLimits, k.EndpointLimits)
		n.Kinds = append(n.Kinds, k.Name)
	}
	for _, q := range l.Tenants {
		t.TenantRate = append(t.TenantRate, q.PerSecond)
		n.Tenants = append(n.Tenants, q.Name)
	}
	words := map[string]scheduler.Idempotency{"replayable": scheduler.Idempotent, "numbered": scheduler.IdempotentWithKey, "binding": scheduler.AtMostOnce}
	for _, y := range l.Types {
		t.Types = append(t.Types, scheduler.MessageType{Idempotency: words[y.Idempotency], DeduplicatedPerZone: y.Group == "zone", InOrder: y.InOrder,
			LatencyObjective: float64(y.LatencyObjective), TimeToLive: float64(y.TimeToLive), DeduplicationWindow: float64(y.DeduplicationWindow), Value: y.Value, LateValueShare: y.LateValueShare})
		n.Types = append(n.Types, y.Name)
	}
	return t, n
}

// Reload tells for a field whether a running forwarder takes a change of it up when it reads its order again. It goes
// by the table that the reload itself uses.
func Reload(field string) forwarder.ReloadBehavior {
	for _, p := range forwarder.ConfigParts {
		for _, k := range p.Keys {
			if field == k || len(field) > len(k) && field[:len(k)] == k && (field[len(k)] == '.' || field[len(k)] == '[') {
				return p.When
			}
		}
	}
	return forwarder.OnRestart
}
