package backlog

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var smallBounds = Bounds{Bytes: 32 << 10, SegmentBytes: 1 << 10, OpenFiles: 2}

// runScript does the same operations each time, until an error that is a kill.
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

func TestKillAtEveryStepLosesAndRepeatsNothing(t *testing.T) {
	const operations = 150
	steps := 0
	for _, leaving := range []leftover{leavesNothing, leavesHalf, leavesAll} {
		for step := 1; ; step++ {
			files := newMemFS()
			files.kill, files.failAt, files.leaves = true, step, leaving
			h := newHarness(files, smallBounds)
			err := runScript(h, operations)
			if err == nil {
				break
			}
			require.ErrorIs(t, err, errKilled)
			steps++
			h.fs = files.reboot()
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

// A kill while the process that follows a kill resolves what it finds.
func TestKillDuringRecoveryFromAKill(t *testing.T) {
	kills := 0
	for step := 40; step < 400; step += 7 {
		for second := 1; ; second++ {
			files := newMemFS()
			files.kill, files.failAt, files.leaves = true, step, leavesHalf
			h := newHarness(files, smallBounds)
			if runScript(h, 150) == nil {
				break
			}
			h.fs = files.reboot()
			h.fs.kill, h.fs.failAt, h.fs.leaves = true, second, leftover(second%3)
			if h.start() == nil {
				break
			}
			kills++
			h.fs = h.fs.reboot()
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
			h.fs = h.fs.reboot()
			h.fs.kill, h.fs.failAt, h.fs.leaves = true, 1+rng.IntN(400), leftover(rng.IntN(3))
			err := h.start()
			for err == nil || !errors.Is(err, errKilled) {
				err = h.randomOperation(rng)
			}
			kills++
			h.fs = h.fs.reboot()
			require.NoError(t, h.start(), "seed %d", seed)
			h.check(t)
		}
		require.NoError(t, h.drain())
		h.check(t)
		require.Greater(t, len(h.done), 200)
	}
	require.GreaterOrEqual(t, kills, 100)
}

// After an error at any one call, or a write cut short, the store goes on, and the next process can read it. The move
// that was interrupted is completed later.
func TestFaultAtEveryCall(t *testing.T) {
	faults := 0
	for _, leaving := range []leftover{leavesNothing, leavesHalf, leavesAll, shortWrite} {
		for call := 1; faultAt(t, &memFS{failAt: call, leaves: leaving}); call++ {
			faults++
		}
	}
	require.Greater(t, faults, 800)
	t.Logf("%d faults", faults)
}

// Two calls in a row fail: also the one that mends what the first has left.
func TestTwoFaultsAtEveryCall(t *testing.T) {
	faults := 0
	for _, leaving := range []leftover{leavesNothing, leavesHalf, shortWrite} {
		for call := 1; faultAt(t, &memFS{failAt: call, failFor: 1, leaves: leaving}); call += 3 {
			faults++
		}
	}
	require.Greater(t, faults, 200)
	t.Logf("%d faults", faults)
}

// faultAt runs the script with faults; it reports whether the script was long enough for them to occur.
func faultAt(t *testing.T, files *memFS) bool {
	files.files = map[string][]byte{}
	h := newHarness(files, smallBounds)
	if err := runScript(h, 120); err != nil { // at the start: the next one finds all well
		files.failAt, files.locked = 0, false
		require.NoError(t, h.start())
	}
	if files.failAt > 0 && files.calls < files.failAt {
		return false
	}
	files.failAt = 0
	require.NoError(t, h.mover.RetryForget())
	require.NoError(t, h.bringBack(testLanes[0], 0)) // what was being moved
	h.check(t)
	h.fs = files.reboot()
	require.NoError(t, h.start(), "call %d", files.calls)
	h.check(t)
	require.NoError(t, h.drain())
	h.check(t)
	return true
}

func TestOpenFilesAreBounded(t *testing.T) {
	files := newMemFS()
	h := newHarness(files, smallBounds)
	require.NoError(t, runScript(h, 2000))
	require.LessOrEqual(t, files.maxOpen, smallBounds.OpenFiles+3, "readers, the last segment, a new one, the test's log")
	require.NoError(t, h.store.Close())
	require.Equal(t, 1, files.open, "the log")
}

// Also once nothing is stored any more the store knows which numbers were used.
func TestLastNumberOutlastsItsMessage(t *testing.T) {
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
