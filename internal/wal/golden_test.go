package wal

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/golden"
)

// The files in testdata were written by version 1 of the format. A log written by an earlier release must be read, and
// written, with the same bytes.
const (
	goldenLog       = "version1"  // each kind of record
	goldenCompacted = "compacted" // after old files were freed

	smallLimit       = 350_000 // bytes, close to the least
	compactedBody    = 4_000   // bytes
	compactedPending = 50      // one in so many messages is pending at the end
	processLock      = "owner" // holds the id of a process
)

// goldenMessage is a pending message with fixed content. Its idempotency shows in its type and key: messages whose
// repeat is known by a key have one, the others none.
func goldenMessage(id, kind, key string, body []byte) *Entry {
	return &Entry{Key: 0x1122334455667788, Destination: 7, Tenant: 3, Type: kind, ID: id, IdempotencyKey: key,
		Expiry: 1_700_000_000_123_456, Body: body}
}

// writeGoldenLog writes each kind of record, and messages in each state.
func writeGoldenLog(t *testing.T, l *Log) {
	kinds := [][2]string{{"idempotent", ""}, {"idempotent-with-key", "key-1"}, {"at-most-once", ""}}
	states := []func(seq uint64) error{
		func(uint64) error { return nil }, // untried
		func(seq uint64) error { return attempt(l, seq, 1_000, 1, false) },
		func(seq uint64) error { return attempt(l, seq, 2_000, 2, true) },
		func(seq uint64) error { return l.RecordAttempt(seq, 3_000, 3) },
		func(seq uint64) error { // in flight after one that may have run
			if err := attempt(l, seq, 4_000, 1, true); err != nil {
				return err
			}
			return l.RecordAttempt(seq, 5_000, 70_000)
		},
		func(seq uint64) error { return l.RecordAnswer(seq, Rejected, 1_500) },
		func(seq uint64) error { return l.RecordAnswer(seq, Failed, 0) },
		l.RecordDone,
	}
	for k, kind := range kinds {
		for s, state := range states {
			e := goldenMessage(fmt.Sprintf("id-%d-%d", k, s), kind[0], kind[1], []byte{0, 1, 0xfe, 0xff, byte(s)})
			require.NoError(t, l.Append(e))
			require.NoError(t, state(e.Seq))
		}
	}
	writeGoldenFrontends(t, l)
}

func attempt(l *Log, seq uint64, at int64, zone int, ran bool) error {
	if err := l.RecordAttempt(seq, at, zone); err != nil {
		return err
	}
	return l.RecordAttemptEnd(seq, ran)
}

// writeGoldenFrontends writes messages that name their frontend, an empty one, and one that comes back from the backlog
// store with its history.
func writeGoldenFrontends(t *testing.T, l *Log) {
	named := goldenMessage("named", "idempotent", "", []byte("body"))
	named.Frontend = "web"
	require.NoError(t, l.Append(named))
	waiting := goldenMessage("waiting", "idempotent", "", []byte("body"))
	waiting.CallerWaits = true
	require.NoError(t, l.Append(waiting))
	require.NoError(t, l.Append(&Entry{}))
	require.Equal(t, uint64(28), l.NextSeq(), "given to a message in the backlog store")
	restored := goldenMessage("restored", "at-most-once", "", []byte("body"))
	restored.Seq, restored.Attempts, restored.FirstRanAt, restored.FirstRanZone = 40, 2, 55, 1
	restored.Frontend, restored.CallerWaits = "resp", true
	require.NoError(t, l.Restore(restored))
	require.NoError(t, l.Restore(goldenMessageAgain(restored)))
}

// goldenMessageAgain is the same message recorded a second time: the later record counts.
func goldenMessageAgain(e *Entry) *Entry {
	again := *e
	again.Attempts, again.Body = 3, []byte("second body")
	return &again
}

// goldenStates are what must be read for each of the three types of message, in the order of acceptance; the eighth of
// each is done.
var goldenStates = []Entry{
	{},
	{Attempts: 1},
	{Attempts: 1, FirstRanAt: 2_000, FirstRanZone: 2},
	{Attempts: 1, AttemptStartedAt: 3_000, AttemptZone: 3},
	{Attempts: 2, FirstRanAt: 4_000, FirstRanZone: 1, AttemptStartedAt: 5_000, AttemptZone: 70_000},
	{Answer: Rejected, RetryAfter: 1_500},
	{Answer: Failed},
}

func goldenPending() []*Entry {
	var pending []*Entry
	for k, kind := range [][2]string{{"idempotent", ""}, {"idempotent-with-key", "key-1"}, {"at-most-once", ""}} {
		for s, state := range goldenStates {
			e := goldenMessage(fmt.Sprintf("id-%d-%d", k, s), kind[0], kind[1], []byte{0, 1, 0xfe, 0xff, byte(s)})
			e.Seq, e.Attempts, e.Answer, e.RetryAfter = uint64(k*8+s+1), state.Attempts, state.Answer, state.RetryAfter
			e.FirstRanAt, e.FirstRanZone = state.FirstRanAt, state.FirstRanZone
			e.AttemptStartedAt, e.AttemptZone = state.AttemptStartedAt, state.AttemptZone
			pending = append(pending, e)
		}
	}
	named := goldenMessage("named", "idempotent", "", []byte("body"))
	waiting := goldenMessage("waiting", "idempotent", "", []byte("body"))
	named.Seq, named.Frontend = 25, "web"
	waiting.Seq, waiting.CallerWaits = 26, true
	restored := goldenMessage("restored", "at-most-once", "", []byte("second body"))
	restored.Seq, restored.Attempts, restored.FirstRanAt, restored.FirstRanZone = 40, 3, 55, 1
	restored.Frontend, restored.CallerWaits = "resp", true
	return append(pending, named, waiting, &Entry{Seq: 27, Body: []byte{}}, restored)
}

// requirePending checks that these messages and no others are pending, whatever file they are in.
func requirePending(t *testing.T, want, got []*Entry) {
	t.Helper()
	for _, e := range got {
		e.segment = 0
	}
	require.Equal(t, want, got)
}

func TestReadsLogWrittenByVersion1(t *testing.T) {
	dir := golden.Copy(t, goldenLog)
	l := openLog(t, dir)
	require.Zero(t, l.DroppedRecords)
	requirePending(t, goldenPending(), l.Pending())
	require.Equal(t, uint64(41), l.NextSeq())
	require.NoError(t, l.Close())
}

func TestInspectsLogWrittenByVersion1(t *testing.T) {
	v, err := Inspect(golden.Copy(t, goldenLog))
	require.NoError(t, err)
	require.Empty(t, v.DamagedRecords)
	require.Len(t, v.Files, 1)
	require.Equal(t, map[string]int{"document": 25, "document with front": 4, "transmission": 15, "end": 9, "over": 3,
		"answer": 6}, v.Files[0].Records)
	requirePending(t, goldenPending(), v.Pending)
}

func TestWritesSameBytesAsVersion1(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	writeGoldenLog(t, l)
	require.NoError(t, l.Close())
	golden.Compare(t, dir, goldenLog, processLock)
}

// writeCompactedLog fills a small log until its oldest segments are freed, by which what is pending in them is recorded
// anew. It returns the numbers that are pending at the end.
func writeCompactedLog(t *testing.T, l *Log) (pending []uint64) {
	for i := range 150 {
		e := goldenMessage(fmt.Sprintf("id-%d", i), "idempotent-with-key", "k", bytes.Repeat([]byte{byte(i)}, compactedBody))
		if i%2 == 1 {
			e.Frontend, e.CallerWaits = "web", i%4 == 1
		}
		require.NoError(t, l.Append(e))
		require.NoError(t, attempt(l, e.Seq, int64(100+i), i%3, i%5 == 0))
		if i%compactedPending == 0 {
			pending = append(pending, e.Seq)
			continue
		}
		require.NoError(t, l.RecordDone(e.Seq))
	}
	return pending
}

func TestReadsCompactedLogWrittenByVersion1(t *testing.T) {
	l, err := Open(golden.Copy(t, goldenCompacted), smallLimit)
	require.NoError(t, err)
	require.Zero(t, l.DroppedRecords)
	for i, e := range l.Pending() {
		n := i * compactedPending
		body := bytes.Repeat([]byte{byte(n)}, compactedBody)
		want := goldenMessage(fmt.Sprintf("id-%d", n), "idempotent-with-key", "k", body)
		want.Seq, want.Attempts, want.segment = uint64(n+1), 1, e.segment
		want.FirstRanAt, want.FirstRanZone = int64(100+n), n%3
		require.Equal(t, want, e)
	}
	require.Len(t, l.Pending(), 3)
	require.NoError(t, l.Close())
}

func TestCompactionWritesSameBytesAsVersion1(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir, smallLimit)
	require.NoError(t, err)
	pending := writeCompactedLog(t, l)
	require.Greater(t, l.segments[0].number, 1, "the first file was freed")
	var seqs []uint64
	for _, e := range l.Pending() {
		seqs = append(seqs, e.Seq)
	}
	require.True(t, slices.Equal(pending, seqs))
	require.NoError(t, l.Close())
	golden.Compare(t, dir, goldenCompacted, processLock)
}
