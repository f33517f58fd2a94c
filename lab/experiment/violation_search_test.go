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

// rampless is the scheduler with the ramp after an outage off: what it believes a cold destination stands is without
// end.
func rampless(settings scheduler.Settings, seed uint64, now float64, h scheduler.Host) sim.Policy {
	settings.OverloadMultiple, settings.SlowStartShare = 1e6, 1
	return sim.SchedulerPolicy(settings, seed, now, h)
}

func hunt(t *testing.T, dir string, make sim.Maker, from uint64, most int) *ViolationSearch {
	h, err := OpenViolationSearch(dir)
	require.NoError(t, err)
	require.NoError(t, h.Run(context.Background(), dir, make, from, most, nil))
	return h
}

// files are the texts of a folder by their names.
func files(t *testing.T, dir string) map[string]string {
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

func TestAHuntCatchesASchedulerWithoutARampAndKeepsTheScenario(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "when missing")
	h := hunt(t, dir, rampless, 1, 16)
	require.NotEmpty(t, h.Violations)
	b := h.Violations[0]
	require.Contains(t, b.Rule, "returns not pushed over")
	s, err := scenario.Read(filepath.Join(dir, b.File))
	require.NoError(t, err)
	require.Equal(t, b.Reason, violationOf(s, s.Seed, b.Rule, rampless), "the kept scene shows it still")
	require.NotZero(t, b.Steps)
}

func TestAHuntGoesOnWhereItStoppedAndIsTheSameOnAnyNumberOfCores(t *testing.T) {
	whole, parts := t.TempDir(), t.TempDir()
	h := hunt(t, whole, rampless, 1, 12)
	require.Equal(t, 12, h.Scenarios)
	was := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(was)
	hunt(t, parts, rampless, 5, 8) // the later seeds first
	hunt(t, parts, rampless, 1, 4)
	require.Equal(t, files(t, whole), files(t, parts))
}

func TestAnInterruptedHuntKeepsWhatItFound(t *testing.T) {
	dir := t.TempDir()
	h, err := OpenViolationSearch(dir)
	require.NoError(t, err)
	ctx, interrupt := context.WithCancel(context.Background())
	require.NoError(t, h.Run(ctx, dir, rampless, 1, 1000, func(*ViolationSearch) { interrupt() }))
	again, err := OpenViolationSearch(dir)
	require.NoError(t, err)
	require.Equal(t, h, again)
	require.Equal(t, [][2]uint64{{1, searchBatch}}, again.Tried)
}

func TestAHuntsFileThatIsCutOrOfAnotherKindIsRefused(t *testing.T) {
	dir := t.TempDir()
	hunt(t, dir, sim.SchedulerPolicy, 1, 8)
	path := filepath.Join(dir, searchFile)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, says string }{
		{"version = 1", "version = 9", "hunt.toml: version: 9 is not this program's, 1"},
		{"version = 1", "version = 1\ncolour = 2", "hunt.toml:2: colour: unknown key"},
		{"scenes = 8", "scenes = 9", "hunt.toml: scenes: 9, while 8 seeds are tried"},
		{"tried = [[1, 8]]", "tried = [[8, 1]]", "hunt.toml: tried[0]: seeds are not in order"},
		{string(text[20:]), "", "hunt.toml"}} {
		changed := strings.Replace(string(text), c.old, c.new, 1)
		require.NotEqual(t, string(text), changed, c.old)
		require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
		_, err := OpenViolationSearch(dir)
		require.ErrorContains(t, err, c.says)
	}
	_, err = OpenViolationSearch(path)
	require.Error(t, err, "a file is no folder")
}

// The scenes that searches and hunts have left: the rules hold, and each delivers what it states.
func TestKeptFindingsHold(t *testing.T) {
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

func TestEveryDrawnScenarioIsSound(t *testing.T) {
	for seed := range uint64(2000) {
		s := DrawWide(seed)
		require.Empty(t, s.Check(), "seed %d", seed)
		endpoints := 0
		for _, p := range s.Receivers {
			endpoints += p.Count * p.Endpoints
		}
		require.True(t, endpoints >= 1 && endpoints <= maxSize && s.Dispatch.Forwarders <= maxSize, "seed %d: %d targets", seed, endpoints)
	}
}
