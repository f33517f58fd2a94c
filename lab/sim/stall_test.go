package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
)

// stallScenario returns the finding in which a forwarder with four slots stalls for ten seconds while it restarts.
func stallScenario(t *testing.T) *scenario.Scenario {
	return readScenario(t, "stands-still-while-it-restarts")
}

// A forwarder that is killed shortly before, during or at the end of a stall must not lose the result of any call: at
// the end of the run all slots are free and every message is answered.
func TestRestartDuringStallLosesNoCallResult(t *testing.T) {
	for _, killedAt := range []config.Duration{9.3, 9.5, 9.9, 10, 12, 19, 19.9, 20} {
		for seed := range uint64(5) {
			s := stallScenario(t)
			for i := range s.Faults {
				if s.Faults[i].Kind == "restart" {
					s.Faults[i].At = killedAt
				}
			}
			r := Play(s, seed, SchedulerPolicy)
			require.Empty(t, r.Violations, "killed at %s, seed %d", killedAt, seed)
			last := r.Seconds[len(r.Seconds)-1]
			require.Zero(t, last.OpenCalls, "slots are still in use at the end of the run: killed at %s, seed %d", killedAt, seed)
			require.Zero(t, last.Held, "killed at %s, seed %d", killedAt, seed)
			require.Greater(t, r.G, 0.4, "killed at %s, seed %d", killedAt, seed)
		}
	}
}

// startsDuringStall counts the processes that start during a stall. from and until are in seconds since the start of
// the run.
type startsDuringStall struct {
	from, until float64
	count       int
}

func (c *startsDuringStall) newPolicy(settings scheduler.Settings, seed uint64, now float64, host scheduler.Host) Policy {
	if now > startTime+c.from && now < startTime+c.until {
		c.count++
	}
	return SchedulerPolicy(settings, seed, now, host)
}

// A stall applies to the forwarder and not only to its current process, so no process may start during a stall.
func TestRestartDuringStallIsDelayedToItsEnd(t *testing.T) {
	c := &startsDuringStall{from: 10, until: 20}
	r := Play(stallScenario(t), 1, c.newPolicy)
	require.Zero(t, c.count)
	require.Greater(t, r.Late, 100, "the stall delays messages")
}
