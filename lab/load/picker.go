package load

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Picker picks one of many numbers by weight.
type Picker struct{ sums []float64 }

// Zipf weighs the i-th of n as 1/(i+1)^s; s of 0 weighs all alike.
func Zipf(n int, s float64) Picker {
	w := make([]float64, n)
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
	}
	return Weighted(w)
}

// Weighted picks by given weights; their sum is over 0.
func Weighted(w []float64) Picker {
	p := Picker{make([]float64, len(w))}
	sum := 0.0
	for i, x := range w {
		sum += x
		p.sums[i] = sum
	}
	return p
}

// Weights are the weights of all numbers; their sum is one.
func (p Picker) Weights() []float64 {
	w, before := make([]float64, len(p.sums)), 0.0
	for i, s := range p.sums {
		w[i], before = (s-before)/p.sums[len(p.sums)-1], s
	}
	return w
}

// Pick draws a number, from 0 on.
func (p Picker) Pick(random *rand.Rand) int {
	x := random.Float64() * p.sums[len(p.sums)-1]
	i, found := slices.BinarySearch(p.sums, x)
	if found {
		i++
	}
	return min(i, len(p.sums)-1)
}
