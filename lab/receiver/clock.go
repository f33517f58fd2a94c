package receiver

// Clock is the time of a model, in seconds. On a simulated clock After's functions run in order of time; on a real one
// all of the model's calls have to be made under one lock, which After takes.
type Clock interface {
	// Now is the present moment.
	Now() float64
	// After runs a function after so many seconds.
	After(seconds float64, do func())
}
