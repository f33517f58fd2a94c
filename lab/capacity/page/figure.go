package page

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"spanflow/lab/capacity"
)

// figure is one line of a role's table: a quantity at the target size. At most one of given, curve and trial says what
// it is worked out from; with none of them nothing measures it.
type figure struct {
	what      string
	unit      Unit
	given     *given
	curve     *curveUse
	trial     *trialUse
	budget    *budget
	carriedBy string // packages; empty: nothing carries it yet
}

// given is worked out from the target alone.
type given struct {
	value func(*Target) float64
	from  string
}

// curveUse is a curve at the target size, times a factor.
type curveUse struct {
	ref     curveRef
	unit    Unit                  // of the curve; the factor makes the figure's unit of it
	size    func(*Target) float64 // nil: the target states none
	sizeIs  string
	times   func(*Target) float64 // nil: once
	timesIs string
}

// trialUse is a figure of the largest trial of a scenario.
type trialUse struct {
	scenario string
	value    func(*Target, *capacity.FleetTrial) float64
	from     string
	reached  func(*Target, *capacity.FleetTrial) reach
	counts   func(*capacity.FleetTrial) bool // which trials count; nil: all
}

// nobodyMissed counts trials in which every forwarder had what it should have. What others cost says nothing.
func nobodyMissed(trial *capacity.FleetTrial) bool { return trial.Missed == 0 }

// reach is how far a trial went towards the target size, as shares of it. With forwarders and destinations at the same
// share, a budget that a trial kept is kept at the least of its shares, and one that it exceeded is exceeded at the
// most of them.
type reach struct{ least, most float64 }

// destinationsReached is the reach for figures of one forwarder, which do not depend on how many there are.
func destinationsReached(t *Target, trial *capacity.FleetTrial) reach {
	share := float64(trial.Destinations) / t.Load.Destinations
	return reach{share, share}
}

// fleetReached is the reach for figures of a whole fleet.
func fleetReached(t *Target, trial *capacity.FleetTrial) reach {
	forwarders, destinations := float64(trial.Forwarders)/t.Fleet.Forwarders, float64(trial.Destinations)/t.Load.Destinations
	return reach{math.Min(forwarders, destinations), math.Max(forwarders, destinations)}
}

// budget is what a figure may come to.
type budget struct {
	name  string
	value func(*Target) float64
	curve *curveUse // in place of value: the budget was measured beside what it bounds
}

// missing stands where nothing carries a figure.
const missing = "**missing**"

// computedFigure is a figure worked out for a target and results.
type computedFigure struct {
	*figure
	role     string
	estimate Estimate
	limit    Limit
	fraction float64 // of the target size at which the budget is exceeded, if limit has one
	from     string
	command  string
	budget   float64
	budgeted bool
}

// at is the budget for a target, if it is known.
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

// compute works a figure out.
func (f *figure) compute(role string, target *Target, results *capacity.Results) (computedFigure, error) {
	r := computedFigure{figure: f, role: role}
	if f.budget != nil {
		r.budget, r.budgeted = f.budget.at(target, results)
	}
	var err error
	switch {
	case f.given != nil:
		r.fromTarget(target)
	case f.curve != nil:
		err = r.fromCurve(target, results)
	case f.trial != nil:
		r.fromTrial(target, results)
	default:
		r.from, r.command = "nothing measures it", "no command"
	}
	return r, err
}

func (r *computedFigure) fromTarget(target *Target) {
	r.estimate = Estimate{Basis: Fitted, Value: r.given.value(target)}
	r.limit = Limit{Basis: Fitted, Never: r.estimate.Value <= r.budget}
	r.from, r.command = r.given.from, "target.toml"
}

func (r *computedFigure) fromCurve(target *Target, results *capacity.Results) error {
	use := r.curve
	r.command = "`spanflow-lab capacity measure " + use.ref.role + "`"
	curve := curveOf(results, use.ref)
	if curve == nil {
		r.from = "no curve (" + use.ref.quantity + ")"
		return nil
	}
	curve, unit := converted(curve)
	if unit != use.unit {
		return fmt.Errorf("%s, %s: the curve (%s, %s) is in %q, not in %q", r.role, r.what, use.ref.role, use.ref.quantity, curve.Unit, use.unit)
	}
	r.from = describe(curve, unit)
	if use.size == nil {
		r.estimate, r.limit = Estimate{Basis: NoSize}, Limit{Basis: NoSize}
		return nil
	}
	size, times := use.size(target), 1.0
	if use.times != nil {
		times = use.times(target)
	}
	r.estimate = ValueAt(curve, size)
	r.estimate.Value *= times
	if r.budgeted {
		r.limit = ExceededAt(curve, r.budget/times, size)
		r.fraction = r.limit.Size / size
	}
	r.from += "; at " + use.sizeIs + " (" + digits(size) + ")"
	if use.times != nil {
		r.from += ", × " + use.timesIs
	}
	return nil
}

// describe says what a curve's value is worked out from.
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
	r.command = "`spanflow-lab capacity hollow " + hollowArgument[r.trial.scenario] + "`"
	trials := r.trial.of(results)
	if len(trials) == 0 {
		r.from = r.trial.none()
		return
	}
	largest := slices.MaxFunc(trials, func(a, b *capacity.FleetTrial) int {
		return cmp.Or(cmp.Compare(r.trial.reached(target, a).least, r.trial.reached(target, b).least), cmp.Compare(a.Forwarders, b.Forwarders))
	})
	r.from = fmt.Sprintf("%s; trial (%s) of %s forwarders with %s destinations", r.trial.from, r.trial.scenario,
		digits(float64(largest.Forwarders)), digits(float64(largest.Destinations)))
	r.estimate = Estimate{Basis: NotExtrapolated, Value: r.trial.value(target, largest)}
	if r.trial.reached(target, largest).least >= 1 {
		r.estimate.Basis = Measured
	}
	if r.budgeted {
		r.limit = r.trial.leavesAt(target, trials, r.budget)
		r.fraction = r.limit.Size
	}
}

// leavesAt is at which share of the target size trials exceed a budget: the smallest that did, and the largest below
// it that did not.
func (u *trialUse) leavesAt(target *Target, trials []*capacity.FleetTrial, budget float64) Limit {
	limit, kept := Limit{Basis: NotExtrapolated}, 0.0
	for _, trial := range trials {
		if most := u.reached(target, trial).most; u.value(target, trial) > budget && (limit.Size == 0 || most < limit.Size) {
			limit = Limit{Basis: Measured, Size: most}
		}
	}
	for _, trial := range trials {
		least := u.reached(target, trial).least
		if u.value(target, trial) <= budget && (limit.Size == 0 || least < limit.Size) {
			kept = math.Max(kept, least)
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

// none says which trial there is none of.
func (u *trialUse) none() string {
	if u.counts != nil {
		return "no trial (" + u.scenario + ") in which all had it"
	}
	return "no trial (" + u.scenario + ")"
}

// of are the trials that count.
func (u *trialUse) of(results *capacity.Results) []*capacity.FleetTrial {
	var trials []*capacity.FleetTrial
	for i := range results.Fleets {
		trial := &results.Fleets[i]
		if trial.Scenario == u.scenario && (u.counts == nil || u.counts(trial)) {
			trials = append(trials, trial)
		}
	}
	return trials
}

// atSize is the cell with the value at the target size.
func (r *computedFigure) atSize() string {
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
		return "not extrapolated" + r.leftBefore()
	case Extrapolated:
		return fmt.Sprintf("%s (extrapolated to %s times the largest measured size)", value, digits(r.estimate.Beyond))
	case Measured:
		return value + " (measured)"
	case Interpolated:
		return value + " (between two measured sizes)"
	}
	return value
}

// leftBefore says of a curve that is not extrapolated where it exceeds its budget, if that is known.
func (r *computedFigure) leftBefore() string {
	switch {
	case !r.budgeted || r.limit.Never:
		return ""
	case r.limit.Basis == Measured:
		return "; the budget is " + r.leftAtMeasured()
	case r.limit.Basis == Fitted:
		return "; the budget is left at " + digits(r.limit.Size)
	}
	return ""
}

// leftAtMeasured says between which measured sizes a curve that is not straight exceeds its budget.
func (r *computedFigure) leftAtMeasured() string {
	left := "left at the measured size " + digits(r.limit.Size)
	if r.limit.LargestWithin == 0 {
		return left
	}
	return "kept at " + digits(r.limit.LargestWithin) + ", " + left
}

// allowed is the cell with the budget.
func (r *computedFigure) allowed() string {
	switch {
	case r.figure.budget == nil:
		return "none stated"
	case !r.budgeted:
		return r.figure.budget.name + ": not measured"
	}
	return r.unit.Format(r.budget) + ", " + r.figure.budget.name
}

func (r *computedFigure) carrier() string {
	if r.carriedBy == "" {
		return missing
	}
	return r.carriedBy
}

// leaves is the cell that says where a budget is exceeded.
func (r *computedFigure) leaves() string {
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
	case r.given != nil:
		return "left by the letter's own figures"
	case r.trial != nil:
		if r.limit.LargestWithin > 0 {
			return "at the latest " + percent(r.fraction) + ": kept in a trial of " + percent(r.limit.LargestWithin) + ", left in one of that size"
		}
		return "at the latest " + percent(r.fraction) + ", left in a trial of that size"
	case r.limit.Size == 0:
		return "at any size"
	case r.limit.Basis == Measured:
		return "at the latest " + percent(r.fraction) + ": " + r.leftAtMeasured()
	}
	return fmt.Sprintf("%s, at %s", percent(r.fraction), digits(r.limit.Size))
}
