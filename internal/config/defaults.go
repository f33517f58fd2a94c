package config

import "slices"

// Names of the upstream and the kind that exist by default.
const (
	defaultUpstream = protocolHTTP
	defaultKind     = "partners"
)

// Defaults returns the values of the fields that neither the file nor a variable or flag sets.
func Defaults() File {
	return File{
		Name:          "spanflow",
		Zones:         []string{"a"},
		Zone:          "a",
		WriteAheadLog: WriteAheadLog{Folder: "state", Disk: 64e6},
		Backlog:       Backlog{Disk: 256e6, Window: 64, Behind: 1000},
		Limits:        Limits{Cores: 1, Memory: 192e6, Descriptors: 1024},
		Dispatch: Dispatch{
			ConcurrencyLimit:  64,
			QueueCapacity:     2000,
			MaxAttempts:       6,
			Forwarders:        1,
			MaxRetryAfter:     2,
			Connect:           1.5,
			IdleTimeout:       10,
			KeyCooldown:       0.1,
			SlowStartShare:    0.2,
			SlowStartDuration: 10,
			PollWithin:        10,
			OverloadMultiple:  2,
			LateValueDecay:    decayLine,
			ListedRates:       ratesNone,
			ReportLimit:       "x1",
			ReportShare:       "x0",
		},
		Log: Log{Level: "info", Format: formatJSON},
	}
}

// applyElementDefaults adds the default kind and upstream if they are missing, and sets the unset fields of the
// elements of the lists of tables.
func (f *File) applyElementDefaults() {
	if len(f.Kinds) == 0 {
		f.Kinds = []Kind{{Name: defaultKind}}
	}
	for i := range f.Frontends {
		SetDefault(&f.Frontends[i].Protocol, protocolRESP)
		SetDefault(&f.Frontends[i].Name, f.Frontends[i].Protocol)
	}
	for i := range f.Upstreams {
		SetDefault(&f.Upstreams[i].Protocol, protocolHTTP)
		SetDefault(&f.Upstreams[i].Name, f.Upstreams[i].Protocol)
	}
	if !slices.ContainsFunc(f.Upstreams, func(u Upstream) bool { return u.Name == defaultUpstream }) {
		f.Upstreams = append(f.Upstreams, Upstream{Name: defaultUpstream, Protocol: protocolHTTP})
	}
	for i := range f.Kinds {
		SetDefault(&f.Kinds[i].Batch, 1)
		SetDefault(&f.Kinds[i].Upstream, defaultUpstream)
	}
	for i := range f.Types {
		SetDefault(&f.Types[i].Group, groupAll)
		SetDefault(&f.Types[i].Value, 1)
	}
	for i := range f.Endpoints {
		endpoint := &f.Endpoints[i]
		SetDefault(&endpoint.State, stateActive)
		SetDefault(&endpoint.Kind, f.Kinds[0].Name)
		if len(f.Zones) > 0 {
			SetDefault(&endpoint.Zone, f.Zones[0])
		}
	}
}

// SetDefault replaces the zero value of a variable with a default.
func SetDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
