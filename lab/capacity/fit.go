package capacity

import (
	"errors"
	"fmt"
	"math"
)

const (
	// leastPoints is the number of sizes under which no shape is given.
	leastPoints = 4
	// leastSpan is the ratio of the largest size to the smallest under which no shape is given.
	leastSpan = 10.0
	// prefixPoints is the number of sizes that the part before a bend has at least.
	prefixPoints = 3
	// straight is the residual (root mean square of the relative errors) up to which a line fits.
	straight = 0.10
	// farOff is the relative error of a single point from which a line does not fit it.
	farOff = 0.25
	// straightPart is the residual up to which a line fits the part before a bend: its few points fit a line too
	// easily.
	straightPart = straight / 2
	// zeroFraction is the share of the largest value that stands for smaller values where errors are weighed, so that
	// a value of zero does not outweigh all others.
	zeroFraction = 1e-4
)

// ErrNotLinear says that a curve says nothing beyond its points.
var ErrNotLinear = errors.New("the curve is not straight")

// FitLine fits a straight line to the points, which are in order of size, by least squares of the relative errors, so
// that small sizes count as much as large ones. A line that fits only the points up to some size is a curve that
// bends there; with fewer than four points, or with sizes less than ten times apart, the curve counts as not straight.
func FitLine(points []Point) Fit {
	fit := shapeOf(points)
	fit.Power = power(points)
	return fit
}

func shapeOf(points []Point) Fit {
	fit := bestLine(points)
	if len(points) < leastPoints || points[len(points)-1].Size < leastSpan*points[0].Size {
		fit.Shape = NotLinear
		return fit
	}
	if fit.Shape != NotLinear {
		return fit
	}
	for n := len(points) - 1; n >= prefixPoints; n-- {
		if part := bestLine(points[:n]); part.Shape != NotLinear && part.Residual <= straightPart {
			part.Shape, part.BendAt = Bends, points[n-1].Size
			return part
		}
	}
	return fit
}

// At is the curve's value at a size by its line. It is an error to ask for a size that the line is not known to hold
// for: any of a curve that is not straight, or one beyond a bend.
func (c *Curve) At(size float64) (float64, error) {
	switch {
	case c.Fit.Shape == NotLinear:
		return 0, fmt.Errorf("%s, %s: %w", c.Role, c.Quantity, ErrNotLinear)
	case c.Fit.Shape == Bends && size > c.Fit.BendAt:
		return 0, fmt.Errorf("%s, %s: %w beyond %g %s", c.Role, c.Quantity, ErrNotLinear, c.Fit.BendAt, c.SizeUnit)
	}
	return c.Fit.Intercept + c.Fit.Slope*size, nil
}

// Interpolate is the curve's value at a size between measured ones, drawn straight from the one below to the one above,
// whatever the curve's shape. It is an error to ask for a size that is smaller or larger than all that were measured.
func (c *Curve) Interpolate(size float64) (float64, error) {
	for i := 1; i < len(c.Points); i++ {
		if a, b := c.Points[i-1], c.Points[i]; size >= a.Size && size <= b.Size && a.Size < b.Size {
			return a.Value + (b.Value-a.Value)*(size-a.Size)/(b.Size-a.Size), nil
		}
	}
	return 0, fmt.Errorf("%s, %s: %g %s are not between measured sizes", c.Role, c.Quantity, size, c.SizeUnit)
}

// bestLine is a level line if that fits all points, else the best sloping one. Its shape is NotStraight if neither
// fits.
func bestLine(points []Point) Fit {
	if len(points) == 0 {
		return Fit{Shape: NotLinear}
	}
	level := Fit{Shape: Flat, Intercept: levelLine(points)}
	if level.holds(points) {
		return level
	}
	fit := Fit{Shape: Linear}
	fit.Intercept, fit.Slope = slopingLine(points)
	if !fit.holds(points) {
		fit.Shape = NotLinear
	}
	return fit
}

// holds computes the line's residual and tells whether the line fits all points.
func (f *Fit) holds(points []Point) bool {
	sum, most := 0.0, 0.0
	weights := weights(points)
	for i, p := range points {
		off := math.Abs(f.Intercept+f.Slope*p.Size-p.Value) * weights[i]
		sum += off * off
		most = math.Max(most, off)
	}
	f.Residual = math.Sqrt(sum / float64(len(points)))
	return f.Residual <= straight && most <= farOff
}

// weights are what turns each point's error into a relative one.
func weights(points []Point) []float64 {
	most := 0.0
	for _, p := range points {
		most = math.Max(most, math.Abs(p.Value))
	}
	all := make([]float64, len(points))
	for i, p := range points {
		if all[i] = 1; most > 0 {
			all[i] = 1 / math.Max(math.Abs(p.Value), zeroFraction*most)
		}
	}
	return all
}

// power is the slope of the line through the logarithms of sizes and values, 0 if one is not over 0. It says by how
// much a curve that is not straight grows; a little over 1 may be the machine's caches.
func power(points []Point) float64 {
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

// levelLine is the value from which the points' relative errors are least.
func levelLine(points []Point) float64 {
	above, below := 0.0, 0.0
	for i, w := range weights(points) {
		above += w * w * points[i].Value
		below += w * w
	}
	return above / below
}

// slopingLine solves the two normal equations of the weighted least squares.
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
	if spread <= 0 { // all points have one size
		return swy / sw, 0
	}
	slope = (sw*swxy - swx*swy) / spread
	return (swy - slope*swx) / sw, slope
}
