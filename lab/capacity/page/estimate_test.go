package page

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/lab/capacity"
)

// linearCurve returns a curve with the intercept 100 and the slope 2, measured up to a size of 1,000.
func linearCurve() *capacity.Curve {
	return &capacity.Curve{Role: "known-destination", Quantity: "memory in the scheduler", SizeUnit: "destinations", Unit: "bytes",
		Points: []capacity.Point{{Size: 10, Value: 120}, {Size: 100, Value: 300}, {Size: 1000, Value: 2100}},
		Fit:    capacity.Fit{Shape: capacity.Linear, Intercept: 100, Slope: 2}}
}

// quadraticCurve returns a curve that grows with the square of the size, measured up to a size of 1,000.
func quadraticCurve(shape capacity.Shape, bendAt float64) *capacity.Curve {
	return &capacity.Curve{Role: "held-message", Quantity: "giving up", SizeUnit: "messages", Unit: "s",
		Points: []capacity.Point{{Size: 10, Value: 1}, {Size: 100, Value: 100}, {Size: 1000, Value: 10_000}},
		Fit:    capacity.Fit{Shape: shape, Intercept: 0, Slope: 0.1, BendAt: bendAt}}
}

func TestLinearCurvesAreExtrapolated(t *testing.T) {
	require.Equal(t, Estimate{Basis: Extrapolated, Value: 20_100, Beyond: 10}, ValueAt(linearCurve(), 10_000))
	require.Equal(t, Estimate{Basis: Fitted, Value: 1100}, ValueAt(linearCurve(), 500))
	require.Equal(t, Estimate{Basis: Measured, Value: 300}, ValueAt(linearCurve(), 100))
}

func TestNonLinearCurvesAreNotExtrapolated(t *testing.T) {
	curve := quadraticCurve(capacity.NotLinear, 0)
	require.Equal(t, Estimate{Basis: NotExtrapolated}, ValueAt(curve, 1001))
	require.Equal(t, Estimate{Basis: NotExtrapolated}, ValueAt(curve, 9))
	require.Equal(t, Estimate{Basis: Measured, Value: 10_000}, ValueAt(curve, 1000))
	require.Equal(t, Estimate{Basis: Interpolated, Value: 5050}, ValueAt(curve, 550))
}

func TestBentCurvesAreNotExtrapolatedBeyondTheBend(t *testing.T) {
	curve := quadraticCurve(capacity.Bends, 100)
	require.Equal(t, Estimate{Basis: Fitted, Value: 5}, ValueAt(curve, 50))
	require.Equal(t, Estimate{Basis: Interpolated, Value: 5050}, ValueAt(curve, 550))
	require.Equal(t, Estimate{Basis: NotExtrapolated}, ValueAt(curve, 2000))
}

func TestFlatCurvesHaveTheirMeanAtAnySize(t *testing.T) {
	curve := linearCurve()
	curve.Points = []capacity.Point{{Size: 10, Value: 9}, {Size: 100, Value: 11}}
	curve.Fit = capacity.Fit{Shape: capacity.Flat, Intercept: 10}
	require.Equal(t, Estimate{Basis: Extrapolated, Value: 10, Beyond: 10}, ValueAt(curve, 1000))
	require.Equal(t, Estimate{Basis: Fitted, Value: 10}, ValueAt(curve, 100))
}

func TestMissingCurvesAreNotMeasured(t *testing.T) {
	require.Equal(t, Estimate{Basis: NotMeasured}, ValueAt(nil, 10))
	require.Equal(t, Limit{Basis: NotMeasured}, ExceededAt(nil, 1, 10))
}

func TestLinearCurveExceedsItsBudgetOnTheLine(t *testing.T) {
	require.Equal(t, Limit{Basis: Fitted, Size: 5000}, ExceededAt(linearCurve(), 10_100, 100_000))
	require.Equal(t, Limit{Basis: Fitted, Never: true}, ExceededAt(linearCurve(), 10_100, 4999))
	require.Equal(t, Limit{Basis: Fitted, Size: 0}, ExceededAt(linearCurve(), 99, 4999), "the intercept exceeds the budget")
	falling := linearCurve()
	falling.Fit.Slope = -0.001
	require.Equal(t, Limit{Basis: Fitted, Never: true}, ExceededAt(falling, 200, 1e9))
}

func TestNonLinearCurveExceedsItsBudgetAtAMeasuredSize(t *testing.T) {
	curve := quadraticCurve(capacity.NotLinear, 0)
	require.Equal(t, Limit{Basis: Measured, Size: 100, LargestWithin: 10}, ExceededAt(curve, 50, 1e6), "first measured size that exceeds the budget")
	require.Equal(t, Limit{Basis: Measured, Size: 10}, ExceededAt(curve, 0.5, 1e6), "exceeded at all measured sizes")
	require.Equal(t, Limit{Basis: NotExtrapolated}, ExceededAt(curve, 20_000, 1e6), "kept at all measured sizes")
	require.Equal(t, Limit{Basis: Measured, Never: true, Size: 1000}, ExceededAt(curve, 20_000, 1000))
	require.Equal(t, Limit{Basis: Interpolated, Size: 550}, ExceededAt(curve, 200, 550), "exceeded between two measured sizes")
	require.Equal(t, Limit{Basis: NotExtrapolated}, ExceededAt(curve, 0.5, 5), "smaller than all measured sizes")
}

func TestBentCurveExceedsItsBudgetOnTheLineOrAtAMeasuredSize(t *testing.T) {
	curve := quadraticCurve(capacity.Bends, 100)
	require.Equal(t, Limit{Basis: Fitted, Size: 50}, ExceededAt(curve, 5, 1e6))
	require.Equal(t, Limit{Basis: Measured, Size: 1000, LargestWithin: 100}, ExceededAt(curve, 150, 1e6))
	require.Equal(t, Limit{Basis: NotExtrapolated}, ExceededAt(curve, 20_000, 1e6))
}

func TestConvertsUnits(t *testing.T) {
	curve := linearCurve()
	curve.Unit = "µs"
	scaled, unit := converted(curve)
	require.Equal(t, Seconds, unit)
	require.InEpsilon(t, 2e-6, scaled.Fit.Slope, 1e-9)
	require.InEpsilon(t, 2100e-6, scaled.Points[2].Value, 1e-9)
	require.Equal(t, 2.0, curve.Fit.Slope, "the given curve must not change")
	curve.Unit = "descriptors"
	_, unit = converted(curve)
	require.Equal(t, Unit("descriptors"), unit)
}

func TestFormatsFiguresToThreeDigits(t *testing.T) {
	for _, c := range []struct {
		unit  Unit
		value float64
		want  string
	}{
		{Bytes, 1017, "1.02 kB"}, {Bytes, 172_890_000, "173 MB"}, {Bytes, 999.9e6, "1 GB"}, {Bytes, 0, "0 bytes"},
		{BytesPerSecond, 28_000, "28 kB a second"},
		{Seconds, 0.0000037, "3.7 µs"}, {Seconds, 0.015, "15 ms"}, {Seconds, 40, "40 s"}, {Seconds, 3600, "1 h"}, {Seconds, 1800, "30 min"},
		{Seconds, 33 * 3600, "33 h"}, {Seconds, 0, "0 s"}, {Seconds, never, "never"},
		{Cores, 0.016, "1.6% of a core"}, {Cores, 1, "1 core"}, {Cores, 19.5, "19.5 cores"},
		{Calls, 543, "543 calls"}, {Count, 170_000, "170,000"}, {Count, 22_750, "22,800"}, {Count, 5950, "5,950"},
		{PerSecond, 0.0064815, "0.00648 a second"}, {PerSecond, 650_000, "650,000 a second"}, {Count, 2.7e9, "2,700,000,000"},
		{Count, 1e-7, "1e-07"}, {Count, -22_750.4, "-22,800"},
	} {
		require.Equal(t, c.want, c.unit.Format(c.value), "%v %s", c.value, c.unit)
	}
	require.Equal(t, "3.5%", percent(0.035))
	require.Equal(t, "0.37%", percent(0.00371))
	require.Equal(t, "0%", percent(0))
	require.Equal(t, "120%", percent(1.2))
	require.Equal(t, "3.7e-05%", percent(3.7e-7))
	require.Equal(t, "0%", percent(4e-16))
	require.False(t, math.Signbit(rounded(0)))
}
