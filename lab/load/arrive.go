// Package load makes open-loop load: when messages arrive is drawn beforehand and waits for nobody. A forwarder that
// stalls is charged for every arrival that it did not serve.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Point is a rate at a moment; between two points the rate goes in a straight line.
type Point struct{ At, Rate float64 }

// Shape is a rate over time. Before the first point and after the last it stays as there.
type Shape []Point

// Rate is the rate at a moment.
func (s Shape) Rate(at float64) float64 {
	if len(s) == 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(s, at, func(p Point, at float64) int {
		if p.At <= at {
			return -1
		}
		return 1
	})
	switch i {
	case 0:
		return s[0].Rate
	case len(s):
		return s[len(s)-1].Rate
	}
	a, b := s[i-1], s[i]
	if b.At == a.At {
		return b.Rate
	}
	return a.Rate + (b.Rate-a.Rate)*(at-a.At)/(b.At-a.At)
}

// Check names what is wrong with a shape.
func (s Shape) Check() error {
	for i, p := range s {
		switch {
		case !(p.Rate >= 0) || math.IsInf(p.Rate, 0) || !(p.At >= 0) || math.IsInf(p.At, 0):
			return fmt.Errorf("point %d: %v at %v is not a rate at a time", i, p.Rate, p.At)
		case i > 0 && p.At < s[i-1].At:
			return fmt.Errorf("point %d comes before the one in front of it", i)
		}
	}
	return nil
}

// Arrivals are moments drawn from a shape.
type Arrivals struct {
	shape  Shape
	random *rand.Rand // nil: evenly
	at     float64
	end    float64
}

// Even makes arrivals at even distances, Poisson ones at random.
func Even(s Shape, end float64) *Arrivals { return &Arrivals{shape: s, end: end} }

// Poisson makes arrivals at random.
func Poisson(s Shape, end float64, random *rand.Rand) *Arrivals {
	return &Arrivals{shape: s, end: end, random: random}
}

// Forwarder begins at a moment other than 0.
func (a *Arrivals) StartAt(at float64) { a.at = at }

// Next is the next moment, false after the end. It is exact: the area under the shape up to it is drawn, not stepped.
func (a *Arrivals) Next() (float64, bool) {
	area := 1.0
	if a.random != nil {
		area = a.random.ExpFloat64()
	}
	for a.at < a.end {
		next := a.end
		for _, p := range a.shape { // shapes have few points
			if p.At > a.at {
				next = math.Min(next, p.At)
				break
			}
		}
		r0, r1 := a.shape.Rate(a.at), a.shape.before(next)
		width := next - a.at
		if whole := (r0 + r1) / 2 * width; whole < area {
			area -= whole
			a.at = next
			continue
		}
		slope := (r1 - r0) / width
		x := area / math.Max(r0, 1e-300)
		if math.Abs(slope) > 1e-12 { // r0 x + slope x²/2 = area
			x = 2 * area / (r0 + math.Sqrt(math.Max(0, r0*r0+2*slope*area)))
		}
		a.at += math.Min(x, width)
		return a.at, a.at < a.end
	}
	return a.end, false
}

// before is the rate just before a moment, where a step may stand at it.
func (s Shape) before(at float64) float64 {
	for i, p := range s {
		if p.At == at {
			return p.Rate // of the first point at that moment
		}
		if p.At > at {
			if i == 0 {
				return p.Rate
			}
			break
		}
	}
	return s.Rate(at)
}

// Picker picks one of many by weights, heavy-tailed if wanted, with a binary search.
type Picker struct{ sums []float64 }

// Zipf weighs the i-th of n as 1/(i+1)^s; s of 0 weighs all alike.
func Zipf(n int, s float64) Picker {
	w := make([]float64, n)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
	}
	return Weighted(w)
}

// Weighted picks by given weights.
func Weighted(w []float64) Picker {
	p := Picker{make([]float64, len(w))}
	sum := 0.0
	for i, x := range w {
		sum += x
		p.sums[i] = sum
	}
	return p
}

// Weights are those of each number, summing up to one.
func (p Picker) Weights() []float64 {
	w, before := make([]float64, len(p.sums)), 0.0
	for i, s := range p.sums {
		w[i], before = (s-before)/p.sums[len(p.sums)-1], s
	}
	return w
}

// Pick draws a number below n.
func (p Picker) Pick(random *rand.Rand) int {
	x := random.Float64() * p.sums[len(p.sums)-1]
	i, found := slices.BinarySearch(p.sums, x)
	if found {
		i++
	}
	return min(i, len(p.sums)-1)
}
