package sim

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/lab/audit"
)

// startSleepingProcess starts a process in a run without a scenario. Its program counts its starts in a file and
// sleeps.
func startSleepingProcess(t *testing.T) *process {
	program := filepath.Join(t.TempDir(), "sleeper")
	require.NoError(t, os.WriteFile(program, []byte("#!/bin/sh\necho started >> \"$0.starts\"\nexec sleep 60\n"), 0o700))
	run := &realRun{Real: Real{Program: program}, epoch: time.Now()}
	run.log = audit.New(run, func(int) bool { return false }, 0)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	p := &process{run: run, log: log}
	require.NoError(t, p.start())
	t.Cleanup(p.stop)
	return p
}

// processState returns the letter of a process's state in /proc ("T" means stopped), or "" if the process has ended.
func processState(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return rest[:1]
}

// current returns the id and state of the latest process, and the run's time at which they were read.
func (p *process) current() (pid int, state string, now float64) {
	p.run.mu.Lock()
	defer p.run.mu.Unlock()
	return p.cmd.Process.Pid, processState(p.cmd.Process.Pid), p.run.Now()
}

// starts returns the number of processes started so far.
func (p *process) starts() int {
	text, _ := os.ReadFile(p.run.Program + ".starts")
	return strings.Count(string(text), "\n")
}

const testTimeout = 10 * time.Second

func TestShorterStallDoesNotEndLongerOne(t *testing.T) {
	p := startSleepingProcess(t)
	p.run.mu.Lock()
	until := p.run.Now() + 0.5
	p.stall(until)
	p.stall(p.run.Now() + 0.1)
	p.run.mu.Unlock()
	require.Eventually(t, func() bool { _, state, _ := p.current(); return state == "T" }, testTimeout, time.Millisecond)
	for {
		_, state, now := p.current()
		if now >= until {
			break
		}
		require.Equal(t, "T", state, "%.2f s before the end of the longer stall", until-now)
		time.Sleep(5 * time.Millisecond)
	}
	require.Eventually(t, func() bool { _, state, _ := p.current(); return state != "T" }, testTimeout, time.Millisecond)
}

// A restart during a stall starts exactly one process, at the end of the stall. The kill may precede or follow the
// start of the stall.
func TestRealRestartDuringStallIsDelayedToItsEnd(t *testing.T) {
	for _, killFirst := range []bool{true, false} {
		p := startSleepingProcess(t)
		require.Eventually(t, func() bool { return p.starts() == 1 }, testTimeout, time.Millisecond)
		first, _, _ := p.current()
		p.run.mu.Lock()
		until := p.run.Now() + restartDelay + 0.5
		if killFirst {
			p.kill()
		}
		p.stall(until)
		p.kill() // further kills before the restart have no effect
		p.kill()
		p.run.mu.Unlock()
		for {
			pid, _, now := p.current()
			if now >= until {
				break
			}
			require.Equal(t, first, pid, "another process was started %.2f s before the end of the stall", until-now)
			time.Sleep(5 * time.Millisecond)
		}
		require.Eventually(t, func() bool { return p.starts() == 2 }, testTimeout, time.Millisecond)
		time.Sleep(200 * time.Millisecond) // further processes would have been started by now
		require.Equal(t, 2, p.starts())
		pid, state, _ := p.current()
		require.NotEqual(t, first, pid)
		require.NotEqual(t, "T", state)
	}
}

// Plays a shortened stallScenario on real sockets. The stall must also delay messages there, and no rule may be
// violated.
func TestRestartDuringStallOnRealSockets(t *testing.T) {
	t.Parallel()
	program := filepath.Join(t.TempDir(), "spanflow")
	out, err := exec.Command("go", "build", "-o", program, "spanflow/cmd/spanflow").CombinedOutput()
	require.NoError(t, err, string(out))
	s := stallScenario(t)
	s.Length, s.Drain = 8, 10
	s.Types[0].LatencyObjective, s.Types[0].TimeToLive = 1.5, 8
	s.Faults[0].At, s.Faults[1].At, s.Faults[1].For = 1.5, 2, 4
	r, err := Real{Program: program, Folder: t.TempDir(), Memory: 64, Sockets: 256}.Play(context.Background(), s, 1)
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	simulated := Play(s, 1, SchedulerPolicy)
	require.Equal(t, simulated.Messages, r.Messages, "the same load")
	require.Greater(t, simulated.Late, simulated.Messages/5)
	require.Greater(t, r.Late, r.Messages/5, "the stall delays messages")
	t.Logf("G on real sockets %.3f with %d late, simulated %.3f with %d late", r.G, r.Late, simulated.G, simulated.Late)
}
