package backlog

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var smallBounds = Bounds{Bytes: 32 << 10, SegmentBytes: 1 << 10, OpenFiles: 2}

// runScript does the same operations each time, until an error that is a kill.
func runScript(w *harness, operations int) error {
	if err := w.start(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range operations {
		if err := w.randomOperation(rng); errors.Is(err, errKilled) {
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
			w := newHarness(files, smallBounds)
			err := runScript(w, operations)
			if err == nil {
				break
			}
			require.ErrorIs(t, err, errKilled)
			steps++
			w.fs = files.reboot()
			require.NoError(t, w.start(), "step %d", step)
			w.check(t)
			require.NoError(t, w.drain())
			w.check(t)
			require.Zero(t, w.store.Messages())
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
			w := newHarness(files, smallBounds)
			if runScript(w, 150) == nil {
				break
			}
			w.fs = files.reboot()
			w.fs.kill, w.fs.failAt, w.fs.leaves = true, second, leftover(second%3)
			if w.start() == nil {
				break
			}
			kills++
			w.fs = w.fs.reboot()
			require.NoError(t, w.start())
			w.check(t)
		}
	}
	require.Greater(t, kills, 40)
}

func TestRandomKillsUnderLoad(t *testing.T) {
	kills := 0
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := newHarness(newMemFS(), smallBounds)
		for range 30 {
			w.fs = w.fs.reboot()
			w.fs.kill, w.fs.failAt, w.fs.leaves = true, 1+rng.IntN(400), leftover(rng.IntN(3))
			err := w.start()
			for err == nil || !errors.Is(err, errKilled) {
				err = w.randomOperation(rng)
			}
			kills++
			w.fs = w.fs.reboot()
			require.NoError(t, w.start(), "seed %d", seed)
			w.check(t)
		}
		require.NoError(t, w.drain())
		w.check(t)
		require.Greater(t, len(w.done), 200)
	}
	require.GreaterOrEqual(t, kills, 100)
}

// An error at any one call, or a write cut short, leaves a store that goes on, and one that can be read by the next
// process. The move that it hit is ended later.
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

// faultAt runs the script with faults; it tells if it was long enough for them to come.
func faultAt(t *testing.T, files *memFS) bool {
	files.files = map[string][]byte{}
	w := newHarness(files, smallBounds)
	if err := runScript(w, 120); err != nil { // at the start: the next one finds all well
		files.failAt, files.locked = 0, false
		require.NoError(t, w.start())
	}
	if files.failAt > 0 && files.calls < files.failAt {
		return false
	}
	files.failAt = 0
	require.NoError(t, w.mover.Retry())
	require.NoError(t, w.bringBack(testLanes[0], 0)) // what was on the way
	w.check(t)
	w.fs = files.reboot()
	require.NoError(t, w.start(), "call %d", files.calls)
	w.check(t)
	require.NoError(t, w.drain())
	w.check(t)
	return true
}

func TestOpenFilesAreBounded(t *testing.T) {
	files := newMemFS()
	w := newHarness(files, smallBounds)
	require.NoError(t, runScript(w, 2000))
	require.LessOrEqual(t, files.maxOpen, smallBounds.OpenFiles+3, "readers, the last segment, a new one, the test's log")
	require.NoError(t, w.store.Close())
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
