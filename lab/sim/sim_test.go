package sim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/config"
	"spanflow/lab/audit"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

func readScenario(t *testing.T, name string) *scenario.Scenario {
	s, err := scenario.Read(name)
	require.NoError(t, err)
	return s
}

func violationsByRule(r *Result) map[audit.Rule]int {
	count := map[audit.Rule]int{}
	for _, b := range r.Violations {
		count[b.Rule]++
	}
	return count
}

func TestSchedulerKeepsRulesInBuiltinScenarios(t *testing.T) {
	for _, name := range scenario.Builtin() {
		r := Play(readScenario(t, name), 1, SchedulerPolicy)
		require.Empty(t, r.Violations, name)
		require.Greater(t, r.G, 0.6, name)
		t.Logf("%-32s G %.3f, served %d of %d, late %d, refused %d", name, r.G, r.Served, r.Messages, r.Late, r.Refused)
	}
}

func TestResultIsDeterministic(t *testing.T) {
	s := readScenario(t, "several-at-once")
	want := Play(s, 7, SchedulerPolicy).JSON()
	for _, cores := range []int{1, 4} {
		before := runtime.GOMAXPROCS(cores)
		var wg sync.WaitGroup
		got := make([][]byte, 4)
		for i := range got {
			wg.Go(func() { got[i] = Play(s, 7, SchedulerPolicy).JSON() })
		}
		wg.Wait()
		runtime.GOMAXPROCS(before)
		for _, g := range got {
			require.True(t, bytes.Equal(want, g))
		}
	}
	require.NotEqual(t, want, Play(s, 8, SchedulerPolicy).JSON())
}

// If a forwarder violates a rule, the audit must report a violation of that rule.
func TestAuditDetectsEachViolation(t *testing.T) {
	for _, c := range []struct {
		misbehavior misbehavior
		scenario    string
		rule        audit.Rule
	}{{overlapsAttempts, "calm", audit.RuleNoDoubleEffect}, {breaksKeyOrder, "one-partner-hangs", audit.RuleKeyOrder}, {ignoresRetryAfter, "limits-cut", audit.RuleRetryAfterHeeded},
		{callsDraining, "drains", audit.RuleDrainObserved}, {answersTwice, "one-partner-hangs", audit.RuleOneAnswer}, {neverAnswers, "one-partner-hangs", audit.RuleOneAnswer},
		{answersLate, "one-partner-hangs", audit.RuleOneAnswer}, {repeatsAtMostOnce, "several-at-once", audit.RuleNoDoubleEffect}, {noMisbehavior, "returns-cold", audit.RuleRecoveryNotOverloaded}} {
		var s *scenario.Scenario
		if c.scenario == "drains" {
			s = readScenario(t, "calm")
			s.Faults = []scenario.Fault{{Kind: "drain", At: 10, For: 5, Destinations: []int{0, 1}, Endpoints: []int{0}}}
		} else {
			s = readScenario(t, c.scenario)
		}
		newPolicy := func(m misbehavior) PolicyFactory {
			return func(settings scheduler.Settings, _ uint64, now float64, h scheduler.Host) Policy {
				p := newBaseline(settings, now, h)
				p.misbehavior = m
				return p
			}
		}
		counts := violationsByRule(Play(s, 1, newPolicy(c.misbehavior)))
		require.NotZero(t, counts[c.rule], "%d in %s: %v", c.misbehavior, c.scenario, counts)
		if c.misbehavior != noMisbehavior {
			require.Zero(t, violationsByRule(Play(s, 1, newPolicy(noMisbehavior)))[c.rule], "without the misbehavior %d in %s", c.misbehavior, c.scenario)
		}
	}
}

// The scheduler must not deliver noticeably more value than the oracle in any built-in scenario. The fifo baseline is
// logged for comparison.
func TestOracleIsAnUpperBound(t *testing.T) {
	for _, name := range scenario.Builtin() {
		s := readScenario(t, name)
		oracle := Play(s, 1, Baselines["oracle"])
		schedulerResult := Play(s, 1, SchedulerPolicy)
		require.Greater(t, oracle.G, schedulerResult.G-0.01, name)
		t.Logf("%-32s G of oracle %.3f, scheduler %.3f, fifo %.3f", name, oracle.G, schedulerResult.G, Play(s, 1, Baselines["fifo"]).G)
	}
}

// A short scenario on real sockets must give about the same result as the simulation. The forwarders are processes of
// the built program; the model of the receivers is the same.
func TestScenarioOnRealSockets(t *testing.T) {
	program := filepath.Join(t.TempDir(), "spanflow")
	out, err := exec.Command("go", "build", "-o", program, "spanflow/cmd/spanflow").CombinedOutput()
	require.NoError(t, err, string(out))
	s := readScenario(t, "returns-cold")
	s.Length, s.Drain, s.Dispatch.Forwarders = 6, 6, 2
	for i := range s.Types {
		s.Types[i].TimeToLive, s.Types[i].DeduplicationWindow = 5, min(s.Types[i].DeduplicationWindow, 4)
	}
	s.Faults[0].At, s.Faults[0].For = 2, 1
	r, err := Real{Program: program, Folder: t.TempDir(), Memory: 64, Sockets: 256}.Play(context.Background(), s, 1)
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Greater(t, r.Messages, 150)
	simulated := Play(s, 1, SchedulerPolicy)
	require.Equal(t, simulated.Messages, r.Messages, "the same load")
	require.InDelta(t, simulated.G, r.G, 0.15)
	t.Logf("G on real sockets %.3f, simulated %.3f", r.G, simulated.G)
}

// randomScenario returns a variant of a base scenario with random fleet sizes, receivers and faults.
func randomScenario(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	random := rand.New(rand.NewPCG(seed, 9))
	s := *base
	s.Length, s.Drain, s.Zones = 20, 20, 1+random.IntN(2)
	s.Dispatch.Forwarders = 1 + random.IntN(4)
	s.Dispatch.ConcurrencyLimit = 4 + random.IntN(20)
	s.Load.PerSecond = 5 + 60*random.Float64()
	s.Receivers = append([]scenario.Receiver(nil), base.Receivers...)
	for i := range s.Receivers {
		p := &s.Receivers[i]
		p.Endpoints, p.EndpointLimits, p.ReportsLimit = 1+random.IntN(3), random.IntN(3) == 0, random.IntN(2) == 0
		if random.IntN(3) == 0 {
			p.Calls, p.Window, p.ReportsRetryAfter = 20, 2, true
		}
	}
	kinds := []string{"refuse", "hang", "silent", "slow", "err", "reset", "lose", "spoil", "reap", "cut", "drain", "stall", "restart", "move"}
	s.Faults = nil
	for range random.IntN(4) {
		s.Faults = append(s.Faults, scenario.Fault{Kind: kinds[random.IntN(len(kinds))], At: config.Duration(4 + 8*random.Float64()), For: config.Duration(1 + 7*random.Float64()),
			Destinations: []int{random.IntN(8)}, Fraction: 0.2 + 0.6*random.Float64(), By: 3})
	}
	return &s
}

func TestSchedulerKeepsRulesInRandomScenarios(t *testing.T) {
	base := readScenario(t, "calm")
	var wg sync.WaitGroup
	violations := make([]string, 200)
	slots := make(chan struct{}, 4)
	for seed := range violations {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s := randomScenario(base, uint64(seed))
			if r := Play(s, uint64(seed), SchedulerPolicy); len(r.Violations) > 0 {
				violations[seed] = fmt.Sprintf("seed %d: %+v in %+v", seed, r.Violations[0], s.Faults)
			}
		})
	}
	wg.Wait()
	for _, a := range violations {
		require.Empty(t, a)
	}
}

func BenchmarkFleet(b *testing.B) {
	for _, size := range [][2]int{{50, 80}, {260, 320}, {1000, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			s, err := scenario.Read("one-partner-hangs")
			require.NoError(b, err)
			s.Dispatch.Forwarders = size[0]
			s.Receivers[0].Count, s.Receivers[1].Count = size[1]*3/8, size[1]/8
			s.Load.PerSecond = 480
			s.Length, s.Drain = 30, 5
			for b.Loop() {
				Play(s, 1, SchedulerPolicy)
			}
			b.ReportMetric(35*float64(b.N)/b.Elapsed().Seconds(), "x-real-time")
		})
	}
}
