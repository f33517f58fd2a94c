package backlog

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// keyInLane identifies an ordering key and a lane for the counts in keyModel.check.
type keyInLane struct {
	key  uint64
	lane Lane
}

// keyModel has the messages that a store with ordered and unordered messages should hold.
type keyModel struct {
	messages map[uint64]*Message // by number
	next     uint64
}

var keyLanes = []Lane{{1, 1}, {1, 2}, {2, 1}, {3, 1}}

const modelKeys = 12 // few, so that messages share them; 0 is included

// read replaces the messages of the model with those of a store that was opened after a kill.
func (k *keyModel) read(t *testing.T, s *Store) {
	k.messages = map[uint64]*Message{}
	for _, lane := range s.Lanes() {
		messages, err := s.Head(lane, s.LaneMessages(lane))
		require.NoError(t, err)
		for _, m := range messages {
			k.messages[m.Seq] = m
		}
	}
}

// check compares the store's counts of keys and results of KeyInOtherLane with those of the model.
func (k *keyModel) check(t *testing.T, s *Store) {
	counts, lanesOf := map[keyInLane]uint32{}, map[uint64]map[Lane]bool{}
	for _, m := range k.messages {
		if !m.Ordered || m.Key == 0 {
			continue
		}
		counts[keyInLane{m.Key, m.Lane}]++
		if lanesOf[m.Key] == nil {
			lanesOf[m.Key] = map[Lane]bool{}
		}
		lanesOf[m.Key][m.Lane] = true
	}
	require.Equal(t, len(counts), s.keys.count)
	for of, messages := range counts {
		slot := s.keys.find(keySlot{key: hashKey(of.key), lane: s.lanes[of.lane].number})
		require.NotNil(t, slot)
		require.Equal(t, messages, slot.messages)
	}
	for key := range uint64(modelKeys) {
		for _, lane := range keyLanes {
			others := len(lanesOf[key])
			if lanesOf[key][lane] {
				others--
			}
			require.Equal(t, others > 0, s.KeyInOtherLane(key, lane), "key %d, lane %v", key, lane)
		}
	}
	checkStore(t, s)
}

// append stores a new message.
func (k *keyModel) append(s *Store, rng *rand.Rand) error {
	m := testMessage(keyLanes[rng.IntN(len(keyLanes))], k.next)
	k.next++
	m.Key, m.Ordered = rng.Uint64N(modelKeys), rng.IntN(4) > 0
	err := s.Append(m)
	if err == nil {
		k.messages[m.Seq] = m
	}
	return err
}

// release releases up to 30 messages from the head of a lane, or one of the first 30.
func (k *keyModel) release(s *Store, rng *rand.Rand) (released []*Message, err error) {
	lane := keyLanes[rng.IntN(len(keyLanes))]
	messages, err := s.Head(lane, 1+rng.IntN(30))
	if err != nil || len(messages) == 0 {
		return nil, err
	}
	if rng.IntN(2) == 0 {
		messages = messages[len(messages)-1:]
	}
	if err := s.Release(refsOf(messages)); err != nil {
		return nil, err
	}
	for _, m := range messages {
		delete(k.messages, m.Seq)
	}
	return messages, nil
}

// spillAgain releases messages and stores them again, the newest first, as if they were loaded and then spilled.
func (k *keyModel) spillAgain(s *Store, rng *rand.Rand) error {
	messages, err := k.release(s, rng)
	for i := len(messages) - 1; i >= 0 && err == nil; i-- {
		if err = s.Append(messages[i]); err == nil {
			k.messages[messages[i].Seq] = messages[i]
		}
	}
	return err
}

func (k *keyModel) randomOperation(s *Store, rng *rand.Rand) (err error) {
	switch rng.IntN(8) {
	case 0, 1, 2, 3:
		err = k.append(s, rng)
	case 4, 5:
		_, err = k.release(s, rng)
	default:
		err = k.spillAgain(s, rng)
	}
	if errors.Is(err, ErrFull) || errors.Is(err, ErrOrder) {
		return nil
	}
	return err
}

// The counts of keys match the model after appends, releases, spills, restarts, and kills that leave two copies of
// messages because they interrupt compaction.
func TestKeyTableMatchesModel(t *testing.T) {
	rng := rand.New(rand.NewPCG(31, 7))
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	k := &keyModel{messages: map[uint64]*Message{}, next: 1}
	kills, reopens := 0, 0
	for range 600 {
		willKill := rng.IntN(2) == 0
		if willKill {
			files.kill, files.failAt, files.extraFailures, files.leftover = true, files.calls+1+rng.IntN(30), 1, leavesAll
		}
		var err error
		for range 20 {
			if err = k.randomOperation(s, rng); err != nil {
				break
			}
			if !files.kill {
				k.check(t, s)
			}
		}
		if err != nil || files.killed {
			kills++
			files = files.afterKill()
			s = openStore(t, files, smallBounds)
			k.read(t, s)
		} else {
			reopens++
			files.kill, files.failAt = false, 0
			require.NoError(t, s.Close())
			s = openStore(t, files, smallBounds)
		}
		k.check(t, s)
	}
	require.Greater(t, kills, 100)
	require.Greater(t, reopens, 100)
	require.Greater(t, s.segments[0].number, uint32(50), "segments were freed during the test")
}

// The table has no slot for a key whose last message was released.
func TestReleaseRemovesKeys(t *testing.T) {
	const keys = 20_000
	s := openStore(t, newMemFS(), Bounds{Bytes: 64 << 20})
	var refs []Ref
	for seq := uint64(1); seq <= keys; seq++ {
		m := &Message{Seq: seq, Lane: Lane{seq % 50, 1}, Key: seq << 40, Ordered: true}
		require.NoError(t, s.Append(m))
		refs = append(refs, m.Ref())
	}
	require.Equal(t, keys, s.keys.count)
	require.True(t, s.KeyInOtherLane(7<<40, Lane{8, 1}))
	require.False(t, s.KeyInOtherLane(7<<40, Lane{7, 1}))
	require.True(t, s.KeyInOtherLane(7<<40, Lane{99, 1}), "a lane without stored messages")
	for _, ref := range refs {
		require.NoError(t, s.Release([]Ref{ref}))
	}
	for lane := uint64(100); lane < 300; lane++ { // one stored message at a time
		m := &Message{Seq: keys + lane, Lane: Lane{lane, 1}, Key: 7 << 40, Ordered: true}
		require.NoError(t, s.Append(m))
		require.False(t, s.KeyInOtherLane(m.Key, m.Lane))
		require.True(t, s.KeyInOtherLane(m.Key, Lane{lane + 1, 1}))
		require.NoError(t, s.Release([]Ref{m.Ref()}))
	}
	require.Zero(t, s.keys.count)
	slots := 0
	for i := range s.keys.shards {
		slots += len(s.keys.shards[i].slots)
	}
	require.LessOrEqual(t, slots, shardCount*minSlots, "memory is freed")
	require.LessOrEqual(t, s.numbers.last, uint32(50), "lane numbers are reused")
}

// Messages of an unordered type or without a key are not counted, so they cannot delay others.
func TestUnorderedMessagesAreNotCounted(t *testing.T) {
	s := openStore(t, newMemFS(), smallBounds)
	require.NoError(t, s.Append(&Message{Seq: 1, Lane: keyLanes[0], ID: "a", Key: 5}))
	require.NoError(t, s.Append(&Message{Seq: 2, Lane: keyLanes[0], ID: "b", Ordered: true}))
	require.False(t, s.KeyInOtherLane(5, keyLanes[1]))
	require.False(t, s.KeyInOtherLane(0, keyLanes[1]))
	require.NoError(t, s.Append(&Message{Seq: 3, Lane: keyLanes[0], ID: "c", Key: 5, Ordered: true}))
	require.True(t, s.KeyInOtherLane(5, keyLanes[1]))
}

// A message that was spilled when its lane had a newer stored message, since released, and of which an interrupted
// compaction left two copies is found once after a restart.
func TestReplayOfCopiedMessageFindsItOnce(t *testing.T) {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	newer, older := testMessage(testLanes[0], 10), testMessage(testLanes[0], 5)
	newer.Key, newer.Ordered = 3, true
	older.Key, older.Ordered = 3, true
	require.NoError(t, s.Append(newer))
	require.NoError(t, s.Append(older))
	require.NoError(t, s.Release([]Ref{newer.Ref()}))
	b := older.encode(beginRecord(nil, kindMessage))
	endRecord(b, 0)
	_, _, err := s.write(b)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	s = openStore(t, files, smallBounds)
	require.Equal(t, []uint64{5}, headSeqs(t, s, testLanes[0], 10))
	require.Equal(t, 1, s.Messages())
	checkStore(t, s)
	require.NoError(t, s.Release([]Ref{older.Ref()}))
	require.Zero(t, s.Messages())
	require.False(t, s.KeyInOtherLane(3, testLanes[1]))
}
