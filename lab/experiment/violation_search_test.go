package experiment

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/lab/scenario"
	"spanflow/lab/sim"
	"spanflow/scheduler"
)

// withoutSlowStart is the scheduler without slow start after an outage: it does not limit the load on a recovering
// destination.
func withoutSlowStart(settings scheduler.Settings, seed uint64, now float64, h scheduler.Host) sim.Policy {
	settings.OverloadMultiple, settings.SlowStartShare = 1e6, 1
	return sim.SchedulerPolicy(settings, seed, now, h)
}

func searchViolations(t *testing.T, dir string, newPolicy sim.PolicyFactory, from uint64, limit int) *ViolationSearch {
	search, err := OpenViolationSearch(dir)
	require.NoError(t, err)
	require.NoError(t, search.Run(context.Background(), dir, newPolicy, from, limit, nil))
	return search
}

// readFiles returns the contents of a folder's files by name.
func readFiles(t *testing.T, dir string) map[string]string {
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	all := map[string]string{}
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		all[e.Name()] = string(text)
	}
	return all
}

func TestViolationSearchFindsMissingSlowStart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "when missing")
	search := searchViolations(t, dir, withoutSlowStart, 1, 16)
	require.NotEmpty(t, search.Violations)
	violation := search.Violations[0]
	require.Contains(t, violation.Rule, "returns not pushed over")
	s, err := scenario.Read(filepath.Join(dir, violation.File))
	require.NoError(t, err)
	require.Equal(t, violation.Reason, violationOf(s, s.Seed, violation.Rule, withoutSlowStart), "the kept scenario still reproduces the violation")
	require.NotZero(t, violation.Steps)
}

func TestViolationSearchIsDeterministicAcrossRunsAndCores(t *testing.T) {
	atOnce, inParts := t.TempDir(), t.TempDir()
	search := searchViolations(t, atOnce, withoutSlowStart, 1, 12)
	require.Equal(t, 12, search.Scenarios)
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	searchViolations(t, inParts, withoutSlowStart, 5, 8) // later seeds first
	searchViolations(t, inParts, withoutSlowStart, 1, 4)
	require.Equal(t, readFiles(t, atOnce), readFiles(t, inParts))
}

func TestInterruptedViolationSearchKeepsItsFindings(t *testing.T) {
	dir := t.TempDir()
	search, err := OpenViolationSearch(dir)
	require.NoError(t, err)
	ctx, interrupt := context.WithCancel(context.Background())
	require.NoError(t, search.Run(ctx, dir, withoutSlowStart, 1, 1000, func(*ViolationSearch) { interrupt() }))
	again, err := OpenViolationSearch(dir)
	require.NoError(t, err)
	require.Equal(t, search, again)
	require.Equal(t, [][2]uint64{{1, searchBatch}}, again.Tried)
}

func TestViolationSearchRejectsInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	searchViolations(t, dir, sim.SchedulerPolicy, 1, 8)
	path := filepath.Join(dir, searchFile)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{"version = 1", "version = 9", "hunt.toml: version: 9 is not supported; this program needs 1"},
		{"version = 1", "version = 1\ncolour = 2", "hunt.toml:2: colour: unknown key"},
		{"scenes = 8", "scenes = 9", "hunt.toml: scenes: 9 does not match the 8 seeds tried"},
		{"tried = [[1, 8]]", "tried = [[8, 1]]", "hunt.toml: tried[0]: seeds are out of order"},
		{string(text[20:]), "", "hunt.toml"}} {
		changed := strings.Replace(string(text), c.old, c.new, 1)
		require.NotEqual(t, string(text), changed, c.old)
		require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
		_, err := OpenViolationSearch(dir)
		require.ErrorContains(t, err, c.want)
	}
	_, err = OpenViolationSearch(path)
	require.Error(t, err, "a file in place of the folder is an error")
}

// TestKeptFindingsMeetTheirFloor checks that the scheduler keeps the rules in every scenario that earlier searches
// found, and that it delivers at least the share of value that the scenario states as its floor.
func TestKeptFindingsMeetTheirFloor(t *testing.T) {
	require.NotEmpty(t, scenario.Findings())
	for _, name := range scenario.Findings() {
		s, err := scenario.Read(name)
		require.NoError(t, err)
		require.NotZero(t, s.Floor, "%s states no floor", name)
		r := sim.Play(s, s.Seed, sim.SchedulerPolicy)
		require.Empty(t, r.Violations, name)
		require.GreaterOrEqual(t, r.G, s.Floor, name)
	}
}

func TestEveryDrawnScenarioIsValid(t *testing.T) {
	for seed := range uint64(2000) {
		s := DrawWide(seed)
		require.Empty(t, s.Check(), "seed %d", seed)
		endpoints := 0
		for _, r := range s.Receivers {
			endpoints += r.Count * r.Endpoints
		}
		require.True(t, endpoints >= 1 && endpoints <= maxSize && s.Dispatch.Forwarders <= maxSize, "seed %d: %d endpoints", seed, endpoints)
	}
}
