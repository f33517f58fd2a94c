package load

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Picker draws one of the numbers 0 to n-1 by weight.
type Picker struct{ sums []float64 }

// Zipf returns a picker of 0 to n-1 that gives i the weight 1/(i+1)^s. If s is 0, all weights are equal.
func Zipf(n int, s float64) Picker {
	w := make([]float64, n)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
	}
	return Weighted(w)
}

// Weighted returns a picker with the given weights, whose sum must be greater than 0.
func Weighted(w []float64) Picker {
	p := Picker{make([]float64, len(w))}
	sum := 0.0
	for i, x := range w {
		sum += x
		p.sums[i] = sum
	}
	return p
}

// Weights returns the weights of all numbers, normalized to a sum of 1.
func (p Picker) Weights() []float64 {
	w, before := make([]float64, len(p.sums)), 0.0
	for i, s := range p.sums {
		w[i], before = (s-before)/p.sums[len(p.sums)-1], s
	}
	return w
}

// Pick draws a number with the given generator.
func (p Picker) Pick(random *rand.Rand) int {
	x := random.Float64() * p.sums[len(p.sums)-1]
	i, found := slices.BinarySearch(p.sums, x)
	if found {
		i++
	}
	return min(i, len(p.sums)-1)
}
