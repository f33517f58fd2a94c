package backlog

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var smallBounds = Bounds{Bytes: 32 << 10, SegmentBytes: 1 << 10, OpenFiles: 2}

// runScript starts a process and does the given number of operations, the same ones in each call. It ends early if the
// process is killed.
func runScript(h *harness, operations int) error {
	if err := h.start(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range operations {
		if err := h.randomOperation(rng); errors.Is(err, errKilled) {
			return err
		}
	}
	return nil
}

// After a kill at any call that changes files, no message is lost or delivered twice.
func TestKillAtEveryStep(t *testing.T) {
	const operations = 150
	steps := 0
	for _, left := range []leftover{leavesNothing, leavesHalf, leavesAll} {
		for step := 1; ; step++ {
			files := newMemFS()
			files.kill, files.failAt, files.leftover = true, step, left
			h := newHarness(files, smallBounds)
			err := runScript(h, operations)
			if err == nil {
				break
			}
			require.ErrorIs(t, err, errKilled)
			steps++
			h.fs = files.afterKill()
			require.NoError(t, h.start(), "step %d", step)
			h.check(t)
			require.NoError(t, h.drain())
			h.check(t)
			require.Zero(t, h.store.Messages())
		}
	}
	require.Greater(t, steps, 500)
	t.Logf("%d kills", steps)
}

// The process is killed again while it recovers from a kill.
func TestKillDuringRecovery(t *testing.T) {
	kills := 0
	for step := 40; step < 400; step += 7 {
		for secondStep := 1; ; secondStep++ {
			files := newMemFS()
			files.kill, files.failAt, files.leftover = true, step, leavesHalf
			h := newHarness(files, smallBounds)
			if runScript(h, 150) == nil {
				break
			}
			h.fs = files.afterKill()
			h.fs.kill, h.fs.failAt, h.fs.leftover = true, secondStep, leftover(secondStep%3)
			if h.start() == nil {
				break
			}
			kills++
			h.fs = h.fs.afterKill()
			require.NoError(t, h.start())
			h.check(t)
		}
	}
	require.Greater(t, kills, 40)
}

func TestRandomKillsUnderLoad(t *testing.T) {
	kills := 0
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(newMemFS(), smallBounds)
		for range 30 {
			h.fs = h.fs.afterKill()
			h.fs.kill, h.fs.failAt, h.fs.leftover = true, 1+rng.IntN(400), leftover(rng.IntN(3))
			err := h.start()
			for err == nil || !errors.Is(err, errKilled) {
				err = h.randomOperation(rng)
			}
			kills++
			h.fs = h.fs.afterKill()
			require.NoError(t, h.start(), "seed %d", seed)
			h.check(t)
		}
		require.NoError(t, h.drain())
		h.check(t)
		require.Greater(t, len(h.done), 200)
	}
	require.GreaterOrEqual(t, kills, 100)
}

// After any single call to the filesystem fails or writes only part of the data, the store stays usable and the next
// process can read it. An interrupted move is completed later.
func TestFaultAtEveryCall(t *testing.T) {
	faults := 0
	for _, left := range []leftover{leavesNothing, leavesHalf, leavesAll, shortWrite} {
		for call := 1; runWithFault(t, &memFS{failAt: call, leftover: left}); call++ {
			faults++
		}
	}
	require.Greater(t, faults, 800)
	t.Logf("%d faults", faults)
}

// Two consecutive calls fail, so that the call that cleans up after the first failure fails too.
func TestTwoConsecutiveFaults(t *testing.T) {
	faults := 0
	for _, left := range []leftover{leavesNothing, leavesHalf, shortWrite} {
		for call := 1; runWithFault(t, &memFS{failAt: call, extraFailures: 1, leftover: left}); call += 3 {
			faults++
		}
	}
	require.Greater(t, faults, 200)
	t.Logf("%d faults", faults)
}

// runWithFault runs the script with the fault configured in files. It returns false if the script ends before the fault
// occurs.
func runWithFault(t *testing.T, files *memFS) bool {
	files.files = map[string][]byte{}
	h := newHarness(files, smallBounds)
	if err := runScript(h, 120); err != nil { // the fault hit the start; the next start succeeds
		files.failAt, files.locked = 0, false
		require.NoError(t, h.start())
	}
	if files.failAt > 0 && files.calls < files.failAt {
		return false
	}
	files.failAt = 0
	require.NoError(t, h.mover.RetryForget())
	require.NoError(t, h.load(testLanes[0], 0)) // completes an interrupted move
	h.check(t)
	h.fs = files.afterKill()
	require.NoError(t, h.start(), "call %d", files.calls)
	h.check(t)
	require.NoError(t, h.drain())
	h.check(t)
	return true
}

func TestOpenFilesAreLimited(t *testing.T) {
	files := newMemFS()
	h := newHarness(files, smallBounds)
	require.NoError(t, runScript(h, 2000))
	require.LessOrEqual(t, files.maxOpen, smallBounds.OpenFiles+3, "readers, active segment, new segment, test log")
	require.NoError(t, h.store.Close())
	require.Equal(t, 1, files.open, "the test log")
}

// The store keeps the greatest message number used even after all messages were released.
func TestLastSeqSurvivesReleaseAndReopen(t *testing.T) {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	for seq := uint64(1); seq <= 40; seq++ {
		m := testMessage(testLanes[0], seq)
		require.NoError(t, s.Append(m))
		require.NoError(t, s.Release([]Ref{m.Ref()}))
	}
	require.Less(t, len(s.segments), 3)
	require.NoError(t, s.rotate())
	s.removeUnusedSegments()
	require.NoError(t, s.Close())
	require.Equal(t, uint64(40), openStore(t, files, smallBounds).LastSeq())
}
