package backlog

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/golden"
	"spanflow/internal/wal"
)

// The folders in testdata were written by version 1 of the format. The tests check that such stores can be read and
// that the same operations still write the same bytes. Totals, expiries and states are not stored but computed from
// the records, so the tests check them after reading.
const (
	goldenStore     = "version1" // has each kind of record, in several segments
	goldenFreed     = "freed"    // a store in which old segments were freed
	goldenMoved     = "moved"    // a write-ahead log and its store, after messages were spilled and loaded
	goldenStoreName = "backlog"  // the store's folder within the folder of the write-ahead log

	pidFile    = "backlog.lock" // has the process id, which differs between runs
	logPIDFile = "owner"        // the same for the write-ahead log
)

var (
	goldenBounds = Bounds{Bytes: 64 << 10, SegmentBytes: 1 << 10}
	goldenLanes  = []Lane{
		{Destination: 7, Tenant: 1},
		{Destination: 7, Tenant: 2},
		{Destination: 1 << 40, Tenant: 1 << 31},
	}
)

// goldenKind is a message type with the fields of a record that depend on its idempotency.
type goldenKind struct {
	name    string
	key     string
	keyEnd  int64
	ordered bool
}

var goldenKinds = []goldenKind{
	{name: "idempotent"},
	{name: "idempotent-with-key", key: "key", keyEnd: 1_700_000_600_000_000},
	{name: "at-most-once", ordered: true},
}

// goldenMessage returns a message with fixed content. Its number determines its kind and state.
func goldenMessage(lane Lane, seq uint64) *Message {
	kind := goldenKinds[seq%3]
	m := &Message{Seq: seq, Lane: lane, Key: seq % 4 * 0x1122334455667788, Ordered: kind.ordered, Type: kind.name,
		ID: fmt.Sprintf("id-%d", seq), Body: []byte{0, 1, 0xfe, 0xff, byte(seq)},
		AcceptedAt: int64(1_700_000_000_000_000 + seq), Expiry: int64(1_700_000_016_000_000 - seq*7),
		DeduplicationKey: kind.key, DeduplicationEnd: kind.keyEnd}
	switch state := State(seq / 3 % 3); state {
	case MayHaveRun:
		m.Attempts, m.MayHaveRun, m.MayHaveRunZone = 3, int64(1_700_000_001_000_000+seq), 70_000
	case Tried:
		m.Attempts = 2
	}
	if seq%5 == 0 {
		m.Frontend = "web"
	}
	m.CallerWaits = seq%7 == 0
	return m
}

func goldenRef(lane Lane, seq uint64) Ref { return goldenMessage(lane, seq).Ref() }

func openGolden(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(OS{}, dir, goldenBounds)
	require.NoError(t, err)
	return s
}

// writeGoldenStore stores messages of each kind and state, one of them older than the rest of its lane, and releases
// some.
func writeGoldenStore(t *testing.T, s *Store) {
	for seq := uint64(10); seq < 37; seq++ {
		require.NoError(t, s.Append(goldenMessage(goldenLanes[seq%2], seq)))
	}
	require.NoError(t, s.Append(goldenMessage(goldenLanes[0], 5)), "older than all others of its lane")
	empty := &Message{Seq: 40, Lane: goldenLanes[2]}
	require.NoError(t, s.Append(empty))
	require.NoError(t, s.Release([]Ref{
		goldenRef(goldenLanes[0], 5), goldenRef(goldenLanes[0], 12), goldenRef(goldenLanes[1], 13)}))
	require.NoError(t, s.Release([]Ref{goldenRef(goldenLanes[1], 35)}))
}

// requireGoldenStore checks that a store has the content that writeGoldenStore wrote.
func requireGoldenStore(t *testing.T, s *Store) {
	t.Helper()
	released := map[uint64]bool{12: true, 13: true, 35: true}
	want := map[Lane][]*Message{goldenLanes[2]: {{Seq: 40, Lane: goldenLanes[2]}}}
	states := [stateCount]int{Untried: 1}
	for seq := uint64(10); seq < 37; seq++ {
		require.Equal(t, !released[seq], s.HasID(fmt.Sprintf("id-%d", seq)))
		if lane := goldenLanes[seq%2]; !released[seq] {
			m := goldenMessage(lane, seq)
			want[lane] = append(want[lane], m)
			states[m.State()]++
		}
	}
	for _, lane := range goldenLanes {
		got, err := s.Head(lane, 100)
		require.NoError(t, err)
		require.Equal(t, want[lane], got)
	}
	require.Equal(t, 25, s.Messages())
	require.Equal(t, states, s.States())
	require.Equal(t, uint64(40), s.LastSeq())
	oldest, err := s.Oldest()
	require.NoError(t, err)
	require.Equal(t, int64(1_700_000_000_000_010), oldest)
	requireGoldenKeysAndExpiries(t, s)
}

func requireGoldenKeysAndExpiries(t *testing.T, s *Store) {
	t.Helper()
	key := goldenMessage(goldenLanes[1], 11).Key
	require.NotZero(t, key)
	require.True(t, s.KeyInOtherLane(key, goldenLanes[0]))
	require.False(t, s.KeyInOtherLane(key, goldenLanes[1]), "only odd numbers have this key, all in one lane")
	next, ok := s.NextExpiry()
	require.True(t, ok)
	require.Zero(t, next, "expiry of the empty message")
	expired, err := s.Expired(1_700_000_016_000_000-36*7, 2)
	require.NoError(t, err)
	require.Equal(t, []uint64{40, 36}, seqsOf(expired))
}

func TestReadsStoreWrittenByVersion1(t *testing.T) {
	dir := golden.Copy(t, goldenStore)
	s := openGolden(t, dir)
	requireGoldenStore(t, s)
	require.NoError(t, s.Close())
	golden.Compare(t, dir, goldenStore, pidFile) // reading changes nothing
}

func TestInspectsStoreWrittenByVersion1(t *testing.T) {
	dir := golden.Copy(t, goldenStore)
	v, err := Inspect(OS{}, dir)
	require.NoError(t, err)
	requireGoldenStore(t, v.store)
	require.NoError(t, v.Close())
	reports, err := Verify(OS{}, dir)
	require.NoError(t, err)
	messages, releases := 0, 0
	for _, r := range reports {
		require.NoError(t, r.Fault)
		require.Zero(t, r.Torn)
		messages, releases = messages+r.Messages, releases+r.Releases
	}
	require.Greater(t, len(reports), 1)
	require.Equal(t, 29, messages)
	require.Equal(t, 3, releases)
}

func TestWritesSameBytesAsVersion1(t *testing.T) {
	dir := t.TempDir()
	s := openGolden(t, dir)
	writeGoldenStore(t, s)
	require.NoError(t, s.Close())
	golden.Compare(t, dir, goldenStore, pidFile)
}

const (
	freedMessages = 200
	freedKept     = 40 // one message in 40 is not released
)

func TestCompactionWritesSameBytesAsVersion1(t *testing.T) {
	dir := t.TempDir()
	s := openGolden(t, dir)
	for seq := uint64(1); seq <= freedMessages; seq++ {
		lane := goldenLanes[seq%2]
		require.NoError(t, s.Append(goldenMessage(lane, seq)))
		if seq%freedKept != 0 {
			require.NoError(t, s.Release([]Ref{goldenRef(lane, seq)}))
		}
	}
	require.Greater(t, s.segments[0].number, uint32(1), "old segments were freed")
	require.NoError(t, s.Close())
	golden.Compare(t, dir, goldenFreed, pidFile)
}

func TestReadsCompactedStoreWrittenByVersion1(t *testing.T) {
	s := openGolden(t, golden.Copy(t, goldenFreed))
	got, err := s.Head(goldenLanes[0], freedMessages)
	require.NoError(t, err)
	var want []*Message
	for seq := uint64(freedKept); seq <= freedMessages; seq += freedKept {
		want = append(want, goldenMessage(goldenLanes[0], seq))
	}
	require.Equal(t, want, got)
	require.Equal(t, len(want), s.Messages())
	require.Equal(t, uint64(freedMessages), s.LastSeq())
	require.NoError(t, s.Close())
}

// movedMessage is a golden message without the fields that the write-ahead log does not keep.
func movedMessage(seq uint64) *Message {
	m := goldenMessage(goldenLanes[0], seq)
	m.AcceptedAt, m.DeduplicationEnd, m.Ordered = 0, 0, false
	return m
}

func openMoved(t *testing.T, dir string) (*wal.Log, *Store) {
	t.Helper()
	log, err := wal.Open(dir, walBytes)
	require.NoError(t, err)
	return log, openGolden(t, filepath.Join(dir, goldenStoreName))
}

func closeMoved(t *testing.T, log *wal.Log, s *Store) {
	t.Helper()
	require.NoError(t, s.Close())
	require.NoError(t, log.Close())
}

func TestMovesWriteSameBytesAsVersion1(t *testing.T) {
	dir := t.TempDir()
	log, s := openMoved(t, dir)
	mover := NewMover(walLog{log}, s)
	var messages []*Message
	for seq := uint64(1); seq <= 12; seq++ {
		m := movedMessage(seq)
		require.NoError(t, log.Restore(entryOf(m)))
		messages = append(messages, m)
	}
	moved, err := mover.Spill(messages[3:])
	require.NoError(t, err)
	require.Equal(t, 9, moved)
	batch, err := mover.Load(goldenLanes[0], 2)
	require.NoError(t, err)
	require.Equal(t, messages[3:5], batch.Messages)
	batch, err = mover.LoadExpired(messages[11].Expiry, 1)
	require.NoError(t, err)
	require.True(t, batch.Expired)
	require.Equal(t, messages[11:], batch.Messages)
	closeMoved(t, log, s)
	golden.Compare(t, dir, goldenMoved, pidFile, logPIDFile)
}

func TestReadsMovesWrittenByVersion1(t *testing.T) {
	log, s := openMoved(t, golden.Copy(t, goldenMoved))
	var seqs []uint64
	var refs []Ref
	for _, e := range log.Pending() {
		require.Equal(t, movedMessage(e.Seq), messageOf(e))
		seqs, refs = append(seqs, e.Seq), append(refs, messageOf(e).Ref())
	}
	require.Equal(t, []uint64{1, 2, 3, 4, 5, 12}, seqs)
	stored, err := s.Head(goldenLanes[0], 100)
	require.NoError(t, err)
	require.Len(t, stored, 6)
	for i, m := range stored {
		require.Equal(t, movedMessage(uint64(6+i)), m)
	}
	overtaking, err := NewMover(walLog{log}, s).Resolve(refs)
	require.NoError(t, err)
	require.Equal(t, refs[5:], overtaking, "loaded because it had expired")
	closeMoved(t, log, s)
}
