package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHistoriesThatBreakARuleAreFound(t *testing.T) {
	const (
		answer = "a notice that a message that has run may not have"
	)
	start := time.Now()
	at := func(after time.Duration) time.Time { return start.Add(after) }
	seen := func(delivered int, lastRun, notice time.Duration, notices ...string) *course {
		return &course{ran: 1, first: start, last: at(lastRun), delivered: delivered, told: at(notice), notices: notices}
	}
	repeated := func(c *course) *course {
		c.ran++
		return c
	}
	never := func(notices ...string) *course { return &course{notices: notices, told: start} }
	const window = sceneMemory
	for _, c := range []struct {
		what    string
		id      string
		history *course
		breaks  []string
	}{
		{"delivered", "ticket-1", seen(1, 0, 0), nil},
		{"never run, returned", "ticket-1", never("returned"), nil},
		{"never run, failed", "payment-1", never("failed"), nil},
		{"told again in the same words", "ticket-1", never("failed", "failed"), nil},
		{"told in other words", "ticket-1", never("failed", "returned"), []string{"two different final answers"}},
		{"told in other words after a run", "ticket-1", seen(1, 0, window/2, "returned", "failed"), []string{"two different final answers"}},

		{"key known, delivered, answer cut off, returned", "ticket-1", seen(1, 0, window*2/3, "returned"), nil},
		{"key known, ran with an error, returned", "ticket-1", seen(0, 0, window*2/3, "returned"), nil},
		{"key known to the last moment, returned", "ticket-1", seen(1, 0, window, "returned"), nil},
		{"key forgotten, delivered, returned", "ticket-1", seen(1, 0, window+1, "returned"), []string{answer}},
		{"key forgotten, ran with an error, returned", "ticket-1", seen(0, 0, window+1, "returned"), []string{answer}},
		{"key known from the first run, not from a repeat", "ticket-1",
			repeated(seen(1, window/2, window+1, "returned")), []string{answer}},
		{"returned, then run", "ticket-1", seen(1, window/2, window/4, "returned"), []string{answer}},
		{"key forgotten, failed", "ticket-1", seen(1, 0, time.Hour, "failed"), nil},
		{"key known, failed", "ticket-1", seen(1, 0, window/2, "failed"), nil},
		{"a word that is none", "ticket-1", seen(1, 0, window/2, "delivered"), []string{answer}},

		{"must not run twice, delivered, failed", "payment-1", seen(1, 0, window/2, "failed"), nil},
		{"must not run twice, delivered, returned", "payment-1", seen(1, 0, window/2, "returned"), []string{answer}},
		{"must not run twice, ran with an error, returned", "payment-1", seen(0, 0, window/2, "returned"), []string{answer}},
		{"must not run twice, ran twice", "payment-1", repeated(seen(1, window/2, 0)), []string{"ran twice and must not"}},

		{"may run again, ran with an error, returned", "status-1", seen(0, 0, time.Hour, "returned"), nil},
		{"may run again, ran again", "status-1", repeated(seen(1, time.Hour, 0)), nil},
		{"may run again, delivered, returned", "status-1", seen(1, 0, window/2, "returned"), []string{answer}},
		{"may run again, delivered, failed", "status-1", seen(1, 0, window/2, "failed"), []string{answer}},

		{"repeated while its key is known", "ticket-1", repeated(seen(1, window, 0)), nil},
		{"repeated when its key is forgotten", "ticket-1", repeated(seen(1, window+2*time.Second, 0)),
			[]string{"ran again after its key was forgotten"}},
	} {
		require.Equal(t, c.breaks, c.history.violations(c.id), c.what)
	}
}
