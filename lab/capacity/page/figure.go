package page

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"spanflow/lab/capacity"
)

// figure is one row of a role's table: a quantity at the target size. At most one of target, curve and trial is set,
// and is the figure's source. A figure without a source is not measured.
type figure struct {
	name          string
	unit          Unit
	target        *targetUse
	curve         *curveUse
	trial         *trialUse
	budget        *budget
	implementedBy string // packages; empty if not implemented
}

// targetUse computes a figure from the target alone.
type targetUse struct {
	value  func(*Target) float64
	source string
}

// curveUse computes a figure as the value of a curve at the target size, times a factor.
type curveUse struct {
	ref        curveRef
	unit       Unit                  // required unit of the curve, before it is multiplied by the factor
	size       func(*Target) float64 // nil if the target does not state the size
	sizeName   string
	factor     func(*Target) float64 // nil means 1
	factorName string
}

// trialUse computes a figure from the largest trial of a scenario.
type trialUse struct {
	scenario string
	value    func(*Target, *capacity.FleetTrial) float64
	source   string
	coverage func(*Target, *capacity.FleetTrial) coverage
	accept   func(*capacity.FleetTrial) bool // selects trials; nil means all
}

// noneMissed selects trials in which no forwarder missed a change. Costs measured in other trials are not meaningful.
func noneMissed(trial *capacity.FleetTrial) bool { return trial.Missed == 0 }

// coverage is the size of a trial as shares of the target size: the smaller and the larger of its shares of forwarders
// and destinations. For an installation with the same share of both, a budget that the trial kept is kept at the
// smaller share, and a budget that the trial exceeded is exceeded at the larger share.
type coverage struct{ min, max float64 }

// destinationCoverage is the coverage for figures of one forwarder, which do not depend on the number of forwarders.
func destinationCoverage(t *Target, trial *capacity.FleetTrial) coverage {
	share := float64(trial.Destinations) / t.Load.Destinations
	return coverage{share, share}
}

// fleetCoverage is the coverage for figures of a whole fleet.
func fleetCoverage(t *Target, trial *capacity.FleetTrial) coverage {
	forwarders, destinations := float64(trial.Forwarders)/t.Fleet.Forwarders, float64(trial.Destinations)/t.Load.Destinations
	return coverage{math.Min(forwarders, destinations), math.Max(forwarders, destinations)}
}

// budget is the maximum value of a figure.
type budget struct {
	name  string
	value func(*Target) float64
	curve *curveUse // set instead of value if the budget itself was measured
}

// missing is the cell text for figures that are not implemented.
const missing = "**missing**"

// computedFigure is a figure computed for a target and results.
type computedFigure struct {
	*figure
	role      string
	estimate  Estimate
	limit     Limit
	fraction  float64 // share of the target size at which the budget is exceeded, if limit has a size
	source    string
	command   string
	budget    float64
	hasBudget bool
}

// at returns the budget for a target, and false if it is not known.
func (b *budget) at(target *Target, results *capacity.Results) (float64, bool) {
	if b.curve == nil {
		return b.value(target), true
	}
	curve := curveOf(results, b.curve.ref)
	if curve == nil {
		return 0, false
	}
	curve, unit := converted(curve)
	estimate := ValueAt(curve, b.curve.size(target))
	return estimate.Value, unit == b.curve.unit && estimate.Basis != NotExtrapolated
}

// compute computes a figure. It returns an error if the curve's unit is not the expected one.
func (f *figure) compute(role string, target *Target, results *capacity.Results) (computedFigure, error) {
	r := computedFigure{figure: f, role: role}
	if f.budget != nil {
		r.budget, r.hasBudget = f.budget.at(target, results)
	}
	var err error
	switch {
	case f.target != nil:
		r.fromTarget(target)
	case f.curve != nil:
		err = r.fromCurve(target, results)
	case f.trial != nil:
		r.fromTrial(target, results)
	default:
		r.source, r.command = "nothing measures it", "no command"
	}
	return r, err
}

func (r *computedFigure) fromTarget(target *Target) {
	r.estimate = Estimate{Basis: Fitted, Value: r.target.value(target)}
	r.limit = Limit{Basis: Fitted, Never: r.estimate.Value <= r.budget}
	r.source, r.command = r.target.source, "target.toml"
}

func (r *computedFigure) fromCurve(target *Target, results *capacity.Results) error {
	use := r.curve
	r.command = "`spanflow-lab capacity measure " + use.ref.role + "`"
	curve := curveOf(results, use.ref)
	if curve == nil {
		r.source = "no curve (" + use.ref.quantity + ")"
		return nil
	}
	curve, unit := converted(curve)
	if unit != use.unit {
		return fmt.Errorf("%s, %s: the curve (%s, %s) is in %q, not in %q", r.role, r.name, use.ref.role, use.ref.quantity, curve.Unit, use.unit)
	}
	r.source = describe(curve, unit)
	if use.size == nil {
		r.estimate, r.limit = Estimate{Basis: NoSize}, Limit{Basis: NoSize}
		return nil
	}
	size, factor := use.size(target), 1.0
	if use.factor != nil {
		factor = use.factor(target)
	}
	r.estimate = ValueAt(curve, size)
	r.estimate.Value *= factor
	if r.hasBudget {
		r.limit = ExceededAt(curve, r.budget/factor, size)
		r.fraction = r.limit.Size / size
	}
	r.source += "; at " + use.sizeName + " (" + digits(size) + ")"
	if use.factor != nil {
		r.source += ", × " + use.factorName
	}
	return nil
}

// describe returns a text about the fitted line of a curve, or about its growth if it is not linear.
func describe(curve *capacity.Curve, unit Unit) string {
	fit := curve.Fit
	slope := unit.Format(fit.Slope) + " each of " + curve.SizeUnit
	switch fit.Shape {
	case capacity.Flat:
		return "flat, " + unit.Format(mean(curve.Points))
	case capacity.Linear:
		return fmt.Sprintf("%s, and %s at none", slope, unit.Format(fit.Intercept))
	case capacity.Bends:
		return fmt.Sprintf("%s, and %s at none, up to %s", slope, unit.Format(fit.Intercept), digits(fit.BendAt))
	}
	if fit.Power != 0 {
		return "not straight: grows with the power " + digits(rounded(fit.Power)) + " of the size"
	}
	return "not straight"
}

func (r *computedFigure) fromTrial(target *Target, results *capacity.Results) {
	r.command = "`spanflow-lab capacity hollow " + scenarioArgument[r.trial.scenario] + "`"
	trials := r.trial.matching(results)
	if len(trials) == 0 {
		r.source = r.trial.missingTrial()
		return
	}
	largest := slices.MaxFunc(trials, func(a, b *capacity.FleetTrial) int {
		return cmp.Or(cmp.Compare(r.trial.coverage(target, a).min, r.trial.coverage(target, b).min), cmp.Compare(a.Forwarders, b.Forwarders))
	})
	r.source = fmt.Sprintf("%s; trial (%s) of %s forwarders with %s destinations", r.trial.source, r.trial.scenario,
		digits(float64(largest.Forwarders)), digits(float64(largest.Destinations)))
	r.estimate = Estimate{Basis: NotExtrapolated, Value: r.trial.value(target, largest)}
	if r.trial.coverage(target, largest).min >= 1 {
		r.estimate.Basis = Measured
	}
	if r.hasBudget {
		r.limit = r.trial.exceededAt(target, trials, r.budget)
		r.fraction = r.limit.Size
	}
}

// exceededAt returns the smallest share of the target size at which a trial exceeded a budget, and the largest share
// below it at which a trial kept the budget.
func (u *trialUse) exceededAt(target *Target, trials []*capacity.FleetTrial, budget float64) Limit {
	limit, kept := Limit{Basis: NotExtrapolated}, 0.0
	for _, trial := range trials {
		if share := u.coverage(target, trial).max; u.value(target, trial) > budget && (limit.Size == 0 || share < limit.Size) {
			limit = Limit{Basis: Measured, Size: share}
		}
	}
	for _, trial := range trials {
		share := u.coverage(target, trial).min
		if u.value(target, trial) <= budget && (limit.Size == 0 || share < limit.Size) {
			kept = math.Max(kept, share)
		}
	}
	if limit.Size == 0 && kept >= 1 {
		return Limit{Basis: Measured, Never: true}
	}
	if limit.Size > 0 {
		limit.LargestWithin = kept
	}
	return limit
}

// missingTrial describes the trial that is missing from the results.
func (u *trialUse) missingTrial() string {
	if u.accept != nil {
		return "no trial (" + u.scenario + ") in which all had it"
	}
	return "no trial (" + u.scenario + ")"
}

// matching returns the trials of the scenario that accept selects.
func (u *trialUse) matching(results *capacity.Results) []*capacity.FleetTrial {
	var trials []*capacity.FleetTrial
	for i := range results.Fleets {
		trial := &results.Fleets[i]
		if trial.Scenario == u.scenario && (u.accept == nil || u.accept(trial)) {
			trials = append(trials, trial)
		}
	}
	return trials
}

// valueCell returns the cell with the value at the target size.
func (r *computedFigure) valueCell() string {
	value := r.unit.Format(r.estimate.Value)
	switch r.estimate.Basis {
	case NotMeasured:
		return "not measured"
	case NoSize:
		return "no number is stated"
	case NotExtrapolated:
		if r.trial != nil {
			return value + " in the trial; not extrapolated"
		}
		return "not extrapolated" + r.exceededNote()
	case Extrapolated:
		return fmt.Sprintf("%s (extrapolated to %s times the largest measured size)", value, digits(r.estimate.Beyond))
	case Measured:
		return value + " (measured)"
	case Interpolated:
		return value + " (between two measured sizes)"
	}
	return value
}

// exceededNote states where a curve that is not extrapolated exceeds its budget, if that is known.
func (r *computedFigure) exceededNote() string {
	switch {
	case !r.hasBudget || r.limit.Never:
		return ""
	case r.limit.Basis == Measured:
		return "; the budget is " + r.exceededAtMeasured()
	case r.limit.Basis == Fitted:
		return "; the budget is left at " + digits(r.limit.Size)
	}
	return ""
}

// exceededAtMeasured names the two measured sizes between which a curve that is not linear exceeds its budget.
func (r *computedFigure) exceededAtMeasured() string {
	left := "left at the measured size " + digits(r.limit.Size)
	if r.limit.LargestWithin == 0 {
		return left
	}
	return "kept at " + digits(r.limit.LargestWithin) + ", " + left
}

// budgetCell returns the cell with the budget.
func (r *computedFigure) budgetCell() string {
	switch {
	case r.figure.budget == nil:
		return "none stated"
	case !r.hasBudget:
		return r.figure.budget.name + ": not measured"
	}
	return r.unit.Format(r.budget) + ", " + r.figure.budget.name
}

func (r *computedFigure) implementedByCell() string {
	if r.implementedBy == "" {
		return missing
	}
	return r.implementedBy
}

// exceededCell returns the cell that states where a budget is exceeded.
func (r *computedFigure) exceededCell() string {
	switch {
	case r.limit.Basis == NotMeasured:
		return "not measured"
	case r.limit.Basis == NoSize:
		return "no number is stated"
	case r.limit.Basis == NotExtrapolated && r.trial != nil:
		return "kept in the trials; not extrapolated"
	case r.limit.Basis == NotExtrapolated:
		return "kept at the measured sizes; not extrapolated"
	case r.limit.Never:
		return "kept"
	case r.target != nil:
		return "left by the letter's own figures"
	case r.trial != nil:
		if r.limit.LargestWithin > 0 {
			return "at the latest " + percent(r.fraction) + ": kept in a trial of " + percent(r.limit.LargestWithin) + ", left in one of that size"
		}
		return "at the latest " + percent(r.fraction) + ", left in a trial of that size"
	case r.limit.Size == 0:
		return "at any size"
	case r.limit.Basis == Measured:
		return "at the latest " + percent(r.fraction) + ": " + r.exceededAtMeasured()
	}
	return fmt.Sprintf("%s, at %s", percent(r.fraction), digits(r.limit.Size))
}
