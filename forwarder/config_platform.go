package forwarder

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/rs/zerolog"

	"spanflow/internal/settings"
	"spanflow/transport"
)

// Minimum limits with which a forwarder runs.
const (
	minMemoryMB = 16
	minSockets  = 64
	minDiskMB   = 1
)

const firstPassedDescriptor = 3 // lower numbers are the standard streams

// platformConfig is the platform's configuration file. Its keys are case-insensitive.
type platformConfig struct {
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

// ConfigFromEnvironment reads the platform's configuration file, whose path is in PROXY_CONFIG. Other environment
// variables take precedence over its fields, except for PROXY_DISCOVERY on a reload: the variable cannot have changed
// since the start, so the file's value is used.
func ConfigFromEnvironment(getenv func(string) string) (*Config, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("PROXY_CONFIG is not set")
	}
	config, err := readConfigFile(path, getenv)
	if err != nil {
		return nil, err
	}
	config.Reload = func() (*Config, error) {
		return readConfigFile(path, func(name string) string {
			if name == "PROXY_DISCOVERY" {
				return ""
			}
			return getenv(name)
		})
	}
	return config, nil
}

func readConfigFile(path string, getenv func(string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return ReadConfig(text, getenv)
}

// ReadConfig reads the platform's configuration from text. Environment variables that are set take precedence over its
// fields. An error begins with the name of the invalid field or variable.
func ReadConfig(text []byte, getenv func(string) string) (*Config, error) {
	var p platformConfig
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	config := p.config(getenv)
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	var err error
	if config.InheritedListener, err = inheritedDescriptor(getenv("PROXY_INHERITED_FD")); err != nil {
		return nil, err
	}
	if err := checkFolder(config.Folder); err != nil {
		return nil, err
	}
	if config.Seed, err = strconv.ParseUint(p.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number", p.Seed)
	}
	if err := config.checkLimits(); err != nil {
		return nil, err
	}
	if len(p.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if config.Scheduler, config.Names, err = settings.Read(p.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return config, nil
}

// config returns a Config with the fields that need no check beyond their type.
func (p *platformConfig) config(getenv func(string) string) *Config {
	variableOrField := func(name, field string) string {
		if value := getenv(name); value != "" {
			return value
		}
		return field
	}
	return &Config{
		Name:      variableOrField("PROXY_NAME", p.Name),
		Folder:    variableOrField("PROXY_STATE", p.State),
		Frontends: []Frontend{{Name: "resp", Protocol: "resp", Listen: variableOrField("PROXY_LISTEN", p.Listen)}},

		Discovery:           variableOrField("PROXY_DISCOVERY", p.Discovery),
		configuredDiscovery: p.Discovery,
		LastEndpoints:       p.Known,

		MemoryMB:    p.Limits.MemoryMB,
		Descriptors: p.Limits.Sockets,
		DiskMB:      p.Limits.DiskMB,
		Cores:       p.Limits.Cores,

		Log:   Log{Level: zerolog.TraceLevel},
		Admin: variableOrField("PROXY_ADMIN", p.Admin),
	}
}

func (c *Config) checkAddresses() error {
	for _, field := range []struct{ name, address string }{
		{"listen", c.Frontends[0].Listen},
		{"discovery", c.Discovery},
	} {
		if !IsAddress(field.address) {
			return fmt.Errorf("%s: %q is not an address with a port", field.name, field.address)
		}
	}
	if c.Admin != "" && !IsAddress(c.Admin) {
		return fmt.Errorf("admin: %q is not an address with a port", c.Admin)
	}
	return nil
}

func (c *Config) checkLimits() error {
	for _, limit := range []struct {
		name       string
		value, min int
	}{
		{"limits.memory_mb", c.MemoryMB, minMemoryMB},
		{"limits.sockets", c.Descriptors, minSockets},
		{"limits.disk_mb", c.DiskMB, minDiskMB},
	} {
		if limit.value < limit.min {
			return fmt.Errorf("%s: %d is below the minimum, %d", limit.name, limit.value, limit.min)
		}
	}
	return nil
}

// inheritedDescriptor returns the descriptor of the listening socket passed by the platform, or 0 if there is none.
func inheritedDescriptor(variable string) (int, error) {
	if variable == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(variable, 10, 16)
	if err != nil || number < firstPassedDescriptor {
		return 0, fmt.Errorf("PROXY_INHERITED_FD: %q is not a descriptor number above 2", variable)
	}
	return int(number), nil
}

func checkFolder(path string) error {
	if path == "" {
		return errors.New("PROXY_STATE is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("PROXY_STATE: %w", err)
	}
	if !info.IsDir() {
		return fmt.Errorf("PROXY_STATE: %s is not a folder", path)
	}
	return nil
}
