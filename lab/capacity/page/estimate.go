package page

import (
	"math"

	"spanflow/lab/capacity"
)

// Basis says how an estimate came about.
type Basis uint8

// The ways in which a value at a size is known.
const (
	NotMeasured     Basis = iota // there is no curve
	NoSize                       // the target states no size to read the curve at
	NotExtrapolated              // the curve is not straight and was not measured at the size
	Measured                     // at this very size
	Interpolated                 // between two measured sizes
	Fitted                       // by the straight line, within the measured sizes
	Extrapolated                 // by the straight line, beyond the largest measured size
)

// Estimate is what a curve says of a size.
type Estimate struct {
	Basis  Basis
	Value  float64 // in the curve's unit
	Beyond float64 // Extrapolated: the size over the largest measured size
}

// ValueAt is what a curve, nil if there is none, says of a size.
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
	case straightUpTo(curve) >= size:
		return fitted(line(curve, size), size, largest)
	case size <= largest && size >= curve.Points[0].Size:
		return Estimate{Basis: Interpolated, Value: between(curve.Points, size)}
	}
	return Estimate{Basis: NotExtrapolated}
}

func fitted(value, size, largest float64) Estimate {
	if size > largest {
		return Estimate{Basis: Extrapolated, Value: value, Beyond: size / largest}
	}
	return Estimate{Basis: Fitted, Value: value}
}

// Limit says where a budget is exceeded.
type Limit struct {
	Basis         Basis   // NotMeasured, NotExtrapolated: not known; Measured: at a measured size; else by the line
	Never         bool    // the budget is kept at every size up to the one that was asked for
	Size          float64 // from which on the budget is exceeded; with Measured the first measured size at which it is
	LargestWithin float64 // with Measured: the largest measured size below it, where the budget is kept; 0: none
}

// ExceededAt returns at which size a curve, nil if there is none, exceeds a budget, looking up to a size.
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
	straight := straightUpTo(curve)
	if straight > 0 {
		if size := crossing(curve, budget); size <= math.Min(straight, upTo) {
			return Limit{Basis: Fitted, Size: size}
		}
		if straight >= upTo {
			return Limit{Basis: Fitted, Never: true}
		}
	}
	kept := straight
	for _, point := range curve.Points {
		if point.Size <= straight || point.Size > upTo {
			continue
		}
		if point.Value > budget {
			return Limit{Basis: Measured, Size: point.Size, LargestWithin: kept}
		}
		kept = point.Size
	}
	if at := ValueAt(curve, upTo); at.Basis != NotExtrapolated {
		return Limit{Basis: at.Basis, Never: at.Value <= budget, Size: upTo}
	}
	return Limit{Basis: NotExtrapolated}
}

// straightUpTo is the size up to which the line of a curve holds.
func straightUpTo(curve *capacity.Curve) float64 {
	switch curve.Fit.Shape {
	case capacity.Linear:
		return math.Inf(1)
	case capacity.Bends:
		return curve.Fit.BendAt
	}
	return 0
}

// crossing is the size at which the line of a curve passes a value; infinite if it never does, 0 if it begins beyond.
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

// between is the value on the straight line between the two measured sizes around a size.
func between(points []capacity.Point, size float64) float64 {
	for i := 1; i < len(points); i++ {
		low, high := points[i-1], points[i]
		if size <= high.Size {
			return low.Value + (high.Value-low.Value)*(size-low.Size)/(high.Size-low.Size)
		}
	}
	return points[len(points)-1].Value
}
