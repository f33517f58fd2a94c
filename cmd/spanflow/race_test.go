//go:build race

package main

import "os"

// Under the race detector the program is built with it too, and ends at the first race, which fails its test.
func init() {
	raceFlag = "-race"
	os.Setenv("GORACE", "halt_on_error=1 atexit_sleep_ms=0")
}
