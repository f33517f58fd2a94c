package capacity

import (
	"errors"
	"fmt"
	"math"
)

const (
	// minPoints is the minimum number of sizes for a curve to count as linear.
	minPoints = 4
	// minSizeRatio is the minimum ratio of the largest size to the smallest for a curve to count as linear.
	minSizeRatio = 10.0
	// minPointsBeforeBend is the minimum number of sizes up to and including a bend.
	minPointsBeforeBend = 3
	// maxResidual is the largest residual (root mean square of the relative errors) at which a line fits.
	maxResidual = 0.10
	// maxPointError is the largest relative error of a single point at which a line fits.
	maxPointError = 0.25
	// maxResidualBeforeBend is the largest residual at which a line fits the part before a bend. It is stricter, as a
	// line fits few points too easily.
	maxResidualBeforeBend = maxResidual / 2
	// zeroFraction limits the weights of small values. Values below this share of the largest value are weighted as if
	// they had this share, so that a value of zero does not outweigh all others.
	zeroFraction = 1e-4
)

// ErrNotLinear means that a curve cannot be extrapolated to the requested size.
var ErrNotLinear = errors.New("the curve is not linear")

// FitLine fits a straight line to the points, which must be in order of size, by least squares of the relative errors,
// so that small sizes count as much as large ones. If a line fits only the points up to some size, the curve bends
// there. With fewer than four points, or if the largest size is less than ten times the smallest, the curve counts as
// not linear.
func FitLine(points []Point) Fit {
	fit := shapeOf(points)
	fit.Power = growthPower(points)
	return fit
}

func shapeOf(points []Point) Fit {
	fit := bestLine(points)
	if len(points) < minPoints || points[len(points)-1].Size < minSizeRatio*points[0].Size {
		fit.Shape = NotLinear
		return fit
	}
	if fit.Shape != NotLinear {
		return fit
	}
	for n := len(points) - 1; n >= minPointsBeforeBend; n-- {
		if part := bestLine(points[:n]); part.Shape != NotLinear && part.Residual <= maxResidualBeforeBend {
			part.Shape, part.BendAt = Bends, points[n-1].Size
			return part
		}
	}
	return fit
}

// At returns the value of the fitted line at a size. It returns ErrNotLinear, wrapped, if the curve is not linear or
// the size is beyond its bend.
func (c *Curve) At(size float64) (float64, error) {
	switch {
	case c.Fit.Shape == NotLinear:
		return 0, fmt.Errorf("%s, %s: %w", c.Role, c.Quantity, ErrNotLinear)
	case c.Fit.Shape == Bends && size > c.Fit.BendAt:
		return 0, fmt.Errorf("%s, %s: %w beyond %g %s", c.Role, c.Quantity, ErrNotLinear, c.Fit.BendAt, c.SizeUnit)
	}
	return c.Fit.Intercept + c.Fit.Slope*size, nil
}

// Interpolate returns the curve's value at a size, linearly interpolated between the two nearest measured sizes. It
// works for any shape, and returns an error if the size is outside the measured range.
func (c *Curve) Interpolate(size float64) (float64, error) {
	for i := 1; i < len(c.Points); i++ {
		if a, b := c.Points[i-1], c.Points[i]; size >= a.Size && size <= b.Size && a.Size < b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size), nil
		}
	}
	return 0, fmt.Errorf("%s, %s: %g %s is outside the measured sizes", c.Role, c.Quantity, size, c.SizeUnit)
}

// bestLine returns a horizontal line if that fits all points, otherwise the best sloping line. Its shape is NotLinear
// if neither fits.
func bestLine(points []Point) Fit {
	if len(points) == 0 {
		return Fit{Shape: NotLinear}
	}
	level := Fit{Shape: Flat, Intercept: levelLine(points)}
	if level.fits(points) {
		return level
	}
	fit := Fit{Shape: Linear}
	fit.Intercept, fit.Slope = slopingLine(points)
	if !fit.fits(points) {
		fit.Shape = NotLinear
	}
	return fit
}

// fits sets the line's residual and returns whether the line fits all points.
func (f *Fit) fits(points []Point) bool {
	sum, largest := 0.0, 0.0
	weights := weights(points)
	for i, p := range points {
		relativeError := math.Abs(f.Intercept+f.Slope*p.Size-p.Value) * weights[i]
		sum += relativeError * relativeError
		largest = math.Max(largest, relativeError)
	}
	f.Residual = math.Sqrt(sum / float64(len(points)))
	return f.Residual <= maxResidual && largest <= maxPointError
}

// weights returns the factors that turn each point's absolute error into a relative one.
func weights(points []Point) []float64 {
	largest := 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Value))
	}
	all := make([]float64, len(points))
	for i, p := range points {
		if all[i] = 1; largest > 0 {
			all[i] = 1 / math.Max(math.Abs(p.Value), zeroFraction*largest)
		}
	}
	return all
}

// growthPower returns the exponent with which the value grows, which is the slope of the line fitted to the logarithms
// of sizes and values. It is 0 if any size or value is not positive. A power slightly over 1 may be an effect of the
// machine's caches.
func growthPower(points []Point) float64 {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		if p.Size <= 0 || p.Value <= 0 {
			return 0
		}
		x, y := math.Log(p.Size), math.Log(p.Value)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if spread := n*sxx - sx*sx; spread > 0 {
		return (n*sxy - sx*sy) / spread
	}
	return 0
}

// levelLine returns the constant that minimizes the squares of the points' relative errors.
func levelLine(points []Point) float64 {
	numerator, denominator := 0.0, 0.0
	for i, w := range weights(points) {
		numerator += w * w * points[i].Value
		denominator += w * w
	}
	return numerator / denominator
}

// slopingLine returns the least-squares line of the relative errors, by solving the two normal equations.
func slopingLine(points []Point) (intercept, slope float64) {
	var sw, swx, swy, swxx, swxy float64
	for i, weight := range weights(points) {
		w, x, y := weight*weight, points[i].Size, points[i].Value
		sw += w
		swx += w * x
		swy += w * y
		swxx += w * x * x
		swxy += w * x * y
	}
	spread := sw*swxx - swx*swx
	if spread <= 0 { // all points have the same size
		return swy / sw, 0
	}
	slope = (sw*swxy - swx*swy) / spread
	return (swy - slope*swx) / sw, slope
}
