// Package config reads and checks the operators' configuration and converts it to a forwarder.Config. Values come from
// layers: defaults, a TOML file, environment variables and flags. The source of each value is recorded.
package config

// File is the structure of a configuration file. The descriptions in its tags appear in the schema that operators see.
type File struct {
	Name          string        `toml:"name" jsonschema_description:"Name of the forwarder in log lines and metrics."`
	Seed          string        `toml:"seed" jsonschema_description:"Seed of the module's random numbers, hexadecimal. Empty: drawn at each start."`
	Zones         []string      `toml:"zones" jsonschema_description:"Zones that targets may be in."`
	Zone          string        `toml:"zone" jsonschema_description:"Zone of this forwarder, one of zones."`
	WriteAheadLog WriteAheadLog `toml:"ledger"`
	Backlog       Backlog       `toml:"backlog"`
	Limits        Limits        `toml:"limits"`
	Discovery     Discovery     `toml:"discovery"`
	Dispatch      Dispatch      `toml:"dispatch"`
	Log           Log           `toml:"log"`
	Metrics       Metrics       `toml:"metrics"`
	Admin         string        `toml:"admin" jsonschema_description:"The operators' address, HTTP/1.1: readiness, figures, targets out by hand, lameduck. Empty: none."`
	Frontends     []Frontend    `toml:"fronts" jsonschema_description:"Where documents come in."`
	Upstreams     []Upstream    `toml:"outlets" jsonschema_description:"How targets are called. The one named http is there if it is not told."`
	Types         []Type        `toml:"types" jsonschema_description:"Document types."`
	Kinds         []Kind        `toml:"kinds" jsonschema_description:"Kinds of destinations."`
	Tenants       []Tenant      `toml:"tenants" jsonschema_description:"Tenants with a share. Documents of others share a lane."`
	Endpoints     []Endpoint    `toml:"targets" jsonschema_description:"A list of targets that needs no discovery."`
}

// WriteAheadLog configures the write-ahead log. Its table in the file is [ledger].
type WriteAheadLog struct {
	Folder string `toml:"folder" jsonschema_description:"The folder that lasts, relative to the file. It is made if missing."`
	Disk   Size   `toml:"disk" jsonschema_description:"Space that the folder may take, 1 MB at least."`
}

// Backlog configures the store on disk in which messages wait for destinations that are unavailable or far behind.
type Backlog struct {
	Folder      string `toml:"folder" jsonschema_description:"The store's folder, relative to the file. It is made if missing. Empty: no store, all that is held stays in memory."`
	Disk        Size   `toml:"disk" jsonschema_description:"Space that the folder may take, 2 MiB at least. Some three quarters of it hold messages."`
	Destination Size   `toml:"destination" jsonschema_description:"Bytes that one destination may have stored. 0B: no bound of its own."`
	Tenant      Size   `toml:"tenant" jsonschema_description:"Bytes that one tenant may have stored. 0B: no bound of its own."`
	Window      int    `toml:"window" jsonschema_description:"Messages of a lane (one destination and tenant) that stay in memory before those that are stored."`
	Behind      int    `toml:"behind" jsonschema_description:"Messages of a lane beyond which its destination counts as far behind, though it answers."`
}

// Limits are the resources that the process may use.
type Limits struct {
	Cores       float64 `toml:"cores" jsonschema_description:"Cores to use; a part of one counts as one."`
	Memory      Size    `toml:"memory" jsonschema_description:"Memory, 16 MB at least."`
	Descriptors int     `toml:"descriptors" jsonschema_description:"File descriptors, 64 at least. A third is for targets, the rest for clients."`
}

// Discovery configures the service that provides the endpoint list.
type Discovery struct {
	Address string `toml:"address" jsonschema_description:"Address and port. Empty: the targets of this file are the list."`
	Notices string `toml:"notices" jsonschema_description:"Where the final answers go that no caller waits for. Empty: to address; without one, into the log alone."`
}

// Dispatch holds the scheduler's settings.
type Dispatch struct {
	ConcurrencyLimit  int      `toml:"slots" jsonschema_description:"Calls out at once, all destinations together."`
	QueueCapacity     int      `toml:"room" jsonschema_description:"Documents held at once."`
	MaxAttempts       int      `toml:"transmissions" jsonschema_description:"Transmissions that a document may use."`
	Forwarders        int      `toml:"forwarders" jsonschema_description:"Forwarders that serve the same destinations, this one among them."`
	MaxRetryAfter     Duration `toml:"come_back" jsonschema_description:"Longest time to come back that a rejection may name. 0s: none is named."`
	Connect           Duration `toml:"connect" jsonschema_description:"A connection that takes longer never comes up."`
	IdleTimeout       Duration `toml:"idle_life" jsonschema_description:"How long an idle connection to a target lasts."`
	KeyCooldown       Duration `toml:"key_rest" jsonschema_description:"Rest between two documents of a key, after a transmission that may still run."`
	SlowStartShare    float64  `toml:"cold_from" jsonschema_description:"Share of its capacity that a returning destination has at least."`
	SlowStartDuration Duration `toml:"cold_for" jsonschema_description:"Time in which it gets warm."`
	PollWithin        Duration `toml:"ask_within" jsonschema_description:"While discovery's list does not come it is asked for at least so often; forwarders started together spread their questions over up to half of it."`
	OverloadMultiple  float64  `toml:"fall_multiple" jsonschema_description:"A cold destination falls over at this multiple of its present capacity."`
	LateValueDecay    string   `toml:"late" jsonschema:"enum=line,enum=halves" jsonschema_description:"How value falls after the agreed time: evenly to late_share at the end of life, or by half with each further agreed time, to late_share at least."`
	ListedRates       string   `toml:"listed_rates" jsonschema:"enum=none,enum=exact,enum=rough" jsonschema_description:"What per_second in the list is worth."`
	ReportLimit       string   `toml:"report_limit" jsonschema_description:"Field of a load report that tells a limit in calls a second."`
	ReportShare       string   `toml:"report_left" jsonschema_description:"Field of a load report that tells the share of the limit that is left, 0 to 1."`
}

// Log configures the lines written to standard error.
type Log struct {
	Level  string   `toml:"level" jsonschema:"enum=trace,enum=debug,enum=info,enum=warn,enum=error" jsonschema_description:"Least level of lines."`
	Format string   `toml:"format" jsonschema:"enum=json,enum=console" jsonschema_description:"json, or console for people."`
	Sample float64  `toml:"sample" jsonschema_description:"Share of documents whose course is logged, 0 to 1."`
	Keys   []string `toml:"keys" jsonschema_description:"Ordering keys, hexadecimal: the course of their documents is logged."`
	IDs    []string `toml:"ids" jsonschema_description:"Ids of documents whose course is logged."`
}

// Metrics configures the metrics served over HTTP.
type Metrics struct {
	Listen    string `toml:"listen" jsonschema_description:"Address and port. Empty: nothing listens."`
	TokenFile string `toml:"token_file" jsonschema_description:"File with the bearer token that a reader has to show. Empty: anybody may read."`
}

// Frontend is an address at which clients submit messages.
type Frontend struct {
	Name         string `toml:"name" jsonschema_description:"Its name in the ledger, log lines and metrics; lower case, digits, hyphens."`
	Protocol     string `toml:"protocol" jsonschema_description:"resp"`
	Listen       string `toml:"listen" jsonschema_description:"Address and port."`
	Connections  int    `toml:"connections" jsonschema_description:"At most. 0: an even part of what the descriptors leave."`
	Waiting      int    `toml:"waiting" jsonschema_description:"Requests that may wait inside; then reading pauses. 0: 4096."`
	WaitingBytes Size   `toml:"waiting_bytes" jsonschema_description:"Bytes of documents among them. 0B: 4 MiB."`
}

// Upstream is a way to call endpoints.
type Upstream struct {
	Name     string   `toml:"name" jsonschema_description:"By which kinds name it."`
	Protocol string   `toml:"protocol" jsonschema_description:"http"`
	Connect  Duration `toml:"connect" jsonschema_description:"A connection that takes longer never comes up. 0s: dispatch.connect."`
}

// Type is a message type.
type Type struct {
	Name                string   `toml:"name" jsonschema_description:"As clients name it."`
	Idempotency         string   `toml:"repeat" jsonschema:"enum=replayable,enum=numbered,enum=binding" jsonschema_description:"What a second transmission would do: nothing more, be known by its number, or take effect twice."`
	Group               string   `toml:"group" jsonschema:"enum=all,enum=zone" jsonschema_description:"numbered: which targets of a destination know the number."`
	InOrder             bool     `toml:"in_order" jsonschema_description:"Documents of a key go one after another."`
	LatencyObjective    Duration `toml:"agreed" jsonschema_description:"Agreed time to delivery."`
	TimeToLive          Duration `toml:"life" jsonschema_description:"Longest time that a client gives a document."`
	DeduplicationWindow Duration `toml:"memory" jsonschema_description:"numbered: how long a number is known, from the transmission on."`

	Value          float64 `toml:"value" jsonschema_description:"Of one document, beside those of other types. 0: 1."`
	LateValueShare float64 `toml:"late_share" jsonschema_description:"Share of the value that is left at the end of life, 0 to 1."`
}

// Kind is a kind of destinations, whose endpoints are all called in the same way.
type Kind struct {
	Name           string `toml:"name"`
	Batch          int    `toml:"batch" jsonschema_description:"Documents that one call carries at most."`
	EndpointLimits bool   `toml:"routes_apart" jsonschema_description:"Targets have limits and outages of their own."`
	Upstream       string `toml:"outlet" jsonschema_description:"Name of the outlet by which its targets are called."`
}

// Tenant is a tenant with a configured rate.
type Tenant struct {
	Name      string  `toml:"name"`
	PerSecond float64 `toml:"per_second" jsonschema_description:"Documents a second, all forwarders together."`
}

// Endpoint is one endpoint of the file's list.
type Endpoint struct {
	UID         string  `toml:"uid" jsonschema_description:"Its name, the same at every forwarder."`
	Address     string  `toml:"address" jsonschema_description:"Address and port."`
	Destination uint64  `toml:"dest" jsonschema_description:"Number of the destination."`
	Zone        string  `toml:"zone" jsonschema_description:"One of zones. Empty: the first."`
	Kind        string  `toml:"kind" jsonschema_description:"One of kinds. Empty: the first."`
	State       string  `toml:"state" jsonschema:"enum=active,enum=leaving" jsonschema_description:"active, or leaving: it finishes what it has and gets nothing new. Empty: active."`
	PerSecond   float64 `toml:"per_second" jsonschema_description:"Calls a second that the destination takes. 0: not known."`
}
