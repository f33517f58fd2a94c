package policy

import (
	"time"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	rateWindow    = 10 * time.Second // over which the rate is measured
)

// drainRate measures how fast bytes leave the store.
type drainRate struct {
	since    time.Time // start of the window that is measured
	bytes    int64     // that left in it
	previous float64   // bytes a second in the window before it
}

// add records that bytes have left the store.
func (d *drainRate) add(bytes int64, now time.Time) {
	d.roll(now)
	d.bytes += bytes
}

// roll begins a new window once the present one is over.
func (d *drainRate) roll(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	passed := now.Sub(d.since)
	if passed < rateWindow {
		return
	}
	d.previous = float64(d.bytes) / passed.Seconds()
	d.since, d.bytes = now, 0
}

// retryAfter returns after how long there may be room for so many bytes, between minRetryAfter and maxRetryAfter.
func (d *drainRate) retryAfter(bytes int64, now time.Time) time.Duration {
	d.roll(now)
	rate := max(d.previous, float64(d.bytes)/rateWindow.Seconds())
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := float64(bytes) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
