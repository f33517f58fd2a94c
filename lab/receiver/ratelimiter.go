package receiver

import "math"

// tokenTolerance is the fraction of a token that may be missing because of rounding.
const tokenTolerance = 1e-9

// rateLimiter limits the rate of calls (by a token bucket), the number of calls within a sliding window, or both.
type rateLimiter struct {
	tokens, refilledAt float64
	admitted           []float64 // admission times of the calls within the window
}

// reset fills the token bucket.
func (l *rateLimiter) reset(b *Behavior, now float64) {
	l.tokens, l.refilledAt = math.Max(1, b.Burst), now
}

// remaining returns the unused share of the limit, or the smaller share if there are two limits. fraction is the
// fraction of the usual limit that is in force; 0 means all of it.
func (l *rateLimiter) remaining(b *Behavior, fraction, now float64) float64 {
	if fraction == 0 {
		fraction = 1
	}
	remaining := 1.0
	if b.Rate > 0 {
		remaining = math.Min(1, (l.tokens+(now-l.refilledAt)*b.Rate*fraction)/math.Max(1, b.Burst))
	}
	if b.WindowCalls > 0 {
		used := 0
		for _, at := range l.admitted {
			if at > now-b.Window {
				used++
			}
		}
		remaining = math.Min(remaining, 1-float64(used)/math.Max(1, float64(b.WindowCalls)*fraction))
	}
	return math.Max(0, remaining)
}

// admit admits a call, or returns full = true and the number of seconds until a call would be admitted. fraction is the
// fraction of the usual limit that is in force; 0 means all of it.
func (l *rateLimiter) admit(b *Behavior, fraction, now float64) (wait float64, full bool) {
	if fraction == 0 {
		fraction = 1
	}
	if rate := b.Rate * fraction; b.Rate > 0 {
		l.tokens = math.Min(math.Max(1, b.Burst), l.tokens+(now-l.refilledAt)*rate)
		l.refilledAt = now
		if l.tokens < 1-tokenTolerance {
			return (1 - l.tokens) / rate, true
		}
	}
	if b.WindowCalls > 0 {
		for len(l.admitted) > 0 && l.admitted[0] <= now-b.Window {
			l.admitted = l.admitted[1:]
		}
		if limit := max(1, int(float64(b.WindowCalls)*fraction)); len(l.admitted) >= limit {
			return l.admitted[len(l.admitted)-limit] + b.Window - now, true
		}
		l.admitted = append(l.admitted, now)
	}
	if b.Rate > 0 {
		l.tokens--
	}
	return 0, false
}
