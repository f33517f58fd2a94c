// Package load generates open-loop load: arrival times do not depend on the answers to earlier messages. A stall of the
// forwarder therefore shows in the latency of every message that arrives during it.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Point is a rate per second at a time in seconds. Between two points the rate is interpolated linearly.
type Point struct{ At, Rate float64 }

// Shape is a rate over time. It is constant before the first point and after the last.
type Shape []Point

// Rate returns the rate at a time, or 0 for an empty shape. If two points have the same time, the later one counts.
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

// Check returns an error that describes the first invalid point, or nil if the shape is valid.
func (s Shape) Check() error {
	for i, p := range s {
		switch {
		case !(p.Rate >= 0) || math.IsInf(p.Rate, 0) || !(p.At >= 0) || math.IsInf(p.At, 0):
			return fmt.Errorf("point %d: rate %v at time %v: both must be finite and not negative", i, p.Rate, p.At)
		case i > 0 && p.At < s[i-1].At:
			return fmt.Errorf("point %d is earlier than the previous one", i)
		}
	}
	return nil
}

// Arrivals generates arrival times, in seconds, whose rate follows a shape.
type Arrivals struct {
	shape  Shape
	random *rand.Rand // nil for even intervals
	at     float64
	end    float64
}

// Even returns arrivals at even intervals up to the time end.
func Even(s Shape, end float64) *Arrivals { return &Arrivals{shape: s, end: end} }

// Poisson returns arrivals of a Poisson process up to the time end.
func Poisson(s Shape, end float64, random *rand.Rand) *Arrivals {
	return &Arrivals{shape: s, end: end, random: random}
}

// StartAt sets the time at which arrivals start, instead of 0.
func (a *Arrivals) StartAt(at float64) { a.at = at }

// Next returns the next arrival time, and false after the end. It is exact: it draws the area under the shape between
// two arrivals and solves for the time, without time steps.
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
		r0, r1 := a.shape.Rate(a.at), a.shape.rateBefore(next)
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

// rateBefore returns the rate just before a time, which differs from Rate at a step of the shape.
func (s Shape) rateBefore(at float64) float64 {
	for i, p := range s {
		if p.At == at {
			return p.Rate // the first point at that time
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
