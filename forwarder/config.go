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
	Name       string // name of the forwarder in its log lines, metrics and calls
	Folder     string // holds the write-ahead log and other state that outlives the process
	Seed       uint64 // seed of the scheduler's random source
	RandomSeed bool   // Seed was drawn at random, not configured

	Frontends         []Frontend
	FrontendProtocols map[string]FrontendProtocol // added by an embedding program to those of this package
	InheritedListener int                         // descriptor used instead of Frontends[0].Listen; 0 means none

	Upstreams         []Upstream                  // upstreams in addition to the default one, named "http"
	UpstreamProtocols map[string]UpstreamProtocol // added by an embedding program to those of this package
	KindUpstream      map[string]string           // names of upstreams by kind of endpoint; other kinds use the default

	Discovery       string                  // address of the discovery service; if empty, StaticEndpoints is used
	StaticEndpoints *transport.EndpointList // the endpoint list in the configuration
	LastEndpoints   transport.EndpointList  // the last known list
	ListBytes       int                     // limit of one object of the watch, in bytes; 0 means derived from MemoryMB
	FullReload      bool                    // a reload may change more than discovery, see ConfigParts

	MemoryMB    int     // limit of the whole process
	Descriptors int     // limit of the whole process
	DiskMB      int     // limit of the write-ahead log
	Cores       float64 // processors that the process may keep busy

	Scheduler scheduler.Settings
	Names     settings.Names // names of the types, tenants, kinds and zones in Scheduler
	Backlog   *Backlog       // store for messages on disk; nil means they are queued in memory only

	Log       Log
	Admin     string // address for operators; empty means none
	Metrics   string // address where metrics are served; empty means none
	TokenFile string // file with the token required to read metrics; empty means none is required

	// Recorder serves the named forwarder's metrics at an address. Nil means that the program does not provide metrics.
	Recorder func(addr, forwarder string, frontends []string, gauges []transport.Gauge) (transport.Recorder, error)

	// Reload reads the configuration again. Nil means that it never changes.
	Reload func() (*Config, error)

	configuredDiscovery string // Discovery as configured, without PROXY_DISCOVERY
	noticeAddress       string // address for notices; empty means Discovery
}

// SetConfiguredAddresses sets the addresses of discovery and of notices as written in the configuration file, without
// the environment variables that take precedence. With an empty notices address, notices are sent to discovery.
func (c *Config) SetConfiguredAddresses(discovery, notices string) {
	c.configuredDiscovery, c.noticeAddress = discovery, notices
}

// Notices returns the address for final answers that no caller waits for. If it is empty, they are only logged.
func (c *Config) Notices() string {
	if c.noticeAddress != "" {
		return c.noticeAddress
	}
	return c.Discovery
}

// enableEndpointPolling makes the scheduler request each watch of the list, for every kind of discovery.
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
