package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"spanflow/internal/settings"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Config is what a forwarder is told before it starts.
type Config struct {
	Name            string
	Frontends       []Frontend
	Discovery       string                  // its address; empty: the list is StaticEndpoints
	StaticEndpoints *transport.EndpointList // a list of the order's own
	Folder          string                  // the folder that lasts
	Seed            uint64
	RandomSeed      bool // at random, not told
	MemoryMB        int
	Sockets         int
	DiskMB          int
	Cores           float64
	LastEndpoints   transport.EndpointList // the list as last known
	ListBytes       int                    // of one object of discovery's watch at most; 0: the usual
	Scheduler       scheduler.Settings
	Names           settings.Names

	Upstreams         []Upstream        // beside the usual, named http
	KindUpstream      map[string]string // by which upstream endpoints of a kind are reached, if not by the usual
	Log               Log
	Admin             string // the operators' address; empty: none
	InheritedListener int    // a listening socket handed down for the clients, in place of Frontends[0].Listen; 0: none
	Metrics           string // where metrics are served; empty: nowhere
	TokenFile         string // what readers of metrics have to show stands there

	// Recorder makes what serves metrics at an address; nil: there is none.
	Recorder func(addr, forwarder string, fronts []string, levels []transport.Gauge) (transport.Recorder, error)

	FrontendProtocols map[string]FrontendProtocol // of a program's own, beside those that come with this one
	UpstreamProtocols map[string]UpstreamProtocol

	Backlog *Backlog // where messages wait on disk; nil: in memory alone

	DiscoveryMovable bool // frontends, endpoints and logs may change while it runs

	Reload func() (*Config, error) // the order as it is told by now; nil: it never changes
	told   string                  // discovery as the text has it, whatever the variables say

	toldNotices string // where notices go, if not to discovery
}

// Complete says what the order's text has as discovery, whatever its variables say, and where notices go if not there.
func (o *Config) NoticeAddress(discovery, notices string) { o.told, o.toldNotices = discovery, notices }

// Notices is where final answers go that no caller waits for; empty: into the log alone.
func (o *Config) Notices() string {
	if o.toldNotices != "" {
		return o.toldNotices
	}
	return o.Discovery
}

// The least limits with which a forwarder runs.
const (
	leastMemory  = 16
	leastSockets = 64
	leastDisk    = 1
)

// ConfigFromEnvironment reads the file that PROXY_CONFIG names; the other variables go before what it says. Read again, the
// file goes before PROXY_DISCOVERY, which cannot have changed.
func ConfigFromEnvironment(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	read := func(getenv func(string) string) (*Config, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
		}
		return ReadConfig(text, getenv)
	}
	o, err := read(getenv)
	if err == nil {
		o.Reload = func() (*Config, error) {
			return read(func(name string) string {
				if name == "PROXY_DISCOVERY" {
					return ""
				}
				return getenv(name)
			})
		}
	}
	return o, err
}

// ReadConfig reads an order; variables that are set go before the text's fields.
func ReadConfig(text []byte, getenv func(string) string) (*Config, error) {
	var c struct {
		Name, Listen, Discovery, Seed, State, Admin string
		Limits                                      struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
			DiskMB   int `json:"disk_mb"`
		}
		Known    transport.EndpointList
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	first := func(name, other string) string {
		if v := getenv(name); v != "" {
			return v
		}
		return other
	}
	o := &Config{Name: first("PROXY_NAME", c.Name),
		Frontends: []Frontend{{Name: "resp", Protocol: "resp", Listen: first("PROXY_LISTEN", c.Listen)}},
		Discovery: first("PROXY_DISCOVERY", c.Discovery), Folder: first("PROXY_STATE", c.State),
		MemoryMB: c.Limits.MemoryMB, Sockets: c.Limits.Sockets, DiskMB: c.Limits.DiskMB, Cores: c.Limits.Cores,
		LastEndpoints: c.Known, told: c.Discovery, Log: Log{Level: zerolog.TraceLevel}, Admin: first("PROXY_ADMIN", c.Admin)}
	for _, f := range []struct{ name, value string }{{"listen", o.Frontends[0].Listen}, {"discovery", o.Discovery}} {
		if !IsAddress(f.value) {
			return nil, fmt.Errorf("%s: %q is not an address with a port", f.name, f.value)
		}
	}
	if o.Admin != "" && !IsAddress(o.Admin) {
		return nil, fmt.Errorf("admin: %q is not an address with a port", o.Admin)
	}
	if fd := getenv("PROXY_INHERITED_FD"); fd != "" {
		n, err := strconv.ParseUint(fd, 10, 16)
		if err != nil || n < 3 {
			return nil, fmt.Errorf("PROXY_INHERITED_FD: %q is not the number of a descriptor beyond 2", fd)
		}
		o.InheritedListener = int(n)
	}
	if o.Folder == "" {
		return nil, errors.New("PROXY_STATE is not set")
	}
	if info, err := os.Stat(o.Folder); err != nil {
		return nil, fmt.Errorf("PROXY_STATE: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("PROXY_STATE: %s is not a folder", o.Folder)
	}
	var err error
	if o.Seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number", c.Seed)
	}
	for _, l := range []struct {
		name         string
		value, least int
	}{{"limits.memory_mb", o.MemoryMB, leastMemory}, {"limits.sockets", o.Sockets, leastSockets},
		{"limits.disk_mb", o.DiskMB, leastDisk}} {
		if l.value < l.least {
			return nil, fmt.Errorf("%s: %d is under the least, %d", l.name, l.value, l.least)
		}
	}
	if len(c.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if o.Scheduler, o.Names, err = settings.Read(c.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return o, nil
}

// IsAddress tells if a text names a host, or none, and a port.
func IsAddress(text string) bool {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return false
	}
	_, err := strconv.ParseUint(text[i+1:], 10, 16)
	return err == nil
}
