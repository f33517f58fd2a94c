package backlog

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func openStore(t *testing.T, files FS, bounds Bounds) *Store {
	s, err := Open(files, testDir, bounds)
	require.NoError(t, err)
	return s
}

func seqsOf(ms []*Message) []uint64 {
	seqs := []uint64{}
	for _, m := range ms {
		seqs = append(seqs, m.Seq)
	}
	return seqs
}

func headSeqs(t *testing.T, s *Store, lane Lane, n int) []uint64 {
	ms, err := s.Head(lane, n)
	require.NoError(t, err)
	return seqsOf(ms)
}

func refsOf(ms []*Message) []Ref {
	refs := make([]Ref, len(ms))
	for i, m := range ms {
		refs[i] = m.Ref()
	}
	return refs
}

// harness is a minimal forwarder that accepts messages, moves them, and delivers them in the order of their lane. Its
// records of what clients and destinations have observed are kept when the simulated process is killed.
type harness struct {
	fs       *memFS
	bounds   Bounds
	log      *testLog
	store    *Store
	mover    *Mover
	inMemory map[Lane][]*Message
	next     uint64

	accepted         map[uint64]*Message // messages whose clients were answered that they are accepted
	acceptUnanswered uint64              // number of the message whose client has no such answer yet; 0 means none
	done             map[uint64]bool     // delivered messages
	doneUnrecorded   uint64              // number of the message whose delivery is being recorded; 0 means none
	doneByLane       map[Lane][]uint64   // in the order of delivery
	expired          map[uint64]bool     // answered as expired, without a delivery
}

var testLanes = []Lane{{1, 1}, {1, 2}, {2, 1}}

func newHarness(files *memFS, bounds Bounds) *harness {
	return &harness{fs: files, bounds: bounds, next: 1, accepted: map[uint64]*Message{}, done: map[uint64]bool{},
		doneByLane: map[Lane][]uint64{}, expired: map[uint64]bool{}}
}

// start simulates the start of a process: it reads the log and the store and resolves interrupted moves.
func (h *harness) start() (err error) {
	h.inMemory = map[Lane][]*Message{}
	if h.log, err = openTestLog(h.fs); err != nil {
		return err
	}
	if h.store, err = Open(h.fs, testDir, h.bounds); err != nil {
		return err
	}
	h.mover = NewMover(h.log, h.store)
	var pending []Ref
	for _, m := range h.log.pending {
		pending = append(pending, m.Ref())
		h.next = max(h.next, m.Seq+1)
	}
	h.next = max(h.next, h.store.LastSeq()+1)
	overtaking, err := h.mover.Resolve(pending)
	if err != nil {
		return err
	}
	expired := map[uint64]bool{}
	for _, ref := range overtaking {
		expired[ref.Seq] = true
	}
	for _, m := range h.log.pending {
		if !expired[m.Seq] {
			h.inMemory[m.Lane] = append(h.inMemory[m.Lane], m)
		}
	}
	for _, ms := range h.inMemory {
		slices.SortFunc(ms, func(a, b *Message) int { return cmp.Compare(a.Seq, b.Seq) })
	}
	for _, ref := range overtaking {
		if err := h.answerExpired(h.log.pending[ref.Seq]); err != nil {
			return err
		}
	}
	return nil
}

func testMessage(lane Lane, seq uint64) *Message {
	return &Message{Seq: seq, Lane: lane, Key: seq % 5, Type: "order", ID: fmt.Sprintf("id-%d", seq),
		Body:       []byte(fmt.Sprint("body of ", seq)),
		AcceptedAt: int64(seq), Expiry: int64(1000 + seq*7919%997), Attempts: uint32(seq % 3),
		MayHaveRun: int64(seq % 2 * 77), MayHaveRunZone: uint32(seq % 4), DeduplicationKey: fmt.Sprint("k", seq),
		DeduplicationEnd: int64(seq * 3),
		Frontend:         "web",
		CallerWaits:      seq%4 == 0}
}

// accept accepts a new message. It is stored if its lane has stored messages, and recorded in the log otherwise.
func (h *harness) accept(lane Lane) error {
	m := testMessage(lane, h.next)
	h.next++
	h.acceptUnanswered = m.Seq
	var err error
	if h.store.LaneMessages(lane) > 0 {
		err = h.store.Append(m)
	} else if err = h.log.Restore(m); err == nil {
		h.inMemory[lane] = append(h.inMemory[lane], m)
	}
	if errors.Is(err, errKilled) {
		return err
	}
	h.acceptUnanswered = 0
	if err == nil {
		h.accepted[m.Seq] = m
	}
	return err
}

// spill moves the messages of a lane to the store, except the first ones up to window.
func (h *harness) spill(lane Lane, window int) error {
	ms := h.inMemory[lane]
	if len(ms) <= window {
		return nil
	}
	moved, err := h.mover.Spill(ms[window:])
	h.inMemory[lane] = ms[:len(ms)-moved]
	return err
}

func (h *harness) load(lane Lane, n int) error {
	batch, err := h.mover.Load(lane, n)
	return errors.Join(err, h.takeBatch(batch))
}

// loadExpired loads and answers up to n messages that have expired.
func (h *harness) loadExpired(now int64, n int) error {
	batch, err := h.mover.LoadExpired(now, n)
	return errors.Join(err, h.takeBatch(batch))
}

// takeBatch adds loaded messages to those in memory or, if they have expired, answers them.
func (h *harness) takeBatch(batch Batch) (err error) {
	for _, m := range batch.Messages {
		if !batch.Expired {
			h.inMemory[m.Lane] = append(h.inMemory[m.Lane], m)
		} else if answerErr := h.answerExpired(m); answerErr != nil { // it will be answered again after a restart
			err = answerErr
		}
	}
	return err
}

func (h *harness) answerExpired(m *Message) error {
	h.expired[m.Seq] = true
	return h.log.Forget(m.Seq)
}

// finish delivers the first n messages of a lane that are in memory.
func (h *harness) finish(lane Lane, n int) error {
	for range n {
		if len(h.inMemory[lane]) == 0 {
			return nil
		}
		m := h.inMemory[lane][0]
		h.doneUnrecorded = m.Seq
		if err := h.log.Forget(m.Seq); err != nil {
			if !errors.Is(err, errKilled) {
				h.doneUnrecorded = 0
			}
			return err
		}
		h.recordDelivery(m)
		h.inMemory[lane] = h.inMemory[lane][1:]
	}
	return nil
}

func (h *harness) recordDelivery(m *Message) {
	h.doneUnrecorded = 0
	h.done[m.Seq] = true
	h.doneByLane[m.Lane] = append(h.doneByLane[m.Lane], m.Seq)
}

// locations counts for each message in how many places it is: in memory and in the store.
func (h *harness) locations(t *testing.T) map[uint64]int {
	locations := map[uint64]int{}
	for lane, ms := range h.inMemory {
		for _, m := range ms {
			locations[m.Seq]++
			require.Equal(t, lane, m.Lane)
			if known := h.accepted[m.Seq]; known != nil {
				require.Equal(t, known, m, "as it was accepted, with its history")
			}
		}
	}
	for _, lane := range h.store.Lanes() {
		ms, err := h.store.Head(lane, h.store.LaneMessages(lane))
		require.NoError(t, err)
		require.Len(t, ms, h.store.LaneMessages(lane))
		for i, m := range ms {
			locations[m.Seq]++
			if i > 0 {
				require.Greater(t, m.Seq, ms[i-1].Seq, "the order of acceptance")
			}
			if known := h.accepted[m.Seq]; known != nil {
				require.Equal(t, known, m, "as it was accepted, with its history")
			}
		}
		if inMemory := h.inMemory[lane]; len(inMemory) > 0 && len(ms) > 0 {
			require.Less(t, inMemory[len(inMemory)-1].Seq, ms[0].Seq, "messages in memory are older than stored ones")
		}
	}
	return locations
}

// check requires that no message is lost, duplicated or delivered twice, and that the deliveries of each lane are in
// order.
func (h *harness) check(t *testing.T) {
	locations := h.locations(t)
	if h.acceptUnanswered != 0 { // its client had no answer, so it may or may not have been accepted
		if locations[h.acceptUnanswered] > 0 {
			h.accepted[h.acceptUnanswered] = testMessage(h.find(h.acceptUnanswered).Lane, h.acceptUnanswered)
		}
		h.acceptUnanswered = 0
	}
	if m := h.accepted[h.doneUnrecorded]; m != nil { // it was delivered, and the log may have recorded that
		if locations[h.doneUnrecorded] == 0 {
			h.recordDelivery(m)
		}
		h.doneUnrecorded = 0
	}
	for seq := range h.accepted {
		if h.done[seq] {
			require.Zero(t, locations[seq], "message %d would be delivered twice", seq)
		} else if h.expired[seq] { // answered; it is still pending if writing to the log failed
			require.LessOrEqual(t, locations[seq], 1, "message %d", seq)
		} else {
			require.Equal(t, 1, locations[seq], "message %d", seq)
		}
	}
	for seq := range locations {
		require.NotNil(t, h.accepted[seq], "message %d is present although it was refused", seq)
	}
	for lane, seqs := range h.doneByLane {
		require.True(t, slices.IsSorted(seqs), "order of %v: %v", lane, seqs)
	}
	checkStore(t, h.store)
}

func (h *harness) find(seq uint64) *Message {
	for _, ms := range h.inMemory {
		for _, m := range ms {
			if m.Seq == seq {
				return m
			}
		}
	}
	for _, lane := range h.store.Lanes() {
		ms, _ := h.store.Head(lane, h.store.LaneMessages(lane))
		for _, m := range ms {
			if m.Seq == seq {
				return m
			}
		}
	}
	return nil
}

// checkStore checks the invariants of a store.
func checkStore(t *testing.T, s *Store) {
	messages, bytes, live := 0, int64(0), map[uint32]int{}
	for _, l := range s.lanes {
		require.True(t, l.first().live())
		require.True(t, l.last().live())
		laneLive, states := 0, [stateCount]int{}
		for ordinal := l.begin; ordinal != l.end; ordinal++ {
			e := l.at(ordinal)
			if ordinal != l.begin {
				require.Greater(t, e.seq, l.at(ordinal-1).seq)
			}
			if !e.live() {
				continue
			}
			require.Equal(t, ordinal, l.heap[e.heapPos-1])
			laneLive++
			states[e.state()]++
			bytes += e.size()
			live[e.segment]++
		}
		for i := 1; i < len(l.heap); i++ {
			require.False(t, l.less(i, (i-1)/2), "the heap of a lane")
		}
		require.Equal(t, l, s.expiries[l.heapIndex])
		require.Equal(t, laneLive, l.liveCount())
		require.Equal(t, states, l.states)
		messages += laneLive
	}
	for i := 1; i < len(s.expiries); i++ {
		require.False(t, s.expiries.Less(i, (i-1)/2), "the heap of lanes")
	}
	require.Len(t, s.expiries, len(s.lanes))
	require.Equal(t, messages, s.messages)
	require.Equal(t, bytes, s.bytes)
	require.Equal(t, messages, s.ids.count)
	for _, g := range s.segments {
		require.Equal(t, live[g.number], g.live, "segment %d", g.number)
	}
}

// randomOperation does one operation chosen at random.
func (h *harness) randomOperation(rng *rand.Rand) error {
	lane := testLanes[rng.IntN(len(testLanes))]
	switch rng.IntN(9) {
	case 0, 1, 2, 3:
		return h.accept(lane)
	case 4:
		return h.spill(lane, rng.IntN(4))
	case 5, 6:
		return h.load(lane, 1+rng.IntN(5))
	case 7:
		return h.finish(lane, 1+rng.IntN(6))
	}
	return h.loadExpired(int64(1000+rng.IntN(200)), 1+rng.IntN(4))
}

// drain delivers all pending messages.
func (h *harness) drain() error {
	for _, lane := range testLanes {
		for {
			if err := h.finish(lane, len(h.inMemory[lane])); err != nil {
				return err
			}
			if h.store.LaneMessages(lane) == 0 && len(h.inMemory[lane]) == 0 {
				break
			}
			if err := h.load(lane, 5); err != nil {
				return err
			}
		}
	}
	return nil
}
