package wal

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/golden"
)

// The files in testdata were written by version 1 of the format. This release must be able to read them, and must write
// the same bytes.
const (
	goldenLog       = "version1"  // each kind of record
	goldenCompacted = "compacted" // after old files were freed

	smallLimit       = 350_000 // bytes, close to the smallest limit that Open accepts
	compactedBody    = 4_000   // bytes
	compactedPending = 50      // one in 50 messages is pending at the end
	ownerFile        = "owner" // contains a process id
)

// goldenMessage returns a pending message with fixed content. Only messages that are idempotent by their key have an
// idempotency key.
func goldenMessage(id, messageType, key string, body []byte) *Entry {
	return &Entry{Key: 0x1122334455667788, Destination: 7, Tenant: 3, Type: messageType, ID: id, IdempotencyKey: key,
		Expiry: 1_700_000_000_123_456, Body: body}
}

// writeGoldenLog writes all kinds of records, and messages in all states.
func writeGoldenLog(t *testing.T, l *Log) {
	messageTypes := [][2]string{{"idempotent", ""}, {"idempotent-with-key", "key-1"}, {"at-most-once", ""}}
	states := []func(seq uint64) error{
		func(uint64) error { return nil }, // untried
		func(seq uint64) error { return attempt(l, seq, 1_000, 1, AttemptNotRun) },
		func(seq uint64) error { return attempt(l, seq, 2_000, 2, AttemptMayHaveRun) },
		func(seq uint64) error { return l.RecordAttempt(seq, 3_000, 3) },
		func(seq uint64) error { // an attempt in flight after one that may have run
			if err := attempt(l, seq, 4_000, 1, AttemptMayHaveRun); err != nil {
				return err
			}
			return l.RecordAttempt(seq, 5_000, 70_000)
		},
		func(seq uint64) error { return l.RecordAnswer(seq, Rejected, 1_500) },
		func(seq uint64) error { return l.RecordAnswer(seq, Failed, 0) },
		l.RecordDone,
	}
	for k, messageType := range messageTypes {
		for s, state := range states {
			e := goldenMessage(fmt.Sprintf("id-%d-%d", k, s), messageType[0], messageType[1], []byte{0, 1, 0xfe, 0xff, byte(s)})
			require.NoError(t, l.Append(e))
			require.NoError(t, state(e.Seq))
		}
	}
	writeGoldenFrontends(t, l)
}

func attempt(l *Log, seq uint64, at int64, zone int, end AttemptEnd) error {
	if err := l.RecordAttempt(seq, at, zone); err != nil {
		return err
	}
	return l.RecordAttemptEnd(seq, end)
}

// writeGoldenFrontends writes messages with a frontend, an empty message, and one restored from the backlog store with
// its history.
func writeGoldenFrontends(t *testing.T, l *Log) {
	named := goldenMessage("named", "idempotent", "", []byte("body"))
	named.Frontend = "web"
	require.NoError(t, l.Append(named))
	waiting := goldenMessage("waiting", "idempotent", "", []byte("body"))
	waiting.CallerWaits = true
	require.NoError(t, l.Append(waiting))
	require.NoError(t, l.Append(&Entry{}))
	require.Equal(t, uint64(28), l.NextSeq(), "for a message in the backlog store")
	restored := goldenMessage("restored", "at-most-once", "", []byte("body"))
	restored.Seq, restored.Attempts, restored.FirstRanAt, restored.FirstRanZone = 40, 2, 55, 1
	restored.Frontend, restored.CallerWaits = "resp", true
	require.NoError(t, l.Restore(restored))
	require.NoError(t, l.Restore(withSecondBody(restored)))
}

// withSecondBody returns a copy with another body and one more attempt, for a second record of the same message. The
// later record counts.
func withSecondBody(e *Entry) *Entry {
	again := *e
	again.Attempts, again.Body = 3, []byte("second body")
	return &again
}

// goldenStates are the expected states of the pending messages of each type, in the order of acceptance. The eighth
// message of each type is done.
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
	for k, messageType := range [][2]string{{"idempotent", ""}, {"idempotent-with-key", "key-1"}, {"at-most-once", ""}} {
		for s, state := range goldenStates {
			e := goldenMessage(fmt.Sprintf("id-%d-%d", k, s), messageType[0], messageType[1], []byte{0, 1, 0xfe, 0xff, byte(s)})
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

// requirePending checks that exactly the wanted messages are pending, in any segment.
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
	golden.Compare(t, dir, goldenLog, ownerFile)
}

// writeCompactedLog fills a small log until its oldest segments are freed and their pending entries recorded again. It
// returns the sequence numbers of the entries pending at the end.
func writeCompactedLog(t *testing.T, l *Log) (pending []uint64) {
	for i := range 150 {
		e := goldenMessage(fmt.Sprintf("id-%d", i), "idempotent-with-key", "k", bytes.Repeat([]byte{byte(i)}, compactedBody))
		if i%2 == 1 {
			e.Frontend, e.CallerWaits = "web", i%4 == 1
		}
		require.NoError(t, l.Append(e))
		end := AttemptNotRun
		if i%5 == 0 {
			end = AttemptMayHaveRun
		}
		require.NoError(t, attempt(l, e.Seq, int64(100+i), i%3, end))
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
	golden.Compare(t, dir, goldenCompacted, ownerFile)
}
