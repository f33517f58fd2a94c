package receiver

// Clock is the clock of a model, in seconds. A simulated clock runs the functions passed to After in order of time.
// With a real clock, all methods of the model must be called with one lock held, which After acquires before it runs a
// function.
type Clock interface {
	// Now returns the current time.
	Now() float64
	// After runs a function after the given delay.
	After(seconds float64, do func())
}
