package capacity

import (
	"math"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var sizes = []float64{100, 300, 1000, 3000, 10_000}

// pointsOf returns points of a function at the test's sizes. Each value is increased or decreased by a random fraction
// of at most noise.
func pointsOf(noise float64, value func(x float64) float64) []Point {
	random := rand.New(rand.NewPCG(1, 2))
	var points []Point
	for _, x := range sizes {
		points = append(points, Point{Size: x, Value: value(x) * (1 + noise*(2*random.Float64()-1))})
	}
	return points
}

func TestFitFindsTheShape(t *testing.T) {
	knee := func(x float64) float64 { return 5 + x/100 + 3*math.Max(0, x-1000) }
	for name, c := range map[string]struct {
		points []Point
		want   Shape
	}{
		"flat":                {pointsOf(0, func(float64) float64 { return 7 }), Flat},
		"flat, noise":         {pointsOf(0.1, func(float64) float64 { return 7 }), Flat},
		"zero":                {pointsOf(0, func(float64) float64 { return 0 }), Flat},
		"linear":              {pointsOf(0, func(x float64) float64 { return 2 * x }), Linear},
		"linear from above 0": {pointsOf(0, func(x float64) float64 { return 500 + 2*x }), Linear},
		"linear, noise":       {pointsOf(0.1, func(x float64) float64 { return 50 + 2*x }), Linear},
		"falling":             {pointsOf(0, func(x float64) float64 { return 30_000 - 2*x }), Linear},
		"quadratic":           {pointsOf(0, func(x float64) float64 { return x * x }), NotLinear},
		"quadratic, noise":    {pointsOf(0.1, func(x float64) float64 { return x * x }), NotLinear},
		"root":                {pointsOf(0, math.Sqrt), NotLinear},
		"wild":                {pointsOf(0.9, func(x float64) float64 { return x }), NotLinear},
		"knee":                {pointsOf(0, knee), Bends},
		"flat, then steep":    {pointsOf(0, func(x float64) float64 { return math.Max(1, x/1000) }), Bends},
		"then flat":           {pointsOf(0, func(x float64) float64 { return math.Min(x, 1000) }), Bends},
	} {
		require.Equal(t, c.want, FitLine(c.points).Shape, "%s: %+v", name, FitLine(c.points))
	}
}

func TestFitFindsInterceptSlopeAndResidual(t *testing.T) {
	exact := FitLine(pointsOf(0, func(x float64) float64 { return 500 + 2*x }))
	require.InDelta(t, 500, exact.Intercept, 1e-6)
	require.InDelta(t, 2, exact.Slope, 1e-9)
	require.InDelta(t, 0, exact.Residual, 1e-9)
	noisy := FitLine(pointsOf(0.1, func(x float64) float64 { return 500 + 2*x }))
	require.InDelta(t, 2, noisy.Slope, 0.2)
	require.Greater(t, noisy.Residual, 0.01)
	require.Less(t, noisy.Residual, 0.1)
	flat := FitLine(pointsOf(0, func(float64) float64 { return 7 }))
	require.InDelta(t, 7, flat.Intercept, 1e-9)
	require.Zero(t, flat.Slope)
}

func TestFitFindsTheGrowthPower(t *testing.T) {
	for _, power := range []float64{0, 0.5, 1, 1.3, 2} {
		require.InDelta(t, power, FitLine(pointsOf(0, func(x float64) float64 { return 3 * math.Pow(x, power) })).Power, 1e-9)
	}
	require.InDelta(t, 2, FitLine(pointsOf(0.1, func(x float64) float64 { return x * x })).Power, 0.1)
	require.Zero(t, FitLine(pointsOf(0, func(float64) float64 { return 0 })).Power)
	require.Zero(t, FitLine(nil).Power)
	require.Zero(t, FitLine([]Point{{1, 1}, {1, 2}}).Power)
}

func TestFitFindsTheBend(t *testing.T) {
	fit := FitLine(pointsOf(0, func(x float64) float64 { return 5 + x/100 + 3*math.Max(0, x-1000) }))
	require.Equal(t, 1000.0, fit.BendAt)
	require.InDelta(t, 0.01, fit.Slope, 1e-9)
	require.Zero(t, FitLine(pointsOf(0, func(x float64) float64 { return x })).BendAt)
}

func TestTooFewSizesAreNotLinear(t *testing.T) {
	line := pointsOf(0, func(x float64) float64 { return x })
	require.Equal(t, NotLinear, FitLine(nil).Shape)
	require.Equal(t, NotLinear, FitLine(line[:3]).Shape)
	require.Equal(t, NotLinear, FitLine([]Point{{1, 1}, {2, 2}, {3, 3}, {4, 4}}).Shape)
	require.Equal(t, NotLinear, FitLine([]Point{{1, 1}, {1, 2}, {1, 3}, {1, 4}}).Shape)
}

func TestAtDoesNotExtrapolateBeyondTheLine(t *testing.T) {
	c := Curve{Points: pointsOf(0, func(x float64) float64 { return 500 + 2*x })}
	c.Fit = FitLine(c.Points)
	value, err := c.At(1e6)
	require.NoError(t, err)
	require.InDelta(t, 2_000_500, value, 1)
	c.Points = pointsOf(0, func(x float64) float64 { return 5 + x/100 + 3*math.Max(0, x-1000) })
	c.Fit = FitLine(c.Points)
	value, err = c.At(500)
	require.NoError(t, err)
	require.InDelta(t, 10, value, 1e-6)
	_, err = c.At(2000)
	require.ErrorIs(t, err, ErrNotLinear)
	c.Fit = FitLine(pointsOf(0, func(x float64) float64 { return x * x }))
	_, err = c.At(500)
	require.ErrorIs(t, err, ErrNotLinear)
}

func TestInterpolateWorksForAnyShape(t *testing.T) {
	c := Curve{Points: []Point{{1, 10}, {10, 100}, {100, 10}}}
	for size, want := range map[float64]float64{1: 10, 5.5: 55, 10: 100, 55: 55, 100: 10} {
		value, err := c.Interpolate(size)
		require.NoError(t, err)
		require.InDelta(t, want, value, 1e-9)
	}
	for _, size := range []float64{0.9, 101} {
		_, err := c.Interpolate(size)
		require.Error(t, err)
	}
	_, err := (&Curve{}).Interpolate(1)
	require.Error(t, err)
}

func TestResultsAreMergedByRoleAndQuantity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "capacity", "measured.json")
	require.NoError(t, MergeInto(path, "8 cores", "2026-12-01", []Curve{{Role: "a", Quantity: "x", Unit: "s"}, {Role: "a", Quantity: "y"}}))
	r, err := ReadResults(path)
	require.NoError(t, err)
	r.Fleets = []FleetTrial{{Scenario: "change"}}
	require.NoError(t, r.Write(path))
	require.NoError(t, MergeInto(path, "9 cores", "2026-12-02", []Curve{{Role: "a", Quantity: "x", Unit: "ms"}, {Role: "b", Quantity: "x"}}))
	r, err = ReadResults(path)
	require.NoError(t, err)
	require.Equal(t, "2026-12-02", r.Date)
	require.Len(t, r.Fleets, 1)
	require.Equal(t, []Curve{{Role: "a", Quantity: "x", Unit: "ms"}, {Role: "a", Quantity: "y"}, {Role: "b", Quantity: "x"}}, r.Curves)
}
