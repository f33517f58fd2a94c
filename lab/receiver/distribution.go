package receiver

import (
	"math"
	"math/rand/v2"
)

// Distribution is a distribution of service times.
type Distribution struct {
	Form  string  // "fixed", "exponential" or "lognormal"
	Mean  float64 // seconds
	Sigma float64 // standard deviation of the logarithm, for "lognormal"
}

// Draw returns a random service time in seconds.
func (d Distribution) Draw(random *rand.Rand) float64 {
	switch d.Form {
	case "exponential":
		return d.Mean * random.ExpFloat64()
	case "lognormal": // a lognormal distribution has the mean exp(mu + sigma²/2)
		return d.Mean * math.Exp(d.Sigma*random.NormFloat64()-d.Sigma*d.Sigma/2)
	}
	return d.Mean
}
