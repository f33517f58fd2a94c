package page

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"spanflow/lab/capacity"
)

// tables renders all generated tables and returns them by name.
func tables(target *Target, results *capacity.Results) (map[string]string, error) {
	rendered := map[string]string{
		"target":      targetTable(target),
		"assumptions": assumptionsTable(target),
		"failures":    failuresTable(target, results),
		"estimates":   estimatesTable(target, results),
		"curves":      curvesTable(results),
		"fleets":      fleetsTable(target, results),
	}
	var all []computedFigure
	for _, role := range roles() {
		figures, err := computeAll(role, target, results)
		if err != nil {
			return nil, err
		}
		rendered[role.table] = roleTable(figures)
		all = append(all, figures...)
	}
	rendered["ranking"] = rankingTable(all)
	return rendered, nil
}

func computeAll(role role, target *Target, results *capacity.Results) ([]computedFigure, error) {
	var all []computedFigure
	for _, figure := range role.figures {
		r, err := figure.compute(role.title, target, results)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

func roleTable(figures []computedFigure) string {
	var rows [][]string
	for _, r := range figures {
		rows = append(rows, []string{r.name, r.valueCell(), r.source, r.budgetCell(), r.command, r.implementedByCell()})
	}
	return table([]string{"figure", "at the target size", "worked out from", "budget", "measured by", "carried by"}, rows)
}

// rankingTable lists all figures that have a budget, by the share of the target size at which they exceed it. Figures
// with an unknown share follow, then figures that keep their budget.
func rankingTable(figures []computedFigure) string {
	var ranked []computedFigure
	for _, r := range figures {
		if r.hasBudget {
			ranked = append(ranked, r)
		}
	}
	slices.SortStableFunc(ranked, func(a, b computedFigure) int {
		return cmp.Or(cmp.Compare(rankClass(&a), rankClass(&b)), cmp.Compare(a.fraction, b.fraction))
	})
	var rows [][]string
	place := 0
	for _, r := range ranked {
		rank := ""
		if rankClass(&r) == exceeded {
			place++
			rank = fmt.Sprint(place)
		}
		rows = append(rows, []string{rank, r.exceededCell(), r.role + ": " + r.name, r.budgetCell(), r.valueCell(), r.implementedByCell()})
	}
	return table([]string{"place", "share of the target size at which the budget is left", "figure", "budget", "at the target size", "carried by"}, rows)
}

// The classes of the ranking, in order.
const (
	exceeded = iota // the budget is exceeded before the target size
	notKnown
	withinBudget
)

func rankClass(r *computedFigure) int {
	switch {
	case r.limit.Basis == NotMeasured, r.limit.Basis == NoSize, r.limit.Basis == NotExtrapolated:
		return notKnown
	case r.limit.Never:
		return withinBudget
	}
	return exceeded
}

func targetTable(t *Target) string {
	control, forwarder := t.Budget.Control, t.Budget.Forwarder
	return table([]string{"what", "size"}, [][]string{
		{"forwarders", Count.Format(t.Fleet.Forwarders)},
		{"regions, zones", Count.Format(t.Fleet.Regions) + ", " + Count.Format(t.Fleet.Zones)},
		{"machines set aside for control", Count.Format(t.Fleet.ControlMachines)},
		{"events accepted", PerSecond.Format(t.Load.EventsPerSecond) + "; " + PerSecond.Format(t.Load.EventsPerSecond/t.Fleet.Forwarders) + " by each forwarder"},
		{"destinations", Count.Format(t.Load.Destinations)},
		{"of these down at any time", Count.Format(t.destinationsDown()) + " (" + percent(t.Load.DownFraction) + ")"},
		{"backlog", Count.Format(t.Load.BacklogEvents) + " events, up to " + Count.Format(t.Load.BacklogPerForwarder) + " at a forwarder: " +
			Seconds.Format(float64(t.Load.BacklogFor)) + " of what the destinations that are down get"},
		{"changes of the configuration", Count.Format(t.Changes.PerDay) + " a day, in force everywhere within " + Seconds.Format(float64(t.Changes.InForceWithin))},
		{"budget of control at a forwarder", Cores.Format(control.CoreFraction) + ", " + Bytes.Format(float64(control.Memory)) + ", " +
			BytesPerSecond.Format(float64(control.BytesPerSecond))},
		{"budget of all else at a forwarder", Cores.Format(forwarder.Cores) + ", " + Bytes.Format(float64(forwarder.Memory)) + " (assumed), ready within " +
			Seconds.Format(float64(forwarder.ReadyWithin)) + " of a restart, a backlog drained at " + PerSecond.Format(forwarder.DrainPerSecond)},
		{"machines that fail", Count.Format(t.Failures.MachinesPerDay) + " a day"},
		{"restarts and replacements", Count.Format(t.Failures.RestartsPerDay) + " a day"},
		{"racks or switches that fail", Count.Format(t.Failures.RacksPerYear) + " a year at most"},
		{"zones that fail", Count.Format(t.Failures.ZonesPerYear) + " a year at most"},
		{"regions apart", "now and then, for " + Seconds.Format(float64(t.Failures.RegionsApart))},
	})
}

func assumptionsTable(t *Target) string {
	skew := func(value float64) string {
		if value == 1 {
			return "even"
		}
		return "the busiest has " + digits(value) + " times the mean"
	}
	assumptions := [][2]string{
		{"skew over forwarders", skew(t.Load.ForwarderSkew)},
		{"skew over destinations", skew(t.Load.DestinationSkew)},
		{"body of an event", Bytes.Format(float64(t.Load.Body))},
		{"life of an event", "at least " + Seconds.Format(float64(t.Load.BacklogFor)) + ": else the backlog would expire before it is " + digits(t.Load.BacklogEvents)},
		{"destinations that are down get as much as others", Count.Format(t.eventsPerSecondDown()) + " events a second of all"},
		{"a forwarder's process", Cores.Format(t.Budget.Forwarder.Cores) + " and " + Bytes.Format(float64(t.Budget.Forwarder.Memory)) + ", the defaults of `limits`"},
		{"budgets of control", "means over a day; memory at any time"},
		{"endpoints of a destination", "one"},
		{"every forwarder", "serves every destination and knows the whole list"},
		{"forwarders over zones and regions", "even parts: " + Count.Format(t.Fleet.Forwarders/t.Fleet.Zones) + " in a zone, " + Count.Format(t.Fleet.Forwarders/t.Fleet.Regions) + " in a region"},
		{"an event needs one transmission", "retries and vain calls are not counted in the message path"},
	}
	var rows [][]string
	for i, assumption := range assumptions {
		rows = append(rows, []string{fmt.Sprint(i + 1), assumption[0], assumption[1]})
	}
	return table([]string{"no.", "assumed of", "what"}, rows)
}

func estimatesTable(t *Target, results *capacity.Results) string {
	var rows [][]string
	for _, estimate := range t.Estimates {
		measured := measuredEstimate(&estimate, curveOf(results, curveRef{estimate.Role, estimate.Quantity}))
		rows = append(rows, []string{estimate.Name, estimate.Value, measured, estimate.Role + ": " + estimate.Quantity})
	}
	return table([]string{"what", "the operators' estimate", "measured here", "curve"}, rows)
}

// measuredEstimate formats the measured value for an operators' estimate. curve is nil if it was not measured.
func measuredEstimate(estimate *OperatorEstimate, curve *capacity.Curve) string {
	if curve == nil {
		return "not measured"
	}
	curve, unit := converted(curve)
	if estimate.Size == 0 {
		return describe(curve, unit)
	}
	at := ValueAt(curve, estimate.Size)
	if at.Basis == NotExtrapolated {
		last := curve.Points[len(curve.Points)-1]
		return "not extrapolated; " + unit.Format(last.Value) + " at " + digits(last.Size)
	}
	return unit.Format(at.Value)
}

// pointsOf formats the measured points of a curve as a list.
func pointsOf(curve *capacity.Curve, unit Unit) string {
	var points []string
	for _, point := range curve.Points {
		points = append(points, digits(point.Size)+": "+unit.Format(point.Value))
	}
	return strings.Join(points, "; ")
}

func curvesTable(results *capacity.Results) string {
	var rows [][]string
	for i := range results.Curves {
		curve, unit := converted(&results.Curves[i])
		bend := ""
		if curve.Fit.Shape == capacity.Bends {
			bend = " at " + digits(curve.Fit.BendAt)
		}
		rows = append(rows, []string{curve.Role, curve.Quantity, curve.SizeUnit, pointsOf(curve, unit),
			string(curve.Fit.Shape) + bend, describe(curve, unit), percent(curve.Fit.Residual)})
	}
	if len(rows) == 0 {
		return "Nothing is measured yet.\n"
	}
	head := []string{"role", "quantity", "size in", "measured", "shape", "line", "residual"}
	return "Measured " + results.Date + " on " + results.Machine + ".\n\n" + table(head, rows)
}

func fleetsTable(t *Target, results *capacity.Results) string {
	var rows [][]string
	for _, trial := range results.Fleets {
		rows = append(rows, []string{trial.Scenario, digits(float64(trial.Forwarders)) + " × " + digits(float64(trial.Destinations)),
			Count.Format(float64(trial.Changes)),
			timesInForce(&trial),
			Count.Format(float64(trial.Missed)), inTime(t, &trial),
			Bytes.Format(trial.ForwarderBytesPerChange) + ", " + Seconds.Format(trial.ForwarderCPUPerChange),
			BytesPerSecond.Format(trial.ForwarderIdleBytes) + ", " + Cores.Format(trial.ForwarderIdleCPU),
			Bytes.Format(trial.ForwarderMemory), Bytes.Format(trial.ServerBytes) + ", " + Seconds.Format(trial.ServerCPU), trial.Note})
	}
	if len(rows) == 0 {
		return "No trial is measured yet.\n"
	}
	return table([]string{"scenario", "forwarders × destinations", "changes", "in force: 50th, 99th, last", "missed",
		"within " + Seconds.Format(float64(t.Changes.InForceWithin)), "a forwarder by change: bytes, processor time",
		"a forwarder idle", "memory of a forwarder", "stand-in: bytes, processor time", "note"}, rows)
}

// timesInForce returns the times until the median forwarder, 99% of the forwarders, and the last one had a change in
// force.
func timesInForce(trial *capacity.FleetTrial) string {
	if trial.Changes == 0 {
		return ""
	}
	reached := func(seconds float64) string {
		if seconds == 0 && trial.Missed > 0 { // too many forwarders missed the change for this percentile
			return "never"
		}
		return Seconds.Format(seconds)
	}
	return reached(trial.InForce50) + ", " + reached(trial.InForce99) + ", " + Seconds.Format(lastInForce(nil, trial))
}

// inTime returns "yes" if a trial's changes were in force everywhere within the target's time, "no" if they were not,
// and "" if there were no changes.
func inTime(t *Target, trial *capacity.FleetTrial) string {
	if trial.Changes == 0 {
		return ""
	}
	if trial.Missed > 0 || trial.InForceLast > float64(t.Changes.InForceWithin) {
		return "no"
	}
	return "yes"
}
