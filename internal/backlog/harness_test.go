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

// harness is a minimal forwarder: it accepts messages, moves them, and delivers them lane by lane in order. What
// clients and destinations know survives its process.
type harness struct {
	fs     *memFS
	bounds Bounds
	log    *testLog
	store  *Store
	mover  *Mover
	held   map[Lane][]*Message
	next   uint64

	accepted         map[uint64]*Message // whose clients have had that answer
	acceptUnanswered uint64              // the message whose client waits for that answer; 0: none
	done             map[uint64]bool     // that have had their effect
	doneUnrecorded   uint64              // the message whose effect is being recorded; 0: none
	doneByLane       map[Lane][]uint64   // in the order of their effects
	expired          map[uint64]bool     // answered at the end of their time, without an effect
}

var testLanes = []Lane{{1, 1}, {1, 2}, {2, 1}}

func newHarness(files *memFS, bounds Bounds) *harness {
	return &harness{fs: files, bounds: bounds, next: 1, accepted: map[uint64]*Message{}, done: map[uint64]bool{},
		doneByLane: map[Lane][]uint64{}, expired: map[uint64]bool{}}
}

// start begins a process: it reads the log and the store and resolves interrupted moves.
func (h *harness) start() (err error) {
	h.held = map[Lane][]*Message{}
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
	answer := map[uint64]bool{}
	for _, ref := range overtaking {
		answer[ref.Seq] = true
	}
	for _, m := range h.log.pending {
		if !answer[m.Seq] {
			h.held[m.Lane] = append(h.held[m.Lane], m)
		}
	}
	for _, ms := range h.held {
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
		AcceptedAt: int64(seq), Expiry: int64(1000 + seq*7919%997), Attempts: uint32(seq % 3), MayHaveRun: int64(seq % 2 * 77),
		MayHaveRunZone: uint32(seq % 4), DeduplicationKey: fmt.Sprint("k", seq), DeduplicationEnd: int64(seq * 3),
		Frontend:    "web",
		CallerWaits: seq%4 == 0}
}

// accept takes a new message: into the store if its lane has messages there, else into the log.
func (h *harness) accept(lane Lane) error {
	m := testMessage(lane, h.next)
	h.next++
	h.acceptUnanswered = m.Seq
	var err error
	if h.store.LaneMessages(lane) > 0 {
		err = h.store.Append(m)
	} else if err = h.log.Restore(m); err == nil {
		h.held[lane] = append(h.held[lane], m)
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

// spill moves all but the first messages of a lane to the store.
func (h *harness) spill(lane Lane, window int) error {
	ms := h.held[lane]
	if len(ms) <= window {
		return nil
	}
	moved, err := h.mover.Spill(ms[window:])
	h.held[lane] = ms[:len(ms)-moved]
	return err
}

func (h *harness) bringBack(lane Lane, n int) error {
	batch, err := h.mover.Load(lane, n)
	return errors.Join(err, h.handOver(batch))
}

// expire answers some whose time is over.
func (h *harness) expire(now int64, n int) error {
	batch, err := h.mover.LoadExpired(now, n)
	return errors.Join(err, h.handOver(batch))
}

// handOver passes messages that were brought back to the scheduler, or answers them.
func (h *harness) handOver(batch Batch) (err error) {
	for _, m := range batch.Messages {
		if !batch.Expired {
			h.held[m.Lane] = append(h.held[m.Lane], m)
		} else if answerErr := h.answerExpired(m); answerErr != nil { // as today, it is answered again after a restart
			err = answerErr
		}
	}
	return err
}

func (h *harness) answerExpired(m *Message) error {
	h.expired[m.Seq] = true
	return h.log.Forget(m.Seq)
}

// finish gives the first messages of a lane their effect.
func (h *harness) finish(lane Lane, n int) error {
	for range n {
		if len(h.held[lane]) == 0 {
			return nil
		}
		m := h.held[lane][0]
		h.doneUnrecorded = m.Seq
		if err := h.log.Forget(m.Seq); err != nil {
			if !errors.Is(err, errKilled) {
				h.doneUnrecorded = 0
			}
			return err
		}
		h.effect(m)
		h.held[lane] = h.held[lane][1:]
	}
	return nil
}

func (h *harness) effect(m *Message) {
	h.doneUnrecorded = 0
	h.done[m.Seq] = true
	h.doneByLane[m.Lane] = append(h.doneByLane[m.Lane], m.Seq)
}

// locations returns in how many places messages are: in memory and in the store.
func (h *harness) locations(t *testing.T) map[uint64]int {
	places := map[uint64]int{}
	for lane, ms := range h.held {
		for _, m := range ms {
			places[m.Seq]++
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
			places[m.Seq]++
			if i > 0 {
				require.Greater(t, m.Seq, ms[i-1].Seq, "the order of taking")
			}
			if known := h.accepted[m.Seq]; known != nil {
				require.Equal(t, known, m, "as it was accepted, with its history")
			}
		}
		if held := h.held[lane]; len(held) > 0 && len(ms) > 0 {
			require.Less(t, held[len(held)-1].Seq, ms[0].Seq, "memory goes before the store")
		}
	}
	return places
}

// check requires that nothing is lost and nothing is there twice. Messages that are being brought back are in neither
// place until the store has released them; then strict is false.
func (h *harness) check(t *testing.T) {
	places := h.locations(t)
	if h.acceptUnanswered != 0 { // its client had no answer: either is right
		if places[h.acceptUnanswered] > 0 {
			h.accepted[h.acceptUnanswered] = testMessage(h.find(h.acceptUnanswered).Lane, h.acceptUnanswered)
		}
		h.acceptUnanswered = 0
	}
	if m := h.accepted[h.doneUnrecorded]; m != nil { // it had its effect, and the log may have recorded it
		if places[h.doneUnrecorded] == 0 {
			h.effect(m)
		}
		h.doneUnrecorded = 0
	}
	for seq := range h.accepted {
		if h.done[seq] {
			require.Zero(t, places[seq], "message %d would have its effect twice", seq)
		} else if h.expired[seq] { // answered; pending again only if the log could not be written
			require.LessOrEqual(t, places[seq], 1, "message %d", seq)
		} else {
			require.Equal(t, 1, places[seq], "message %d", seq)
		}
	}
	for seq := range places {
		require.NotNil(t, h.accepted[seq], "message %d was refused and is there", seq)
	}
	for lane, seqs := range h.doneByLane {
		require.True(t, slices.IsSorted(seqs), "order of %v: %v", lane, seqs)
	}
	checkStore(t, h.store)
}

func (h *harness) find(seq uint64) *Message {
	for _, ms := range h.held {
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

// checkStore checks what must always hold within a store.
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

// randomOperation does one operation drawn at random.
func (h *harness) randomOperation(rng *rand.Rand) error {
	lane := testLanes[rng.IntN(len(testLanes))]
	switch rng.IntN(9) {
	case 0, 1, 2, 3:
		return h.accept(lane)
	case 4:
		return h.spill(lane, rng.IntN(4))
	case 5, 6:
		return h.bringBack(lane, 1+rng.IntN(5))
	case 7:
		return h.finish(lane, 1+rng.IntN(6))
	}
	return h.expire(int64(1000+rng.IntN(200)), 1+rng.IntN(4))
}

// drain delivers all that is pending.
func (h *harness) drain() error {
	for _, lane := range testLanes {
		for {
			if err := h.finish(lane, len(h.held[lane])); err != nil {
				return err
			}
			if h.store.LaneMessages(lane) == 0 && len(h.held[lane]) == 0 {
				break
			}
			if err := h.bringBack(lane, 5); err != nil {
				return err
			}
		}
	}
	return nil
}
