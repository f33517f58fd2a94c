// Package receiver is the model of outside receivers: their places, queues, limits, returns from an outage and
// troubles. It does no I/O and reads no clock but the one it is given, so that it serves simulated days and real
// sockets alike.
package receiver

import "math/rand/v2"

// SetTime is the time in which a model lives, in seconds. On a simulated one RetryAfter runs in order of time; on a real one
// the model's calls have to be made under one lock, which RetryAfter takes.
type Clock interface {
	Now() float64
	After(in float64, do func())
}

// Distribution is a distribution of service times.
type Distribution struct {
	Form  string  // fixed, exponential, lognormal
	Mean  float64 // seconds
	Sigma float64 // lognormal: standard deviation of the logarithm
}

// Draw takes a time from the distribution.
func (d Distribution) Draw(dice *rand.Rand) float64 {
	switch d.Form {
	case "exponential":
		return d.Mean * dice.ExpFloat64()
	case "lognormal": // its mean is exp(mu + sigma²/2)
		return d.Mean * exp(d.Sigma*dice.NormFloat64()-d.Sigma*d.Sigma/2)
	}
	return d.Mean
}
