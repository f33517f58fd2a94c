package backlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var smallBounds = Bounds{Bytes: 32 << 10, SegmentBytes: 1 << 10, OpenFiles: 2}

// script does the same operations each time, until an error that is a kill.
func script(w *world, operations int) error {
	if err := w.start(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range operations {
		if err := w.operate(rng); errors.Is(err, errKilled) {
			return err
		}
	}
	return nil
}

func TestKillAtEveryStepLosesAndRepeatsNothing(t *testing.T) {
	const operations = 150
	steps := 0
	for _, leaving := range []damage{nothingDone, halfDone, allDone} {
		for step := 1; ; step++ {
			files := newMemFS()
			files.kill, files.failAt, files.leaving = true, step, leaving
			w := newWorld(files, smallBounds)
			err := script(w, operations)
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

// drain ends all that is owed.
func (w *world) drain() error {
	for _, lane := range testLanes {
		for {
			if err := w.end(lane, len(w.held[lane])); err != nil {
				return err
			}
			if w.store.Stored(lane) == 0 && len(w.held[lane]) == 0 {
				break
			}
			if err := w.bringBack(lane, 5); err != nil {
				return err
			}
		}
	}
	return nil
}

// A kill while the process that follows a kill resolves what it finds.
func TestKillWhileAKillIsResolved(t *testing.T) {
	kills := 0
	for step := 40; step < 400; step += 7 {
		for second := 1; ; second++ {
			files := newMemFS()
			files.kill, files.failAt, files.leaving = true, step, halfDone
			w := newWorld(files, smallBounds)
			if script(w, 150) == nil {
				break
			}
			w.fs = files.reboot()
			w.fs.kill, w.fs.failAt, w.fs.leaving = true, second, damage(second%3)
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
		w := newWorld(newMemFS(), smallBounds)
		for range 30 {
			w.fs = w.fs.reboot()
			w.fs.kill, w.fs.failAt, w.fs.leaving = true, 1+rng.IntN(400), damage(rng.IntN(3))
			err := w.start()
			for err == nil || !errors.Is(err, errKilled) {
				err = w.operate(rng)
			}
			kills++
			w.fs = w.fs.reboot()
			require.NoError(t, w.start(), "seed %d", seed)
			w.check(t)
		}
		require.NoError(t, w.drain())
		w.check(t)
		require.Greater(t, len(w.over), 200)
	}
	require.GreaterOrEqual(t, kills, 100)
}

// An error at any one call, or a write cut short, leaves a store that goes on, and one that can be read by the next
// process. The move that it hit is ended later.
func TestFaultAtEveryCall(t *testing.T) {
	faults := 0
	for _, leaving := range []damage{nothingDone, halfDone, allDone, shortWrite} {
		for call := 1; ; call++ {
			files := newMemFS()
			files.failAt, files.leaving = call, leaving
			w := newWorld(files, smallBounds)
			if err := script(w, 120); err != nil { // at the start: the next one finds all well
				files.locked = false
				require.NoError(t, w.start(), "call %d", call)
			}
			if files.calls < call {
				break
			}
			faults++
			require.NoError(t, w.mover.Retry())
			require.NoError(t, w.bringBack(testLanes[0], 0)) // what was on the way
			w.check(t)
			w.fs = files.reboot()
			require.NoError(t, w.start(), "call %d", call)
			w.check(t)
			require.NoError(t, w.drain())
			w.check(t)
		}
	}
	require.Greater(t, faults, 800)
	t.Logf("%d faults", faults)
}

func TestOpenFilesAreBounded(t *testing.T) {
	files := newMemFS()
	w := newWorld(files, smallBounds)
	require.NoError(t, script(w, 2000))
	require.LessOrEqual(t, files.mostOpen, smallBounds.OpenFiles+3, "readers, the last segment, one that begins, and the test's log")
	require.NoError(t, w.store.Close())
	require.Equal(t, 1, files.open, "the log")
}

func TestUsedNeverPassesTheBound(t *testing.T) {
	files := newMemFS()
	s, err := Open(files, testDir, smallBounds)
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(3, 3))
	refused, next := 0, uint64(1)
	for range 20000 {
		lane := Lane{Destination: uint64(rng.IntN(20)), Tenant: 1}
		if rng.IntN(5) > 0 {
			m := testMessage(lane, next)
			next++
			if err := s.Append(m); err != nil {
				require.ErrorIs(t, err, ErrFull)
				refused++
			}
		} else {
			ms, err := s.Head(lane, 1+rng.IntN(3))
			require.NoError(t, err)
			require.NoError(t, s.Release(refsOf(ms)))
		}
		require.LessOrEqual(t, int64(files.used()), smallBounds.Bytes)
		require.LessOrEqual(t, int64(files.used()), s.Used())
	}
	checkStore(t, s)
	require.Greater(t, refused, 1000)
	require.Less(t, s.Written(), int64(next)*250*4, "write amplification")
	t.Log(fmt.Sprintf("%d of %d refused, %d bytes written", refused, next, s.Written()))
}

func refsOf(ms []*Message) []Ref {
	refs := make([]Ref, len(ms))
	for i, m := range ms {
		refs[i] = m.Ref()
	}
	return refs
}
