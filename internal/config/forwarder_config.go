package config

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"spanflow/forwarder"
	"spanflow/internal/metrics"
	"spanflow/internal/settings"
	"spanflow/scheduler"
	"spanflow/transport"
)

const (
	megabyte   = 1e6
	folderMode = 0o700
)

// ForwarderConfig loads and checks a configuration and converts it to a forwarder's, whose Reload function loads it
// again. It creates the write-ahead log's folder if it is missing. The error is of type Problems if the configuration
// is invalid.
func ForwarderConfig(path string, environ, flags []string) (*forwarder.Config, error) {
	c, err := loadChecked(path, environ, flags)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(c.Folder, folderMode); err != nil {
		return nil, err
	}
	c.Reload = func() (*forwarder.Config, error) {
		next, err := loadChecked(path, environ, flags)
		if err == nil && next.RandomSeed {
			next.Seed = c.Seed
		}
		return next, err
	}
	return c, nil
}

func loadChecked(path string, environ, flags []string) (*forwarder.Config, error) {
	l, err := Load(path, environ, flags)
	if err != nil {
		return nil, err
	}
	if problems, _ := l.Check(); len(problems) > 0 {
		return nil, problems
	}
	return l.ForwarderConfig()
}

// ForwarderConfig converts a configuration in which Check found no problem to a forwarder's. It creates no folder, and
// the result has no Reload function.
func (l *Loaded) ForwarderConfig() (*forwarder.Config, error) {
	folder, err := filepath.Abs(l.WALFolder())
	if err != nil {
		return nil, err
	}
	c := &forwarder.Config{
		Name:         l.Name,
		Folder:       folder,
		Discovery:    l.Discovery.Address,
		FullReload:   true,
		MemoryMB:     int(l.Limits.Memory / megabyte),
		Descriptors:  l.Limits.Descriptors,
		DiskMB:       int(l.WriteAheadLog.Disk / megabyte),
		Cores:        l.Limits.Cores,
		KindUpstream: map[string]string{},
		Metrics:      l.Metrics.Listen,
		TokenFile:    l.Metrics.TokenFile,
		Admin:        l.Admin,
	}
	c.SetConfiguredAddresses(l.Discovery.Address, l.Discovery.Notices)
	c.Scheduler, c.Names = l.schedulerSettings()
	l.addFrontendsAndUpstreams(c)
	if c.Discovery == "" {
		c.StaticEndpoints = l.staticEndpoints()
	}
	if c.Backlog, err = l.backlogConfig(); err != nil {
		return nil, err
	}
	if c.Log, err = l.logConfig(); err != nil {
		return nil, err
	}
	if l.Seed == "" {
		c.Seed, c.RandomSeed = rand.Uint64(), true
	} else if c.Seed, err = strconv.ParseUint(l.Seed, 16, 64); err != nil {
		return nil, err
	}
	token, err := l.metricsToken()
	if err != nil {
		return nil, err
	}
	if c.Metrics != "" {
		c.Recorder = func(addr, forwarder string, frontends []string, gauges []transport.Gauge) (transport.Recorder, error) {
			return metrics.New(addr, token, forwarder, frontends, gauges)
		}
	}
	return c, nil
}

func (l *Loaded) addFrontendsAndUpstreams(c *forwarder.Config) {
	for _, f := range l.Frontends {
		c.Frontends = append(c.Frontends, forwarder.Frontend{
			Name:               f.Name,
			Protocol:           f.Protocol,
			Listen:             f.Listen,
			Connections:        f.Connections,
			MaxWaitingRequests: f.Waiting,
			MaxWaitingBytes:    int(f.WaitingBytes),
		})
	}
	for _, u := range l.Upstreams {
		c.Upstreams = append(c.Upstreams, forwarder.Upstream{Name: u.Name, Protocol: u.Protocol, ConnectTimeout: float64(u.Connect)})
	}
	for _, k := range l.Kinds {
		c.KindUpstream[k.Name] = k.Upstream
	}
}

// staticEndpoints returns the endpoint list of the file.
func (l *Loaded) staticEndpoints() *transport.EndpointList {
	list := &transport.EndpointList{Complete: true}
	for _, e := range l.Endpoints {
		list.Endpoints = append(list.Endpoints, transport.Endpoint{
			UID:         e.UID,
			Address:     e.Address,
			Zone:        e.Zone,
			Kind:        e.Kind,
			Destination: e.Destination,
			State:       e.State,
			Rate:        e.PerSecond,
		})
	}
	return list
}

// backlogConfig returns the backlog store's configuration, nil if there is no store.
func (l *Loaded) backlogConfig() (*forwarder.Backlog, error) {
	b := &l.Backlog
	if b.Folder == "" {
		return nil, nil
	}
	folder, err := filepath.Abs(l.BacklogFolder())
	if err != nil {
		return nil, err
	}
	return &forwarder.Backlog{
		Folder:           folder,
		Bytes:            int64(b.Disk),
		DestinationBytes: int64(b.Destination),
		TenantBytes:      int64(b.Tenant),
		Window:           b.Window,
		Behind:           b.Behind,
	}, nil
}

func (l *Loaded) logConfig() (forwarder.Log, error) {
	level, err := zerolog.ParseLevel(l.Log.Level)
	if err != nil {
		return forwarder.Log{}, err
	}
	log := forwarder.Log{Level: level, Console: l.Log.Format == formatConsole, Sample: l.Log.Sample, IDs: l.Log.IDs}
	for _, text := range l.Log.Keys {
		key, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return forwarder.Log{}, err
		}
		log.Keys = append(log.Keys, key)
	}
	return log, nil
}

var idempotencies = map[string]scheduler.Idempotency{
	wordIdempotent:        scheduler.Idempotent,
	wordIdempotentWithKey: scheduler.IdempotentWithKey,
	wordAtMostOnce:        scheduler.AtMostOnce,
}

// listedRateTolerances are the factors by which a listed rate may be too high.
var listedRateTolerances = map[string]float64{ratesExact: 1, ratesRough: 1.5}

// schedulerSettings returns the scheduler's settings, and the names of the types, zones, kinds and tenants to which
// they refer by number.
func (l *Loaded) schedulerSettings() (scheduler.Settings, settings.Names) {
	d := &l.Dispatch
	s := scheduler.Settings{
		PollEndpoints:       true,
		Forwarders:          d.Forwarders,
		ConcurrencyLimit:    d.ConcurrencyLimit,
		QueueCapacity:       d.QueueCapacity,
		MaxAttempts:         d.MaxAttempts,
		KeyCooldown:         float64(d.KeyCooldown),
		PollWithin:          float64(d.PollWithin),
		SlowStartShare:      d.SlowStartShare,
		SlowStartDuration:   float64(d.SlowStartDuration),
		OverloadMultiple:    d.OverloadMultiple,
		IdleTimeout:         float64(d.IdleTimeout),
		HalvingValue:        d.LateValueDecay == decayHalves,
		MaxRetryAfter:       float64(d.MaxRetryAfter),
		ListedRateTolerance: listedRateTolerances[d.ListedRates],
	}
	names := settings.Names{
		Zones:      l.Zones,
		LimitIndex: -1,
		LimitField: d.ReportLimit,
		ShareIndex: -1,
		ShareField: d.ReportShare,
		Connect:    float64(d.Connect),
	}
	for i, zone := range l.Zones {
		if zone == l.Zone {
			s.Zone = i
		}
	}
	for _, k := range l.Kinds {
		s.KindBatchSize = append(s.KindBatchSize, k.Batch)
		s.KindEndpointLimits = append(s.KindEndpointLimits, k.EndpointLimits)
		names.Kinds = append(names.Kinds, k.Name)
	}
	for _, t := range l.Tenants {
		s.TenantRate = append(s.TenantRate, t.PerSecond)
		names.Tenants = append(names.Tenants, t.Name)
	}
	for i := range l.Types {
		s.Types = append(s.Types, l.Types[i].messageType())
		names.Types = append(names.Types, l.Types[i].Name)
	}
	return s, names
}

func (t *Type) messageType() scheduler.MessageType {
	return scheduler.MessageType{
		Idempotency:         idempotencies[t.Idempotency],
		DeduplicatedPerZone: t.Group == groupZone,
		InOrder:             t.InOrder,
		LatencyObjective:    float64(t.LatencyObjective),
		TimeToLive:          float64(t.TimeToLive),
		DeduplicationWindow: float64(t.DeduplicationWindow),
		Value:               t.Value,
		LateValueShare:      t.LateValueShare,
	}
}

// ReloadBehavior returns when a running forwarder applies a change of a field. It reads the same table as the reload.
func ReloadBehavior(field string) forwarder.ReloadBehavior {
	for _, part := range forwarder.ConfigParts {
		for _, key := range part.Keys {
			if field == key || strings.HasPrefix(field, key+".") || strings.HasPrefix(field, key+"[") {
				return part.When
			}
		}
	}
	return forwarder.OnRestart
}
