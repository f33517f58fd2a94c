package wal

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const limit = 1_000_000

func open(t *testing.T, dir string) *Log {
	l, err := Open(dir, limit)
	require.NoError(t, err)
	return l
}

func take(t *testing.T, l *Log, id string, body int) *Entry {
	e := &Entry{Key: 5, Destination: 7, Type: "ticket", ID: id, IdempotencyKey: "m", Expiry: 99, Body: make([]byte, body)}
	require.NoError(t, l.Append(e))
	return e
}

// owed is what a fresh reading of the folder finds, by ids.
func owed(t *testing.T, dir string) []string {
	l := open(t, dir)
	defer l.Close()
	ids := []string{}
	for _, e := range l.Pending() {
		ids = append(ids, e.ID)
	}
	return ids
}

// last is the file that was written to.
func last(t *testing.T, dir string) string {
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	require.NoError(t, err)
	return names[len(names)-1]
}

func TestAnEmptyFolderOwesNothing(t *testing.T) {
	require.Empty(t, owed(t, t.TempDir()))
}

func TestWhatIsOwedComesBackWithAllThatIsKnownOfIt(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	a, b, c, d := take(t, l, "a", 3), take(t, l, "b", 3), take(t, l, "c", 3), take(t, l, "d", 3)
	require.NoError(t, l.RecordAttempt(a.Seq, 10, 1))
	require.NoError(t, l.RecordAttemptEnd(a.Seq, true))
	require.NoError(t, l.RecordAttempt(a.Seq, 20, 2))
	require.NoError(t, l.RecordAttempt(b.Seq, 30, 1))
	require.NoError(t, l.RecordAttemptEnd(b.Seq, false))
	require.NoError(t, l.RecordDone(c.Seq))
	require.NoError(t, l.RecordAnswer(d.Seq, Rejected, 700))
	require.NoError(t, l.Close())
	l = open(t, dir)
	got := l.Pending()
	require.Len(t, got, 3)
	require.Equal(t, Entry{Seq: 1, Key: 5, Destination: 7, Type: "ticket", ID: "a", IdempotencyKey: "m", Expiry: 99, Attempts: 2, FirstRanAt: 10,
		FirstRanZone: 1, AttemptBegan: 20, AttemptZone: 2, Body: make([]byte, 3), file: 1}, *got[0])
	require.Equal(t, []any{1, int64(0), int64(0)}, []any{got[1].Attempts, got[1].FirstRanAt, got[1].AttemptBegan})
	require.Equal(t, []any{Rejected, 700}, []any{got[2].Answer, got[2].RetryAfter})
	require.Equal(t, uint64(5), take(t, l, "e", 3).Seq, "numbers are not used again")
}

func TestATornTailIsDropped(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	take(t, l, "a", 3)
	take(t, l, "b", 3)
	l.Close()
	info, err := os.Stat(last(t, dir))
	require.NoError(t, err)
	require.NoError(t, os.Truncate(last(t, dir), info.Size()-1))
	require.Equal(t, []string{"a"}, owed(t, dir))
}

func TestARecordWhoseChecksumFailsIsPassedOver(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	for _, id := range []string{"a", "bb", "c"} {
		take(t, l, id, 3)
	}
	l.Close()
	text, err := os.ReadFile(last(t, dir))
	require.NoError(t, err)
	text[bytes.Index(text, []byte("bb"))]++
	require.NoError(t, os.WriteFile(last(t, dir), text, 0o600))
	l = open(t, dir)
	require.Equal(t, 1, l.DroppedRecords)
	require.Len(t, l.Pending(), 2)
}

func TestAWriteAheadLogAtItsLimitTakesNothingMoreButGoesOnServing(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	var held []*Entry
	for {
		e := &Entry{Type: "ticket", ID: fmt.Sprint(len(held)), Body: make([]byte, 5000)}
		if err := l.Append(e); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		held = append(held, e)
	}
	require.Greater(t, len(held)*5000, l.Capacity()*9/10)
	for _, e := range held {
		for at := range 20 {
			require.NoError(t, l.RecordAttempt(e.Seq, int64(at+1), 0))
			require.NoError(t, l.RecordAttemptEnd(e.Seq, false))
		}
	}
	for _, e := range held[1:] {
		require.NoError(t, l.RecordDone(e.Seq))
	}
	take(t, l, "new", 5000)
	l.Close()
	require.Equal(t, []string{"0", "new"}, owed(t, dir))
}

// Months of traffic, with what is owed changing all the time and the process killed now and then.
func TestTheFolderStaysUnderItsLimitAndOwesWhatItShould(t *testing.T) {
	dir := t.TempDir()
	dice := rand.New(rand.NewPCG(1, 2))
	l, want := open(t, dir), map[uint64]int{}
	for i := range 30000 {
		if e := (&Entry{Type: "ticket", ID: "x", Body: make([]byte, dice.IntN(8000))}); l.Append(e) == nil {
			want[e.Seq] = 0
		}
		for seq := range want {
			if dice.IntN(3) == 0 {
				require.NoError(t, l.RecordAttempt(seq, int64(i+1), 0))
				want[seq]++
			} else if dice.IntN(3) == 0 {
				require.NoError(t, l.RecordDone(seq))
				delete(want, seq)
			}
			if dice.IntN(3) == 0 {
				break
			}
		}
		if i%100 == 0 {
			size := int64(0)
			files, err := os.ReadDir(dir)
			require.NoError(t, err)
			for _, f := range files {
				info, err := f.Info()
				require.NoError(t, err)
				size += blocks(info.Size())
			}
			require.LessOrEqual(t, size, int64(limit))
		}
		if i%500 == 0 {
			l.Close()
			l = open(t, dir)
			got := map[uint64]int{}
			for _, e := range l.Pending() {
				got[e.Seq] = e.Attempts
			}
			require.Equal(t, want, got)
		}
	}
}

func TestAFolderThatCannotBeWrittenKeepsNothing(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	l.head.Close() // as if the disk had failed
	require.Error(t, l.Append(&Entry{ID: "a"}))
	require.Empty(t, l.Pending())
}

func FuzzReplay(f *testing.F) {
	e := &Entry{Seq: 1, Type: "t", ID: "a", Body: []byte("b")}
	f.Add(e.encode(make([]byte, header)))
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, kindOver, 0})
	f.Fuzz(func(t *testing.T, text []byte) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "00000001"+suffix), text, 0o600))
		l, err := Open(dir, limit)
		require.NoError(t, err)
		for kind := range byte(8) { // what a sound checksum lets through
			l.apply(kind, text, 1)
		}
		require.NoError(t, l.Close())
	})
}

func TestAnEntryKeepsTheFrontendByWhichItCame(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.NoError(t, l.Append(&Entry{ID: "a", Type: "ticket", Frontend: "proxy", CallerWaits: true, Body: []byte("b")}))
	require.NoError(t, l.Append(&Entry{ID: "b", Type: "ticket"}))
	require.ErrorIs(t, l.Append(&Entry{ID: "c", Frontend: string(make([]byte, mostFront+1))}), ErrFull)
	l.Close()
	l = open(t, dir)
	defer l.Close()
	require.Equal(t, []any{"proxy", true, "", false}, []any{l.Pending()[0].Frontend, l.Pending()[0].CallerWaits, l.Pending()[1].Frontend, l.Pending()[1].CallerWaits})
}

func TestAFolderOfARunningProcessIsRefusedWithItsPid(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	require.Equal(t, os.Getpid(), LockHolder(dir))
	_, err := Open(dir, limit)
	var owned *LockedError
	require.ErrorAs(t, err, &owned)
	require.Equal(t, LockedError{dir, os.Getpid()}, *owned)
	l.Close()
	require.Zero(t, LockHolder(dir))
	open(t, dir).Close()
}

func TestALookAltersNothingAndTellsATornEndFromDamage(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	for _, id := range []string{"a", "b", "c"} {
		take(t, l, id, 100)
	}
	require.NoError(t, l.RecordAttempt(1, 5, 0))
	v, err := Inspect(dir) // in use
	require.NoError(t, err)
	require.Equal(t, []any{os.Getpid(), 3, 0, "out", "held"}, []any{v.HolderPID, len(v.Pending), len(v.DamagedRecords), v.Pending[0].State(), v.Pending[1].State()})
	l.Close()
	whole, err := os.ReadFile(last(t, dir))
	require.NoError(t, err)
	looked := func(text []byte) *View {
		require.NoError(t, os.WriteFile(last(t, dir), text, 0o600))
		v, err := Inspect(dir)
		require.NoError(t, err)
		after, _ := os.ReadFile(last(t, dir))
		require.Equal(t, text, after)
		return v
	}
	v = looked(whole[:len(whole)-40])
	require.True(t, len(v.DamagedRecords) == 1 && v.DamagedRecords[0].Torn && !v.Damaged(), v.DamagedRecords)
	spoilt := bytes.Clone(whole)
	spoilt[60] ^= 1 // the first message
	v = looked(spoilt)
	require.True(t, v.Damaged(), v.DamagedRecords)
	require.Equal(t, []any{1, int64(0), 2}, []any{len(v.DamagedRecords), v.DamagedRecords[0].Offset, len(v.Pending)})
	spoilt[2] = 0xff                                           // its length: what follows cannot be found by it
	require.NoError(t, os.WriteFile(path(dir, 9), nil, 0o600)) // a later file shows that this one was ended in peace
	spoiltFirst, err := func() (*View, error) {
		require.NoError(t, os.WriteFile(path(dir, 1), spoilt, 0o600))
		return Inspect(dir)
	}()
	require.NoError(t, err)
	require.True(t, spoiltFirst.Damaged(), spoiltFirst.DamagedRecords)
}

func TestALookFindsAllThatIsOwedWhileFilesAreFreed(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	defer l.Close()
	take(t, l, "stays", 100)
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-end:
				return
			default:
				e := &Entry{ID: "goes", Type: "ticket", Body: make([]byte, 20_000)}
				if l.Append(e) == nil {
					l.RecordDone(e.Seq)
				}
			}
		}
	}()
	for range 200 {
		v, err := Inspect(dir)
		if err != nil { // freed faster than it can be read, and said so
			require.ErrorContains(t, err, "faster")
			continue
		}
		require.Equal(t, "stays", v.Pending[0].ID)
		require.False(t, v.Damaged(), v.DamagedRecords)
	}
	close(end)
	<-ended
}

func TestAMessageThatWasElsewhereComesBackUnderItsNumber(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	a := take(t, l, "a", 3)
	require.Equal(t, uint64(2), l.NextSeq())
	b := take(t, l, "b", 3)
	require.Equal(t, uint64(3), b.Seq)
	require.NoError(t, l.RecordDone(a.Seq)) // it is recorded elsewhere
	require.NoError(t, l.Restore(&Entry{Seq: a.Seq, ID: "a", Type: "ticket", Attempts: 2, FirstRanAt: 7, FirstRanZone: 1, Body: []byte("x")}))
	require.NoError(t, l.Restore(&Entry{Seq: 2, ID: "c", Type: "ticket"}))
	require.NoError(t, l.Restore(&Entry{Seq: 2, ID: "c", Type: "ticket", Attempts: 1}), "twice: the latest counts")
	l.Reserve(40)
	l.Close()
	l = open(t, dir)
	defer l.Close()
	got := l.Pending()
	require.Len(t, got, 3)
	require.Equal(t, []any{uint64(1), "a", 2, int64(7)}, []any{got[0].Seq, got[0].ID, got[0].Attempts, got[0].FirstRanAt})
	require.Equal(t, []any{uint64(2), "c", 1}, []any{got[1].Seq, got[1].ID, got[1].Attempts})
	require.Equal(t, uint64(4), take(t, l, "d", 3).Seq)
}

func TestWhatComesBackIsRefusedWithoutRoomAndLeavesWhatIsOwed(t *testing.T) {
	l := open(t, t.TempDir())
	defer l.Close()
	taken := take(t, l, "a", 3)
	for l.live+5104 < l.Capacity() {
		take(t, l, "filling", 5000)
	}
	require.ErrorIs(t, l.Restore(&Entry{Seq: 1000, Body: make([]byte, 6000)}), ErrFull)
	require.ErrorIs(t, l.Restore(&Entry{Seq: 1000, Body: make([]byte, mostEntry)}), ErrFull)
	require.Nil(t, l.Entry(1000))
	require.Same(t, taken, l.Entry(taken.Seq))
}
