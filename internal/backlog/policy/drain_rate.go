package policy

import (
	"time"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	rateWindow    = 10 * time.Second // period over which the rate is measured
)

// drainRate measures the rate at which bytes are loaded from the store.
type drainRate struct {
	since        time.Time // start of the current window
	bytes        int64     // loaded in the current window
	previousRate float64   // bytes per second in the window before it
}

// add records that bytes were loaded from the store.
func (d *drainRate) add(bytes int64, now time.Time) {
	d.roll(now)
	d.bytes += bytes
}

// roll begins a new window if the current one is over.
func (d *drainRate) roll(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	passed := now.Sub(d.since)
	if passed < rateWindow {
		return
	}
	d.previousRate = float64(d.bytes) / passed.Seconds()
	d.since, d.bytes = now, 0
}

// retryAfter estimates how long it takes until there is room for the given number of bytes. The result is at least
// minRetryAfter and at most maxRetryAfter. If nothing is being loaded, it is maxRetryAfter.
func (d *drainRate) retryAfter(bytes int64, now time.Time) time.Duration {
	d.roll(now)
	rate := max(d.previousRate, float64(d.bytes)/rateWindow.Seconds())
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := float64(bytes) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
