//go:build race

package main

import "os"

// If the tests run with the race detector, the program is built with it too. It exits at the first race, which fails
// the test that started it.
func init() {
	raceFlag = "-race"
	os.Setenv("GORACE", "halt_on_error=1 atexit_sleep_ms=0")
}
