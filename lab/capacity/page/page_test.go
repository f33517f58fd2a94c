package page

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/lab/capacity"
)

// emptyPage returns a page with the markers of all tables and no content.
func emptyPage(t *testing.T) string {
	t.Helper()
	rendered, err := tables(readTarget(t), &capacity.Results{})
	require.NoError(t, err)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(rendered)) {
		b.WriteString(beginPrefix + " " + name + " " + markerEnd + "\n" + endPrefix + " " + name + " " + markerEnd + "\n")
	}
	return b.String()
}

// TestRepositoryPageIsCurrent checks that docs/CAPACITY.md matches the target size and the measured results. If it
// fails, run 'bin/spanflow-lab capacity page' to update the tables.
func TestRepositoryPageIsCurrent(t *testing.T) {
	text, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	results, err := ReadResults(measuredFile)
	require.NoError(t, err)
	page, err := Update(string(text), readTarget(t), results)
	require.NoError(t, err)
	require.Empty(t, page.Outdated, "run 'spanflow-lab capacity page'")
	require.Equal(t, page.Text, string(text))
}

var (
	fenced = regexp.MustCompile("(?m)^    .*$|`[^`]*`")
	digit  = regexp.MustCompile(`\d`)
)

// TestProseContainsNoFigures checks that figures occur only in generated tables, where they are compared with the
// measured results.
func TestProseContainsNoFigures(t *testing.T) {
	text, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	require.Empty(t, proseWithDigits(string(text)))
	require.Equal(t, []string{"it takes 5 s"}, proseWithDigits("it takes 5 s\n    bin/x --seconds 5\n`seconds = 5`\n"+
		beginPrefix+" a "+markerEnd+"\n| 7 |\n"+endPrefix+" a "+markerEnd+"\n"))
}

// proseWithDigits returns the lines of a page's prose that contain a digit outside of code.
func proseWithDigits(text string) []string {
	var found []string
	generated := false
	for _, line := range strings.Split(text, "\n") {
		switch {
		case strings.HasPrefix(line, beginPrefix):
			generated = true
		case strings.HasPrefix(line, endPrefix):
			generated = false
		case !generated && digit.MatchString(fenced.ReplaceAllString(line, "")):
			found = append(found, line)
		}
	}
	return found
}

// TestQuotedLimitsMatchTheSource checks that the limits quoted in the tables match the constants in the source.
func TestQuotedLimitsMatchTheSource(t *testing.T) {
	for _, quoted := range []struct{ folder, constant, value string }{
		{"internal/discovery", "maxLineBytes", "4 << 20"},              // maxWatchLine
		{"internal/discovery", "heartbeatInterval", "2 * time.Second"}, // a watch is considered silent after 1.5 intervals, 3 s
		{"internal/statefile", "maxLatencyLines", "1 << 12"},           // 4,096 destinations
		{"forwarder", "killAfter", "3700 * time.Millisecond"},          // 3.2 s after subtracting killMargin
		{"forwarder", "killMargin", "500 * time.Millisecond"},
		{"scheduler", "sheddingThreshold", "0.97"},
	} {
		declared := regexp.MustCompile(`(?m)^\s*(const )?` + quoted.constant + `\s*= ` + regexp.QuoteMeta(quoted.value) + `(\s|$)`)
		files, err := filepath.Glob("../../../" + quoted.folder + "/*.go")
		require.NoError(t, err)
		require.True(t, slices.ContainsFunc(files, func(file string) bool {
			text, err := os.ReadFile(file)
			return err == nil && declared.Match(text)
		}), "%s of %s is no longer %s; correct the page's tables", quoted.constant, quoted.folder, quoted.value)
	}
}

// TestReferencedCurvesAreMeasured checks that figures refer to curves by the names that the measurements use.
func TestReferencedCurvesAreMeasured(t *testing.T) {
	results, err := ReadResults(measuredFile)
	require.NoError(t, err)
	measured := func(role string) bool {
		return slices.ContainsFunc(results.Curves, func(c capacity.Curve) bool { return c.Role == role })
	}
	for _, ref := range referencedCurves(readTarget(t)) {
		if measured(ref.role) {
			require.NotNil(t, curveOf(results, ref), "%s is measured but has no curve %q", ref.role, ref.quantity)
		}
	}
}

// referencedCurves returns the curves that figures, budgets and estimates refer to.
func referencedCurves(target *Target) []curveRef {
	var refs []curveRef
	for _, role := range roles() {
		for _, figure := range role.figures {
			if figure.curve != nil {
				refs = append(refs, figure.curve.ref)
			}
			if figure.budget != nil && figure.budget.curve != nil {
				refs = append(refs, figure.budget.curve.ref)
			}
		}
	}
	for _, estimate := range target.Estimates {
		refs = append(refs, curveRef{estimate.Role, estimate.Quantity})
	}
	return refs
}

func TestUpdateKeepsProseAndNamesOutdatedTables(t *testing.T) {
	target, prose := readTarget(t), "# A page\n\nProse with | bars |.\n\n"
	first, err := Update(prose+emptyPage(t)+"The end without a line's end", target, &capacity.Results{})
	require.NoError(t, err)
	require.Len(t, first.Outdated, len(first.Tables))
	require.True(t, strings.HasPrefix(first.Text, prose))
	require.True(t, strings.HasSuffix(first.Text, "The end without a line's end"))

	second, err := Update(first.Text, target, &capacity.Results{})
	require.NoError(t, err)
	require.Empty(t, second.Outdated)
	require.Equal(t, first.Text, second.Text)

	modified := strings.Replace(first.Text, "| forwarders | 500 |", "| forwarders | 501 |", 1)
	third, err := Update(modified, target, &capacity.Results{})
	require.NoError(t, err)
	require.Equal(t, []string{"target"}, third.Outdated)
	require.Equal(t, first.Text, third.Text)
}

func TestUpdateRejectsInvalidMarkers(t *testing.T) {
	target, whole := readTarget(t), emptyPage(t)
	begin := func(name string) string { return beginPrefix + " " + name + " " + markerEnd + "\n" }
	end := func(name string) string { return endPrefix + " " + name + " " + markerEnd + "\n" }
	without := func(text string) string { return strings.Replace(whole, text, "", 1) }
	for _, c := range []struct{ text, want string }{
		{without(begin("ranking") + end("ranking")), `table "ranking" is not on the page`},
		{without(end("ranking")), `table "ranking" is not closed before table`},
		{without(begin("ranking")), `table "ranking" ends without a begin marker`},
		{whole + begin("ranking") + end("ranking"), `table "ranking" occurs twice`},
		{whole + begin("figures") + end("figures"), `table "figures" is unknown; known tables are assumptions, client,`},
		{whole + begin("figures"), `table "figures" has no end marker`},
		{whole + beginPrefix + " x\n", "is not a complete marker"},
		{whole + beginPrefix + " " + markerEnd + "\n", "is not a complete marker"},
	} {
		_, err := Update(c.text, target, &capacity.Results{})
		require.ErrorContains(t, err, c.want)
	}
}

// row returns the row of a rendered table whose first cell begins with a text.
func row(t *testing.T, text, begins string) string {
	t.Helper()
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "| "+begins) {
			return line
		}
	}
	require.Fail(t, "no row", "%q in:\n%s", begins, text)
	return ""
}

func TestTablesAreComputedFromCurves(t *testing.T) {
	results := exampleResults()
	results.Curves = []capacity.Curve{
		{Role: "known-destination", Quantity: "memory in the scheduler", SizeUnit: "destinations", Unit: "bytes",
			Points: []capacity.Point{{Size: 1000, Value: 1e6}, {Size: 17_000, Value: 17e6}},
			Fit:    capacity.Fit{Shape: capacity.Linear, Slope: 1000}},
		{Role: "held-message", Quantity: "processor time of a fresh message beside them", SizeUnit: "messages held", Unit: "ms",
			Points: []capacity.Point{{Size: 1000, Value: 0.1}, {Size: 10_000, Value: 0.5}, {Size: 100_000, Value: 50}},
			Fit:    capacity.Fit{Shape: capacity.NotLinear, Power: 1.3494}},
		{Role: "message-path", Quantity: "processor time in a second", SizeUnit: "messages a second", Unit: "s",
			Points: []capacity.Point{{Size: 30, Value: 0.01}, {Size: 3000, Value: 0.3}},
			Fit:    capacity.Fit{Shape: capacity.Linear, Slope: 0.0001}},
		{Role: "restart", Quantity: "time to the forwarder's readiness", SizeUnit: "messages owed", Unit: "s",
			Points: []capacity.Point{{Size: 1000, Value: 0.1}, {Size: 1_000_000, Value: 2}},
			Fit:    capacity.Fit{Shape: capacity.NotLinear}},
	}
	rendered, err := tables(readTarget(t), results)
	require.NoError(t, err)

	known := row(t, rendered["control"], "memory of the known destinations")
	require.Contains(t, known, "| 170 MB (extrapolated to 10 times the largest measured size) |")
	require.Contains(t, known, "1 kB each of destinations, and 0 bytes at none; at all destinations (170,000)")
	require.Contains(t, known, "`spanflow-lab capacity measure known-destination`")
	require.Contains(t, known, "kept cheaper: **missing**")

	beside := row(t, rendered["message-path"], "processor time of fresh messages")
	require.Contains(t, beside, "| not extrapolated; the budget is kept at 10,000, left at the measured size 100,000 |")
	require.Contains(t, beside, "| not straight: grows with the power 1.35 of the size; at a forwarder's backlog (5,400,000), × ")
	require.Contains(t, row(t, rendered["message-path"], "restart: time until ready"), "| not extrapolated | not straight; at")
	require.Contains(t, row(t, rendered["message-path"], "memory of the backlog in the scheduler"), "| not measured |")
	require.Contains(t, row(t, rendered["message-path"], "processor time, nothing held"), "| 13% of a core |")
	results.Curves[1].Fit = capacity.Fit{Shape: capacity.Bends, Intercept: 0.1, Slope: 0.0001, BendAt: 10_000} // in ms
	bends, err := tables(readTarget(t), results)
	require.NoError(t, err)
	require.Contains(t, row(t, bends["message-path"], "processor time of fresh messages"), "| not extrapolated; the budget is left at 6,690 |")
	require.Contains(t, row(t, rendered["failures"], "restart of a process"), "ready: not extrapolated to the backlog")
	require.Contains(t, row(t, rendered["control-machines"], "memory"), "| not measured | nothing measures it |")
	require.Contains(t, rendered["control-machines"], "| **missing** |")

	require.Contains(t, row(t, rendered["estimates"], "memory of a known destination"), "| 1,017 bytes | 1 kB each of destinations, and 0 bytes at none |")
	require.Contains(t, row(t, rendered["estimates"], "a fresh message beside"), "| 15 ms | not extrapolated; 50 ms at 100,000 |")
	require.Contains(t, row(t, rendered["estimates"], "disk of"), "| 410 bytes | not measured |")
	require.Contains(t, rendered["curves"], "| messages held | 1,000: 100 µs; 10,000: 500 µs; 100,000: 50 ms | not straight |")

	change := row(t, rendered["control"], "a change in force everywhere")
	require.Contains(t, change, "| 30 ms in the trial; not extrapolated |")
	require.Contains(t, change, "trial (change) of 50 forwarders with 1,700 destinations")
}

func TestRankingIsByShareOfTheTargetSize(t *testing.T) {
	results := exampleResults()
	line := func(role, quantity, unit string, slope float64) capacity.Curve {
		return capacity.Curve{Role: role, Quantity: quantity, SizeUnit: "pieces", Unit: unit,
			Points: []capacity.Point{{Size: 1, Value: slope}, {Size: 100, Value: 100 * slope}}, Fit: capacity.Fit{Shape: capacity.Linear, Slope: slope}}
	}
	results.Curves = []capacity.Curve{
		line("known-destination", "memory in the scheduler", "bytes", 1000),              // exceeds 32 MB at 32,000 of 170,000
		line("held-message", "memory in the scheduler", "bytes", 192e6/54_000),           // exceeds 192 MB at 54,000 of 5,400,000
		line("known-destination", "processor time of a list change", "ns", 1),            // never exceeds its budget
		line("message-path", "processor time in a second", "s", 1e-6),                    // never exceeds its budget
		line("held-message", "processor time of a fresh message beside them", "s", 1e-9), // exceeds 1/1,300 s at 769,000
	}
	rendered, err := tables(readTarget(t), results)
	require.NoError(t, err)
	lines := strings.Split(rendered["ranking"], "\n")[2:]
	require.True(t, strings.HasPrefix(lines[0], "| 1 | 1%, at 54,000 | forwarder: message path: memory of the backlog in the scheduler |"), lines[0])
	require.True(t, strings.HasPrefix(lines[1], "| 2 | 14%, at 769,000 | forwarder: message path: processor time of fresh messages"), lines[1])
	require.True(t, strings.HasPrefix(lines[2], "| 3 | 19%, at 32,000 | forwarder: control: memory of the known destinations"), lines[2])
	require.Contains(t, lines[1], "| 7.02 cores (extrapolated to 54,000 times the largest measured size) |", "5,400,000 messages held, 1,300 messages per second")
	require.True(t, strings.HasPrefix(lines[3], "|  | "), "unknown limits have no rank: %s", lines[3])
	require.Contains(t, rendered["ranking"], "|  | kept | forwarder: message path: processor time, nothing held |")
	require.Contains(t, rendered["ranking"], "|  | kept | forwarder: control: processor time of changes in the scheduler |")
	require.Contains(t, rendered["ranking"], "|  | kept in the trials; not extrapolated | forwarder: control: a change in force everywhere |")
}

func TestTrialBudgetsAreNotExtrapolated(t *testing.T) {
	results := exampleResults()
	trial := results.Fleets[0]
	smaller, whole := trial, trial
	smaller.Forwarders, smaller.Destinations, smaller.Missed = 250, 17_000, 3
	whole.Forwarders, whole.Destinations, whole.InForceLast = 500, 170_000, 12
	results.Fleets = []capacity.FleetTrial{trial, whole, smaller}
	rendered, err := tables(readTarget(t), results)
	require.NoError(t, err)
	require.Contains(t, rendered["ranking"], "| 1 | at the latest 50%: kept in a trial of 1%, left in one of that size | forwarder: control: a change in force everywhere |")
	require.Contains(t, row(t, rendered["control"], "a change in force everywhere"), "| 12 s (measured) |")
	require.Contains(t, rendered["ranking"], "|  | kept | forwarder: control: bytes of changes |")
	kept := trial
	kept.Forwarders, kept.Destinations = 100, 170_000 // shows only that the budget is kept at 20% of both
	results.Fleets = append(results.Fleets, kept)
	again, err := tables(readTarget(t), results)
	require.NoError(t, err)
	require.Contains(t, again["ranking"], "| 1 | at the latest 50%: kept in a trial of 20%, left in one of that size | forwarder: control: a change in force")
	fleets := strings.Split(rendered["fleets"], "\n")
	require.Contains(t, fleets[2], "| 10 ms, 20 ms, 30 ms | 0 | yes |")
	require.Contains(t, fleets[3], "| 10 ms, 20 ms, 12 s | 0 | no |")
	require.Contains(t, fleets[4], "| 10 ms, 20 ms, never | 3 | no |")
}

func TestTrialsWithMissesGiveNoCost(t *testing.T) {
	results := exampleResults()
	complete, missed := results.Fleets[0], results.Fleets[0]
	complete.Scenario, complete.Forwarders, complete.Destinations, complete.ForwarderMemory, complete.ForwarderBytesPerChange = "whole list", 34, 170_000, 270e6, 30e6
	missed = complete
	missed.Forwarders, missed.Missed, missed.ForwarderMemory, missed.ForwarderBytesPerChange = 478, 478, 5e6, 60e6
	results.Fleets = []capacity.FleetTrial{missed, complete}
	rendered, err := tables(readTarget(t), results)
	require.NoError(t, err)
	require.Contains(t, row(t, rendered["control"], "memory of a hollow forwarder that got a full list"), "| 270 MB (measured) |")
	require.Contains(t, row(t, rendered["control"], "a full list: bytes"), "| 30 MB (measured) |")
	require.Contains(t, row(t, rendered["control"], "a full list in force at forwarders"), "| never (measured) |")
	results.Fleets = results.Fleets[:1]
	rendered, err = tables(readTarget(t), results)
	require.NoError(t, err)
	require.Contains(t, row(t, rendered["control"], "a full list: bytes"), "| not measured | no trial (whole list)")
}

func TestMeasuredBudgetIsComparedWithItsFigure(t *testing.T) {
	results := exampleResults()
	outage := func(quantity string, at500 float64) capacity.Curve {
		return capacity.Curve{Role: "down-destination", Quantity: quantity, SizeUnit: "forwarders", Unit: "calls",
			Points: []capacity.Point{{Size: 5, Value: 6}, {Size: 50, Value: 8}, {Size: 500, Value: at500}}, Fit: capacity.Fit{Shape: capacity.NotLinear}}
	}
	results.Curves = []capacity.Curve{outage("calls in the first second of its return", 20), outage("budget of the first second of its return", 7)}
	rendered, err := tables(readTarget(t), results)
	require.NoError(t, err)
	require.Contains(t, row(t, rendered["destination"], "calls in the first second"), "| 20 calls (measured) | not straight; at all forwarders (500) | 7 calls, a cold destination's |")
	require.Contains(t, rendered["ranking"], "| 1 | at the latest 10%: kept at 5, left at the measured size 50 | a destination: calls in the first second of a return |")
}

func TestCurveInAnotherUnitIsAnError(t *testing.T) {
	results := exampleResults()
	results.Curves[0].Unit = "calls"
	_, err := tables(readTarget(t), results)
	require.ErrorContains(t, err, `the curve (known-destination, memory in the scheduler) is in "calls", not in "bytes"`)
}

func TestEveryFigureHasOneSourceAndACommand(t *testing.T) {
	for _, role := range roles() {
		require.NotEmpty(t, role.figures, role.title)
		for _, figure := range role.figures {
			sources := 0
			for _, is := range []bool{figure.target != nil, figure.curve != nil, figure.trial != nil} {
				if is {
					sources++
				}
			}
			require.LessOrEqual(t, sources, 1, "%s, %s", role.title, figure.name)
			if figure.trial != nil {
				require.NotEmpty(t, scenarioArgument[figure.trial.scenario], "%s has no command", figure.name)
			}
		}
	}
}
