package hollow

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/lab/capacity"
)

// The test binary also serves as the program of the processes that trials start, and of a coordinator that a test
// kills. The argument after processArgument or coordinatorArgument marks the processes of one test.
const (
	processArgument     = "hollow-test-process"
	coordinatorArgument = "hollow-test-coordinator"
	testTimeout         = 20 * time.Second
)

func TestMain(m *testing.M) {
	if len(os.Args) > 2 {
		switch os.Args[1] {
		case processArgument:
			if err := Serve(context.Background(), Role(os.Args[3]), os.Stdin, os.Stdout); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			os.Exit(0)
		case coordinatorArgument:
			config := smallConfig(os.Args[2], Idle)
			config.Duration = time.Minute
			Run(context.Background(), config)
			os.Exit(0)
		}
	}
	os.Exit(m.Run())
}

func smallConfig(marker string, scenarios ...Scenario) Config {
	return Config{Scenarios: scenarios, Forwarders: 6, Processes: 2, Destinations: 50, Changes: 3, Duration: 500 * time.Millisecond,
		Seed: 1, Program: []string{os.Args[0], processArgument, marker}}
}

// marker returns a command line argument that is unique to a test and to its process.
func marker(t *testing.T) string {
	return fmt.Sprintf("%s-%d-", strings.ReplaceAll(t.Name(), "/", "-"), os.Getpid())
}

// running returns the ids of the processes with a word in their command lines.
func running(t *testing.T, mark string) (pids []string) {
	t.Helper()
	paths, err := filepath.Glob("/proc/[0-9]*/cmdline")
	require.NoError(t, err)
	for _, path := range paths {
		if text, err := os.ReadFile(path); err == nil && strings.Contains(string(text), mark) {
			pids = append(pids, strings.Split(path, "/")[2])
		}
	}
	return pids
}

func TestChangesComeIntoForceAtAllForwarders(t *testing.T) {
	changes := map[Scenario]int{Idle: 0, Change: 3, Restart: 1, Outage: 1, Zone: 1, FullList: 1}
	for _, scenario := range Scenarios {
		t.Run(string(scenario), func(t *testing.T) {
			t.Parallel()
			mark := marker(t)
			trials, err := Run(t.Context(), smallConfig(mark, scenario))
			require.NoError(t, err)
			require.Len(t, trials, 1)
			trial := trials[0]
			require.Equal(t, titles[scenario], trial.Scenario)
			require.Equal(t, 6, trial.Forwarders)
			require.Equal(t, 50, trial.Destinations)
			require.Equal(t, changes[scenario], trial.Changes)
			require.Zero(t, trial.Missed)
			require.Positive(t, trial.ForwarderMemory)
			require.Empty(t, running(t, mark), "processes are still running")
			if scenario == Idle {
				return
			}
			require.Positive(t, trial.InForce50)
			require.GreaterOrEqual(t, trial.InForce99, trial.InForce50)
			require.GreaterOrEqual(t, trial.InForceLast, trial.InForce99)
			require.Positive(t, trial.ServerBytes)
		})
	}
}

func TestOnlyChangedEntriesAreSent(t *testing.T) {
	t.Parallel()
	const maxBytes = 400 // bytes of an entry with its frame; the full list has about 130 bytes for each destination
	config := smallConfig(marker(t), Change)
	config.Destinations = 2000
	trials, err := Run(t.Context(), config)
	require.NoError(t, err)
	require.Less(t, trials[0].ForwarderBytesPerChange, float64(maxBytes))
}

func TestListOverTheLimitIsMissed(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, func(c *Config) { c.ListBytes = 1000 })
	_, err := f.launch(false)
	require.NoError(t, err)
	// Each forwarder rejects the list as over its limit and ends the watch. The test waits for the first such end.
	var result outcome
	for deadline := time.Now().Add(testTimeout); len(result.endings) == 0 && time.Now().Before(deadline); {
		result, err = f.await(100 * time.Millisecond)
		require.NoError(t, err)
	}
	require.Contains(t, result.endings, "a line of the list is over 1000 bytes: nothing of it is applied")
	require.Equal(t, 6, count(result.inForce, 0))
}

func startTestFleet(t *testing.T, change func(*Config)) *fleet {
	t.Helper()
	config := smallConfig(marker(t))
	change(&config)
	require.NoError(t, config.check())
	f, err := newFleet(t.Context(), config, fleetSize{forwarders: config.Forwarders, processes: config.Processes, memoryLimit: unlimitedMemory})
	require.NoError(t, err)
	t.Cleanup(f.end)
	return f
}

func TestRestartedForwarderCountsAsMissing(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, func(*Config) {})
	_, err := f.launch(true)
	require.NoError(t, err)
	result, err := f.await(testTimeout)
	require.NoError(t, err)
	require.Zero(t, count(result.inForce, 0))
	_, err = f.setReach(reachDown, 0)
	require.NoError(t, err)
	_, err = f.requestAll(func(int) request { return request{Restart: &restartRequest{EveryNth: 3}} })
	require.NoError(t, err)
	result, err = f.await(100 * time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, 2, count(result.inForce, 0), "a third of six forwarders")
	_, err = f.setReach(reachUp, 0)
	require.NoError(t, err)
	result, err = f.await(testTimeout)
	require.NoError(t, err)
	require.Zero(t, count(result.inForce, 0))
}

func TestProcessesEndAfterCancellation(t *testing.T) {
	t.Parallel()
	mark := marker(t)
	config := smallConfig(mark, Idle)
	config.Duration = 30 * time.Second
	ctx, cancel := context.WithCancel(t.Context())
	config.Progress = func(line string) {
		if strings.Contains(line, "idle for") {
			require.Len(t, running(t, mark), 3, "discovery and two workers")
			cancel()
		}
	}
	_, err := Run(ctx, config)
	require.ErrorIs(t, err, context.Canceled)
	require.Empty(t, running(t, mark))
}

func TestProcessesEndAfterAFailure(t *testing.T) {
	t.Parallel()
	mark := marker(t)
	config := smallConfig(mark, Idle)
	config.MemoryBytes = 1 << 20
	_, err := Run(t.Context(), config)
	require.ErrorContains(t, err, "memory")
	require.Empty(t, running(t, mark))
}

func TestProcessesEndWhenAWorkerIsKilled(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, func(*Config) {})
	require.NoError(t, f.workers[0].command.Process.Kill())
	_, err := f.launch(true)
	require.ErrorContains(t, err, "worker 1")
	f.end()
	require.Empty(t, running(t, f.config.Program[2]))
	for _, p := range f.processes() {
		require.ErrorIs(t, syscall.Kill(p.pid(), 0), syscall.ESRCH, "%s is still a process or a zombie", p.name)
	}
}

func TestProcessesEndWhenTheCoordinatorIsKilled(t *testing.T) {
	t.Parallel()
	mark := marker(t)
	coordinator := exec.Command(os.Args[0], coordinatorArgument, mark)
	require.NoError(t, coordinator.Start())
	processes := 4 // the coordinator, discovery and two workers
	require.Eventually(t, func() bool { return len(running(t, mark)) == processes }, testTimeout, 10*time.Millisecond)
	require.NoError(t, coordinator.Process.Kill())
	coordinator.Wait()
	require.Eventually(t, func() bool { return len(running(t, mark)) == 0 }, testTimeout, 10*time.Millisecond)
}

func TestMemoryOverTheLimitCancelsTheFleet(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, func(c *Config) { c.MemoryBytes = 1 << 20 })
	select {
	case <-f.ctx.Done():
	case <-time.After(testTimeout):
		t.Fatal("the fleet was not cancelled")
	}
	require.ErrorContains(t, f.cancelCause(nil), "the limit is 1 MB")
}

func TestErrorForInvalidConfigNamesTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"forwarders":   func(c *Config) { c.Forwarders = 0 },
		"processes":    func(c *Config) { c.Processes = 7 },
		"destinations": func(c *Config) { c.Destinations = maxDestinations + 1 },
		"changes":      func(c *Config) { c.Changes = 0 },
		"scenario":     func(c *Config) { c.Scenarios = []Scenario{"flood"} },
		"lasts":        func(c *Config) { c.Duration = 0 },
		"list limit":   func(c *Config) { c.ListBytes = -1 },
		"memory":       func(c *Config) { c.MemoryBytes = machineMemory() },
		"program":      func(c *Config) { c.Program = nil },
	} {
		config := smallConfig("none", Idle)
		invalidate(&config)
		_, err := Run(t.Context(), config)
		require.ErrorContains(t, err, field+": ", field)
	}
}

func TestFleetFitsIntoMemoryLimit(t *testing.T) {
	config := Config{Forwarders: 500, Processes: 4, MemoryBytes: 1000 << 20}
	size, err := fitFleet(config, footprint{server: 100 << 20, worker: 25 << 20, forwarder: 1 << 20})
	require.NoError(t, err)
	require.Equal(t, 500, size.forwarders)
	require.Equal(t, 4, size.processes)
	require.Equal(t, int64(225<<20), size.memoryLimit)
	require.Empty(t, size.note)

	size, err = fitFleet(config, footprint{server: 100 << 20, worker: 25 << 20, forwarder: 300 << 20})
	require.NoError(t, err)
	require.Equal(t, 2, size.forwarders, "2 forwarders of 345 MB fit into 800 MB")
	require.Equal(t, 2, size.processes)
	require.Contains(t, size.note, "2 forwarders in place of 500")

	_, err = fitFleet(config, footprint{server: 100 << 20, worker: 25 << 20, forwarder: 900 << 20})
	require.ErrorContains(t, err, "memory: ")
}

func TestPercentilesCountMissedForwarders(t *testing.T) {
	sorted := []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}
	require.Equal(t, 2.0, percentile(sorted, 3, 0.5))
	require.Equal(t, 3.0, percentile(sorted, 3, 0.99))
	require.Equal(t, 2.0, percentile(sorted, 4, 0.5))
	require.Zero(t, percentile(sorted, 4, 0.99), "the fourth forwarder missed the revision")
	require.Zero(t, percentile(nil, 0, 0.5))
}

func TestSavedTrialsReplaceThoseOfTheSameSize(t *testing.T) {
	path := filepath.Join(t.TempDir(), "measured.json")
	trial := func(scenario string, destinations int, last float64) capacity.FleetTrial {
		return capacity.FleetTrial{Scenario: scenario, Forwarders: 6, Destinations: destinations, InForceLast: last}
	}
	require.NoError(t, SaveTrials(path, []capacity.FleetTrial{trial("change", 50, 1), trial("idle", 50, 0)}))
	before, err := readResults(path)
	require.NoError(t, err)
	before.Curves = []capacity.Curve{{Role: "held message"}}
	require.NoError(t, writeResults(path, before))
	require.NoError(t, SaveTrials(path, []capacity.FleetTrial{trial("change", 500, 3), trial("change", 50, 2)}))
	after, err := readResults(path)
	require.NoError(t, err)
	require.Equal(t, []capacity.FleetTrial{trial("change", 50, 2), trial("idle", 50, 0), trial("change", 500, 3)}, after.Fleets)
	require.Equal(t, before.Curves, after.Curves)
	require.NotEmpty(t, after.Machine)

	require.NoError(t, os.WriteFile(path, []byte(`{"fleets":`), 0o644))
	require.ErrorContains(t, SaveTrials(path, nil), "measured.json")
}
