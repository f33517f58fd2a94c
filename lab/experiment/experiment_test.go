package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/lab/report"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
	"spanflow/scheduler"
)

func arm(t *testing.T, name string, newPolicy sim.PolicyFactory) Arm {
	s, err := scenario.Read(name)
	require.NoError(t, err)
	s.Length, s.Drain = 30, 20
	return Arm{name, s, newPolicy}
}

func TestCompareTellsAWorsePolicyFromAnEqualOne(t *testing.T) {
	a := arm(t, "several-at-once", sim.SchedulerPolicy)
	c := Compare(a, a, Seeds(1, 6), nil)
	require.Equal(t, []any{0.0, 0.0, 0.0, "no difference seen"}, []any{c.Mean, c.Low, c.High, c.Verdict})
	b := a
	b.Name, b.NewPolicy = "fifo", sim.Baselines["fifo"]
	c = Compare(b, a, Seeds(1, 6), nil)
	require.Greater(t, c.Low, 0.0, c)
	require.Equal(t, a.Name+" delivers more", c.Verdict)
	mean, low, high := bootstrap([]float64{-0.1, 0.1, -0.2, 0.2})
	require.True(t, mean == 0 && low < 0 && high > 0)
}

func TestVaryChangesOneFigureOfACopy(t *testing.T) {
	a := arm(t, "one-partner-hangs", nil)
	v, err := Vary(a.Scenario, "trouble", 2)
	require.NoError(t, err)
	require.Equal(t, 2*a.Scenario.Faults[0].For, v.Faults[0].For)
	v, err = Vary(a.Scenario, "forwarders", 7)
	require.True(t, err == nil && v.Dispatch.Forwarders == 7 && a.Scenario.Dispatch.Forwarders == 3)
	_, err = Vary(a.Scenario, "load", -1)
	require.Error(t, err)
	_, err = Vary(a.Scenario, "colour", 1)
	require.ErrorContains(t, err, "unknown axis")
}

// rejectingPolicy is the scheduler, except that it rejects all messages once 15 seconds have passed.
type rejectingPolicy struct {
	sim.Policy
	now, began float64
}

func (s *rejectingPolicy) SetTime(now float64) {
	s.now = now
	s.Policy.SetTime(now)
}

func (s *rejectingPolicy) Admit(size int, left float64) (bool, float64) {
	if s.now > s.began+15 {
		return false, 1
	}
	return s.Policy.Admit(size, left)
}

func TestSearchFindsAndShrinksBadScenarios(t *testing.T) {
	a := arm(t, "calm", nil)
	bad := func(settings scheduler.Settings, seed uint64, now float64, h scheduler.Host) sim.Policy {
		return &rejectingPolicy{Policy: sim.SchedulerPolicy(settings, seed, now, h), began: now}
	}
	found := Search(context.Background(), a.Scenario, bad, 1, 16, 1, nil)
	require.Len(t, found, 1)
	f := found[0]
	require.Greater(t, f.Loss(), 0.3)
	require.NotZero(t, f.Steps)
	require.Less(t, len(f.Scenario.Faults), 2, "the policy performs badly even without faults")
	text, err := f.Text()
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "f.toml")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	s, err := scenario.Read(path)
	require.NoError(t, err, string(text))
	again := evaluate(s, f.Seed, bad)
	require.Equal(t, []any{f.G, f.Rules}, []any{again.G, again.Rules}, "the kept scenario still reproduces the finding")
}

func TestReportIsOneSelfContainedPage(t *testing.T) {
	a := arm(t, "returns-cold", sim.Baselines["fifo"])
	var b bytes.Buffer
	require.NoError(t, report.Write(&b, a.Scenario, Play(a, Seeds(1, 1), nil)))
	text := b.String()
	for _, part := range []string{"<svg", "Rules broken", "returns not pushed over", `"value_delivered"`, "Dashed lines", "refuse"} {
		require.Contains(t, text, part)
	}
	for _, part := range []string{"<link", "src=", "@import"} {
		require.NotContains(t, text, part, "the page loads no other files")
	}
}
