package page

import (
	"math"

	"spanflow/lab/capacity"
)

// Basis states how a value at a size was obtained.
type Basis uint8

// The bases of estimates and limits.
const (
	NotMeasured     Basis = iota // there is no curve
	NoSize                       // the target does not state the size
	NotExtrapolated              // the size is outside the range in which the curve is known
	Measured                     // at exactly this size
	Interpolated                 // between two measured sizes
	Fitted                       // by the fitted line, within the measured sizes
	Extrapolated                 // by the fitted line, beyond the largest measured size
)

// Estimate is the value of a curve at a size.
type Estimate struct {
	Basis  Basis
	Value  float64 // in the curve's unit
	Beyond float64 // ratio of the size to the largest measured size; only set if Basis is Extrapolated
}

// ValueAt estimates the value of a curve at a size. curve is nil if it was not measured.
func ValueAt(curve *capacity.Curve, size float64) Estimate {
	if curve == nil {
		return Estimate{}
	}
	if point, ok := measuredAt(curve, size); ok && curve.Fit.Shape != capacity.Flat {
		return Estimate{Basis: Measured, Value: point.Value}
	}
	largest := curve.Points[len(curve.Points)-1].Size
	switch {
	case curve.Fit.Shape == capacity.Flat:
		return fitted(mean(curve.Points), size, largest)
	case linearUpTo(curve) >= size:
		return fitted(line(curve, size), size, largest)
	case size <= largest && size >= curve.Points[0].Size:
		return Estimate{Basis: Interpolated, Value: interpolate(curve.Points, size)}
	}
	return Estimate{Basis: NotExtrapolated}
}

func fitted(value, size, largest float64) Estimate {
	if size > largest {
		return Estimate{Basis: Extrapolated, Value: value, Beyond: size / largest}
	}
	return Estimate{Basis: Fitted, Value: value}
}

// Limit is the smallest known size at which a budget is exceeded.
type Limit struct {
	Basis         Basis   // how Size was obtained; NotMeasured, NoSize and NotExtrapolated mean that it is not known
	Never         bool    // the budget is kept at every size up to the requested one
	Size          float64 // where the budget is first exceeded; if Basis is Measured, the smallest measured size that exceeds it
	LargestWithin float64 // largest known size below Size that keeps the budget, if Basis is Measured; 0 means none
}

// ExceededAt returns the smallest size up to upTo at which a curve exceeds a budget. curve is nil if it was not
// measured.
func ExceededAt(curve *capacity.Curve, budget, upTo float64) Limit {
	if curve == nil {
		return Limit{}
	}
	if curve.Fit.Shape == capacity.Flat {
		if mean(curve.Points) > budget {
			return Limit{Basis: Fitted}
		}
		return Limit{Basis: Fitted, Never: true}
	}
	linear := linearUpTo(curve)
	if linear > 0 {
		if size := crossing(curve, budget); size <= math.Min(linear, upTo) {
			return Limit{Basis: Fitted, Size: size}
		}
		if linear >= upTo {
			return Limit{Basis: Fitted, Never: true}
		}
	}
	largestWithin := linear
	for _, point := range curve.Points {
		if point.Size <= linear || point.Size > upTo {
			continue
		}
		if point.Value > budget {
			return Limit{Basis: Measured, Size: point.Size, LargestWithin: largestWithin}
		}
		largestWithin = point.Size
	}
	if at := ValueAt(curve, upTo); at.Basis != NotExtrapolated {
		return Limit{Basis: at.Basis, Never: at.Value <= budget, Size: upTo}
	}
	return Limit{Basis: NotExtrapolated}
}

// linearUpTo returns the size up to which a curve follows its fitted line.
func linearUpTo(curve *capacity.Curve) float64 {
	switch curve.Fit.Shape {
	case capacity.Linear:
		return math.Inf(1)
	case capacity.Bends:
		return curve.Fit.BendAt
	}
	return 0
}

// crossing returns the size at which a curve's fitted line reaches a value. It returns infinity if the line never
// does, and 0 if it starts above the value.
func crossing(curve *capacity.Curve, value float64) float64 {
	fit := curve.Fit
	switch {
	case fit.Intercept > value:
		return 0
	case fit.Slope <= 0:
		return math.Inf(1)
	}
	return (value - fit.Intercept) / fit.Slope
}

func line(curve *capacity.Curve, size float64) float64 {
	return curve.Fit.Intercept + curve.Fit.Slope*size
}

func mean(points []capacity.Point) float64 {
	sum := 0.0
	for _, point := range points {
		sum += point.Value
	}
	return sum / float64(len(points))
}

func measuredAt(curve *capacity.Curve, size float64) (capacity.Point, bool) {
	for _, point := range curve.Points {
		if point.Size == size {
			return point, true
		}
	}
	return capacity.Point{}, false
}

// interpolate returns the value at a size, linearly interpolated between the two nearest measured sizes.
func interpolate(points []capacity.Point, size float64) float64 {
	for i := 1; i < len(points); i++ {
		low, high := points[i-1], points[i]
		if size <= high.Size {
			return low.Value + (high.Value-low.Value)*(size-low.Size)/(high.Size-low.Size)
		}
	}
	return points[len(points)-1].Value
}
