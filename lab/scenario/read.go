package scenario

import (
	"embed"
	"fmt"
	"os"
	"strings"

	"spanflow/internal/config"
)

const (
	builtinFolder  = "scenes"
	findingsFolder = "found"
	fileSuffix     = ".toml"
)

//go:embed scenes found
var embedded embed.FS

// Builtin returns the names of the scenarios that are part of the laboratory.
func Builtin() []string { return names(builtinFolder) }

// Findings returns the names of the scenarios that earlier searches found and that are kept as regression tests.
func Findings() []string { return names(findingsFolder) }

func names(folder string) []string {
	entries, _ := embedded.ReadDir(folder)
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), fileSuffix))
	}
	return names
}

// Read reads the built-in scenario or finding of the given name. If there is none, name is the path of a file.
func Read(name string) (*Scenario, error) {
	for _, folder := range []string{builtinFolder, findingsFolder} {
		if text, err := embedded.ReadFile(folder + "/" + name + fileSuffix); err == nil {
			return Parse(name+fileSuffix, text)
		}
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%s is neither a file nor a built-in scenario (%s)", name, strings.Join(Builtin(), ", "))
	}
	return Parse(name, text)
}

// Parse reads a scenario from TOML. path is only used in errors. If the text can be decoded but the scenario is
// invalid, the error is a config.Problems.
func Parse(path string, text []byte) (*Scenario, error) {
	s := &Scenario{
		Seed:         1,
		Length:       60,
		Drain:        30,
		Zones:        1,
		NetworkDelay: 0.002,
		Resubmit:     true,
		Dispatch:     config.Defaults().Dispatch,
		Load:         Load{Arrivals: ArrivalsPoisson},
	}
	if err := config.Decode(path, text, s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	if problems := s.Check(); len(problems) > 0 {
		for i := range problems {
			problems[i].File = path
		}
		return nil, problems
	}
	return s, nil
}

// applyDefaults sets the missing fields of each type, tenant and receiver.
func (s *Scenario) applyDefaults() {
	for i := range s.Types {
		t := &s.Types[i]
		config.SetDefault(&t.Group, KnownInAllZones)
		config.SetDefault(&t.LoadWeight, 1)
		config.SetDefault(&t.Value, 1)
		config.SetDefault(&t.Keys, 1000)
	}
	for i := range s.Tenants {
		config.SetDefault(&s.Tenants[i].LoadWeight, 1)
	}
	for i := range s.Receivers {
		r := &s.Receivers[i]
		config.SetDefault(&r.Count, 1)
		config.SetDefault(&r.Endpoints, 1)
		config.SetDefault(&r.Batch, 1)
		config.SetDefault(&r.Service, ServiceLognormal)
		if r.Service == ServiceLognormal {
			config.SetDefault(&r.Sigma, 0.5)
		}
		config.SetDefault(&r.Concurrency, 4)
		config.SetDefault(&r.LoadWeight, 1)
		config.SetDefault(&r.OverloadDowntime, 5)
		config.SetDefault(&r.OverloadWindow, 1.5)
	}
}
