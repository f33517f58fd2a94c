// Package load generates open-loop load: when messages arrive is drawn beforehand and depends on no answer. A forwarder
// that stalls is charged for every arrival that it did not serve.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Point is a rate, per second, at a moment in seconds; between two points the rate is interpolated linearly.
type Point struct{ At, Rate float64 }

// Shape is a rate over time. Before the first point and after the last it is constant.
type Shape []Point

// Rate is the rate at a moment; 0 for an empty shape.
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

// Check returns an error that names what is wrong with a shape, nil if it is sound.
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
	random *rand.Rand // nil: at even distances
	at     float64
	end    float64
}

// Even makes arrivals at even distances, up to a moment.
func Even(s Shape, end float64) *Arrivals { return &Arrivals{shape: s, end: end} }

// Poisson makes arrivals at random, up to a moment.
func Poisson(s Shape, end float64, random *rand.Rand) *Arrivals {
	return &Arrivals{shape: s, end: end, random: random}
}

// StartAt begins at a moment other than 0.
func (a *Arrivals) StartAt(at float64) { a.at = at }

// Next is the next moment, false after the end. It is exact: the area under the shape up to it is drawn, and no steps
// of time are taken.
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
		if segment := (r0 + r1) / 2 * width; segment < area {
			area -= segment
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
