package backlog

import (
	"errors"
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
		for call := 1; faultAt(t, &memFS{failAt: call, leaving: leaving}); call++ {
			faults++
		}
	}
	require.Greater(t, faults, 800)
	t.Logf("%d faults", faults)
}

// Two calls in a row fail: also the one that mends what the first has left.
func TestTwoFaultsAtEveryCall(t *testing.T) {
	faults := 0
	for _, leaving := range []damage{nothingDone, halfDone, shortWrite} {
		for call := 1; faultAt(t, &memFS{failAt: call, failFor: 1, leaving: leaving}); call += 3 {
			faults++
		}
	}
	require.Greater(t, faults, 200)
	t.Logf("%d faults", faults)
}

// faultAt runs the script with faults; it tells if it was long enough for them to come.
func faultAt(t *testing.T, files *memFS) bool {
	files.files = map[string][]byte{}
	w := newWorld(files, smallBounds)
	if err := script(w, 120); err != nil { // at the start: the next one finds all well
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
	t.Logf("%d of %d refused, %d bytes written", refused, next, s.Written())
}

// Messages so small that their releases take a large part of the room, released in an order in which no segment is
// dead for long: there is room for the releases all the same.
func TestReleasesHaveRoomInAFullStore(t *testing.T) {
	files := newMemFS()
	s, err := Open(files, testDir, smallBounds)
	require.NoError(t, err)
	var refs []Ref
	for seq := uint64(1); ; seq++ {
		m := &Message{Seq: seq, Lane: Lane{seq % 7, 1}}
		if err := s.Append(m); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		refs = append(refs, m.Ref())
	}
	rand.New(rand.NewPCG(6, 6)).Shuffle(len(refs), func(i, j int) { refs[i], refs[j] = refs[j], refs[i] })
	for _, ref := range refs {
		require.NoError(t, s.Release([]Ref{ref}))
		require.LessOrEqual(t, int64(files.used()), smallBounds.Bytes)
	}
	require.Zero(t, s.Messages())
}

// A few messages that stay for long among many that go do not keep the space of those that went.
func TestDeadSpaceIsFreed(t *testing.T) {
	files := newMemFS()
	bounds := Bounds{Bytes: 64 << 20, SegmentBytes: 1 << 10}
	s, err := Open(files, testDir, bounds)
	require.NoError(t, err)
	for seq := uint64(1); seq <= 20_000; seq++ {
		m := testMessage(Lane{1, 1}, seq)
		require.NoError(t, s.Append(m))
		if before := seq - 1; before%200 != 0 { // not the newest, so that it lies between others
			require.NoError(t, s.Release([]Ref{testMessage(Lane{1, 1}, before).Ref()}))
		}
		require.LessOrEqual(t, s.Used()-bounds.SegmentBytes, 2*s.Bytes()+4*bounds.SegmentBytes)
		l := s.lanes[Lane{1, 1}]
		require.LessOrEqual(t, int(l.end-l.begin), 2*l.live()+4*blockSize+1, "nor memory")
	}
	require.Equal(t, 100, s.Messages())
	require.Less(t, s.Written(), int64(20_000*250*2), "write amplification")
	checkStore(t, s)
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
	s.dropDead()
	require.NoError(t, s.Close())
	require.Equal(t, uint64(40), openStore(t, files, smallBounds).LastSeq())
}

func refsOf(ms []*Message) []Ref {
	refs := make([]Ref, len(ms))
	for i, m := range ms {
		refs[i] = m.Ref()
	}
	return refs
}
