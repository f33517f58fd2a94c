package forwarder

import (
	"strconv"
	"strings"

	"spanflow/internal/settings"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Config is the whole configuration of a forwarder. Run works on a copy, so a Config can be used again.
type Config struct {
	Name       string // of the forwarder, as its log lines, metrics and calls have it
	Folder     string // holds the write-ahead log and other state that outlives the process
	Seed       uint64 // of the scheduler's random source
	RandomSeed bool   // Seed was drawn at random, not configured

	Frontends         []Frontend
	FrontendProtocols map[string]FrontendProtocol // of an embedding program, beside those that come with this package
	InheritedListener int                         // descriptor that takes the place of Frontends[0].Listen; 0: none

	Upstreams         []Upstream                  // beside the default one, named "http"
	UpstreamProtocols map[string]UpstreamProtocol // of an embedding program, beside those that come with this package
	KindUpstream      map[string]string           // name of the upstream for endpoints of a kind, if not the default

	Discovery       string                  // address of the discovery service; empty: the list is StaticEndpoints
	StaticEndpoints *transport.EndpointList // the configuration's own list
	LastEndpoints   transport.EndpointList  // the list as last known
	ListBytes       int                     // bound of one object of the watch, in bytes; 0: by MemoryMB
	FullReload      bool                    // frontends, endpoints, backlog bounds and logs may change on reload

	MemoryMB    int     // for the whole process
	Descriptors int     // descriptors for the whole process
	DiskMB      int     // for the write-ahead log
	Cores       float64 // processors that the process may keep busy

	Scheduler scheduler.Settings
	Names     settings.Names // of the types, tenants, kinds and zones in Scheduler
	Backlog   *Backlog       // where messages wait on disk; nil: in memory alone

	Log       Log
	Admin     string // address for operators; empty: none
	Metrics   string // address where metrics are served; empty: none
	TokenFile string // holds the token that readers of metrics have to show; empty: none is asked for

	// Recorder serves the named forwarder's metrics at an address; nil: the program has none.
	Recorder func(addr, forwarder string, frontends []string, gauges []transport.Gauge) (transport.Recorder, error)

	// Reload reads the configuration again; nil: it never changes.
	Reload func() (*Config, error)

	configuredDiscovery string // Discovery as the configuration has it, without PROXY_DISCOVERY
	noticeAddress       string // where notices go; empty: to Discovery
}

// SetConfiguredAddresses notes the addresses of discovery and of notices as the configuration's text has them, whatever
// the variables say. An empty notices address sends notices to discovery.
func (c *Config) SetConfiguredAddresses(discovery, notices string) {
	c.configuredDiscovery, c.noticeAddress = discovery, notices
}

// Notices is the address to which final answers go that no caller waits for; empty: they are only logged.
func (c *Config) Notices() string {
	if c.noticeAddress != "" {
		return c.noticeAddress
	}
	return c.Discovery
}

// enableEndpointPolling has the scheduler ask for each watch of the list, whatever the kind of discovery.
func (c *Config) enableEndpointPolling() {
	c.Scheduler.LocalAgent = !c.Scheduler.PollEndpoints && c.Discovery != ""
	c.Scheduler.PollEndpoints = true
}

// IsAddress reports whether text is a host, which may be empty, and a port number.
func IsAddress(text string) bool {
	colon := strings.LastIndexByte(text, ':')
	if colon < 0 {
		return false
	}
	_, err := strconv.ParseUint(text[colon+1:], 10, 16)
	return err == nil
}
