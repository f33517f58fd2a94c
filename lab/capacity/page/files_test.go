package page

import (
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/lab/capacity"
)

// Files of the repository, relative to this folder.
const (
	pageFile     = "../../../docs/CAPACITY.md"
	targetFile   = "../../../docs/capacity/target.toml"
	measuredFile = "../../../docs/capacity/measured.json"
)

func readTarget(t *testing.T) *Target {
	t.Helper()
	target, err := ReadTarget(targetFile)
	require.NoError(t, err)
	return target
}

func TestReadTargetOfTheRepository(t *testing.T) {
	target := readTarget(t)
	require.Equal(t, 500.0, target.Fleet.Forwarders)
	require.Equal(t, 1300.0, target.eventsPerForwarder())
	require.InEpsilon(t, 5950, target.destinationsDown(), 1e-9)
	require.Equal(t, 32_000_000.0, float64(target.Budget.Control.Memory))
	require.Equal(t, 28_000.0, float64(target.Budget.Control.BytesPerSecond))
	require.Equal(t, 9.0, float64(target.Changes.InForceWithin))
}

func TestTargetErrorsNameTheField(t *testing.T) {
	text, err := os.ReadFile(targetFile)
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{"forwarders = 500", "forwarder = 500", "fleet.forwarder: unknown key; forwarders may be meant"},
		{"forwarders = 500", "", "fleet.forwarders: 0 is not a positive number, or it is missing"},
		{"forwarders = 500", "forwarders = -1", "fleet.forwarders: -1 is not a positive number"},
		{"forwarders = 500", "forwarders = 500.5", "fleet.forwarders: 500.5 is not a whole number"},
		{"forwarders = 500", `forwarders = "many"`, "fleet.forwarders: "},
		{"forwarders = 500", "forwarders = nan", "fleet.forwarders: NaN is not a positive number"},
		{"zones = 6", "zones = 1", "fleet.zones: 1 zones are too few for 2 regions"},
		{"down_share = 0.035", "down_share = 3.5", "load.down_share: 3.5 is greater than 1"},
		{"backlog_per_forwarder = 5_400_000", "backlog_per_forwarder = 540_000", "load.backlog_per_forwarder: 540000 does not agree with"},
		{`backlog_for = "33h"`, `backlog_for = "3h"`, "load.backlog_events: "},
		{`backlog_for = "33h"`, `backlog_for = "33"`, "load.backlog_for: "},
		{`body = "300B"`, `body = "300"`, "load.body: "},
		{"forwarder_skew = 1.0", "forwarder_skew = 0.5", "load.forwarder_skew: 0.5 is less than 1"},
		{"per_day = 560", "per_day = 0", "changes.per_day: "},
		{"machines_per_day = 2", "machines_per_day = 0", "failures.machines_per_day: "},
		{"core_share = 0.016", "core_share = 1.6", "budget.control.core_share: 1.6 is greater than 1"},
		{`memory = "192MB"`, `memory = "0MB"`, "budget.forwarder.memory: "},
		{"drain_per_second = 5_000", "drain_per_second = inf", "budget.forwarder.drain_per_second: +Inf is not a positive number"},
		{`ready_within = "10s"`, "", "budget.forwarder.ready_within: "},
		{`value = "52 to 71 ms"`, `value = ""`, "estimates[1].value: is missing"},
		{"size = 170_000", "size = -1", "estimates[1].size: -1 is not a valid size"},
	} {
		require.Equal(t, 1, min(1, strings.Count(string(text), c.old)), c.old)
		_, err := ParseTarget("target.toml", []byte(strings.Replace(string(text), c.old, c.new, 1)))
		require.ErrorContains(t, err, c.want, "%s instead of %s", c.new, c.old)
		require.ErrorContains(t, err, "target.toml", c.want)
	}
}

func TestResultsErrorsNameTheField(t *testing.T) {
	for _, c := range []struct {
		change func(*capacity.Results)
		want   string
	}{
		{func(r *capacity.Results) { r.Date = "yesterday" }, `date: "yesterday" is not of the form`},
		{func(r *capacity.Results) { r.Machine = "" }, "machine: is missing"},
		{func(r *capacity.Results) { r.Curves[0].Unit = "" }, "curves[0] (known-destination, memory in the scheduler): role, quantity, unit"},
		{func(r *capacity.Results) { r.Curves[0].Points = nil }, "points: must not be empty"},
		{func(r *capacity.Results) { r.Curves[0].Points[1].Size = 10 }, "points[1]: sizes must be positive and ascending"},
		{func(r *capacity.Results) { r.Curves[0].Fit.Shape = "round" }, `fit.shape: "round" is unknown`},
		{func(r *capacity.Results) { r.Curves[0].Fit.Shape = capacity.Bends }, "fit.bend_at: 0 must be greater than 0"},
		{func(r *capacity.Results) { r.Curves[0].Fit.Residual = -1 }, "fit: intercept, slope, power and residual"},
		{func(r *capacity.Results) { r.Curves = append(r.Curves, r.Curves[0]) }, "duplicate curve"},
		{func(r *capacity.Results) { r.Fleets[0].Scenario = "" }, "fleets[0] (): scenario: is missing"},
		{func(r *capacity.Results) { r.Fleets[0].Forwarders = 0 }, "forwarders and destinations must be greater than 0"},
		{func(r *capacity.Results) { r.Fleets[0].ForwarderMemory = -1 }, "a figure is negative"},
	} {
		results := exampleResults()
		c.change(results)
		text, err := json.Marshal(results)
		require.NoError(t, err)
		_, err = ParseResults("measured.json", text)
		require.ErrorContains(t, err, c.want)
		require.ErrorContains(t, err, "measured.json")
	}
	_, err := ParseResults("measured.json", []byte(`{"curve": []}`))
	require.ErrorContains(t, err, `unknown field "curve"`)
	text, err := json.Marshal(exampleResults())
	require.NoError(t, err)
	_, err = ParseResults("measured.json", text)
	require.NoError(t, err)
	require.False(t, finite(math.NaN()))
}

// exampleResults returns made-up results with one curve and one trial.
func exampleResults() *capacity.Results {
	return &capacity.Results{Machine: "an example machine", Date: "2026-01-02",
		Curves: []capacity.Curve{*linearCurve()},
		Fleets: []capacity.FleetTrial{{Scenario: "change", Forwarders: 50, Destinations: 1700, Changes: 4, InForce50: 0.01, InForce99: 0.02,
			InForceLast: 0.03, ForwarderBytesPerChange: 1000, ForwarderCPUPerChange: 0.001, ForwarderIdleBytes: 10, ForwarderIdleCPU: 0.001,
			ForwarderMemory: 1e6, ServerBytes: 1e6, ServerCPU: 0.5}}}
}
