package backlog

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	testDir     = "backlog"
	testLogName = "log/log"
	kindOwed    = 200
	kindOver    = 201
)

// testLog is a write-ahead log of the least kind, on the same filesystem as the store.
type testLog struct {
	fs   *memFS
	file File
	size int64
	torn bool // a failed write may have left something
	owed map[uint64]*Message
}

func openTestLog(files *memFS) (*testLog, error) {
	l := &testLog{fs: files, owed: map[uint64]*Message{}}
	if _, has := files.files[testLogName]; !has {
		f, err := files.Create(testLogName)
		l.file = f
		return l, err
	}
	f, err := files.Open(testLogName)
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	scan := scanner{file: f, name: testLogName, end: size, torn: true, buf: make([]byte, 1<<12)}
	l.size, err = scan.scan(0, func(r scanned) error {
		if r.payload[0] == kindOwed {
			m, _ := decodeMessage(r.payload[1:])
			l.owed[m.Seq] = m
		} else {
			delete(l.owed, binary.LittleEndian.Uint64(r.payload[1:]))
		}
		return nil
	})
	if err == nil && l.size < size {
		err = f.Truncate(l.size)
	}
	l.file = f
	return l, err
}

func (l *testLog) write(b []byte) error {
	endRecord(b, 0)
	if l.torn {
		if err := l.file.Truncate(l.size); err != nil {
			return err
		}
		l.torn = false
	}
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		l.torn = l.file.Truncate(l.size) != nil
		return err
	}
	l.size += int64(n)
	return nil
}

func (l *testLog) Restore(m *Message) error {
	if err := l.write(m.encode(beginRecord(nil, kindOwed))); err != nil {
		return err
	}
	l.owed[m.Seq] = m
	return nil
}

func (l *testLog) Forget(seq uint64) error {
	if err := l.write(binary.LittleEndian.AppendUint64(beginRecord(nil, kindOver), seq)); err != nil {
		return err
	}
	delete(l.owed, seq)
	return nil
}

// world is a forwarder of the least kind: it takes messages on, moves them about, and ends them lane by lane in order.
// Reason outlasts the process is what clients and destinations know.
type world struct {
	fs     *memFS
	bounds Bounds
	log    *testLog
	store  *Store
	mover  *Mover
	held   map[Lane][]*Message
	next   uint64

	taken  map[uint64]*Message // whose clients have heard that they are owed
	asking uint64              // the message whose client waits for that answer; 0: none
	over   map[uint64]bool     // that have had their effect
	ending uint64              // the message whose effect is being recorded; 0: none
	ended  map[Lane][]uint64   // in the order of their effects
	gone   map[uint64]bool     // answered at the end of their time, without an effect
}

var testLanes = []Lane{{1, 1}, {1, 2}, {2, 1}}

func newWorld(files *memFS, bounds Bounds) *world {
	return &world{fs: files, bounds: bounds, next: 1, taken: map[uint64]*Message{}, over: map[uint64]bool{},
		ended: map[Lane][]uint64{}, gone: map[uint64]bool{}}
}

// start begins a process: it reads the log and the store and resolves what was on the way.
func (w *world) start() (err error) {
	w.held = map[Lane][]*Message{}
	if w.log, err = openTestLog(w.fs); err != nil {
		return err
	}
	if w.store, err = Open(w.fs, testDir, w.bounds); err != nil {
		return err
	}
	w.mover = NewMover(w.log, w.store)
	var owed []Ref
	for _, m := range w.log.owed {
		owed = append(owed, m.Ref())
		w.next = max(w.next, m.Seq+1)
	}
	w.next = max(w.next, w.store.LastSeq()+1)
	overtaking, err := w.mover.Resolve(owed)
	if err != nil {
		return err
	}
	answer := map[uint64]bool{}
	for _, ref := range overtaking {
		answer[ref.Seq] = true
	}
	for _, m := range w.log.owed {
		if !answer[m.Seq] {
			w.held[m.Lane] = append(w.held[m.Lane], m)
		}
	}
	for _, ms := range w.held {
		slices.SortFunc(ms, func(a, b *Message) int { return cmp.Compare(a.Seq, b.Seq) })
	}
	for _, ref := range overtaking {
		if err := w.answerExpired(w.log.owed[ref.Seq]); err != nil {
			return err
		}
	}
	return nil
}

func testMessage(lane Lane, seq uint64) *Message {
	return &Message{Seq: seq, Lane: lane, Key: seq % 5, Type: "order", ID: fmt.Sprintf("id-%d", seq), Body: []byte(fmt.Sprint("body of ", seq)),
		Taken: int64(seq), Expiry: int64(1000 + seq*7919%997), Attempts: uint32(seq % 3), MayHaveRun: int64(seq % 2 * 77),
		MayHaveRunZone: uint32(seq % 4), DeduplicationKey: fmt.Sprint("k", seq), DeduplicationEnd: int64(seq * 3), Frontend: "web",
		CallerWaits: seq%4 == 0}
}

// take takes a new message on: into the store if its lane has messages there, else into the log.
func (w *world) take(lane Lane) error {
	m := testMessage(lane, w.next)
	w.next++
	w.asking = m.Seq
	var err error
	if w.store.Stored(lane) > 0 {
		err = w.store.Append(m)
	} else if err = w.log.Restore(m); err == nil {
		w.held[lane] = append(w.held[lane], m)
	}
	if errors.Is(err, errKilled) {
		return err
	}
	w.asking = 0
	if err == nil {
		w.taken[m.Seq] = m
	}
	return err
}

// spill moves all but the first messages of a lane out to the store.
func (w *world) spill(lane Lane, window int) error {
	ms := w.held[lane]
	if len(ms) <= window {
		return nil
	}
	moved, err := w.mover.Spill(ms[window:])
	w.held[lane] = ms[:len(ms)-moved]
	return err
}

func (w *world) bringBack(lane Lane, n int) error {
	batch, err := w.mover.BringBack(lane, n)
	return errors.Join(err, w.handOver(batch))
}

// expire answers some whose time is over.
func (w *world) expire(now int64, n int) error {
	batch, err := w.mover.BringBackExpired(now, n)
	return errors.Join(err, w.handOver(batch))
}

// handOver gives the scheduler messages that came back, or answers them.
func (w *world) handOver(batch Batch) (err error) {
	for _, m := range batch.Messages {
		if !batch.Expired {
			w.held[m.Lane] = append(w.held[m.Lane], m)
		} else if answerErr := w.answerExpired(m); answerErr != nil { // as today, it is answered again after a restart
			err = answerErr
		}
	}
	return err
}

func (w *world) answerExpired(m *Message) error {
	w.gone[m.Seq] = true
	return w.log.Forget(m.Seq)
}

// end gives the first messages of a lane their effect.
func (w *world) end(lane Lane, n int) error {
	for range n {
		if len(w.held[lane]) == 0 {
			return nil
		}
		m := w.held[lane][0]
		w.ending = m.Seq
		if err := w.log.Forget(m.Seq); err != nil {
			if !errors.Is(err, errKilled) {
				w.ending = 0
			}
			return err
		}
		w.effect(m)
		w.held[lane] = w.held[lane][1:]
	}
	return nil
}

func (w *world) effect(m *Message) {
	w.ending = 0
	w.over[m.Seq] = true
	w.ended[m.Lane] = append(w.ended[m.Lane], m.Seq)
}

// where tells in how many places messages are: in memory and in the store.
func (w *world) where(t *testing.T) map[uint64]int {
	places := map[uint64]int{}
	for lane, ms := range w.held {
		for _, m := range ms {
			places[m.Seq]++
			require.Equal(t, lane, m.Lane)
			if known := w.taken[m.Seq]; known != nil {
				require.Equal(t, known, m, "as it was taken, with its history")
			}
		}
	}
	for _, lane := range w.store.Lanes() {
		ms, err := w.store.Head(lane, w.store.Stored(lane))
		require.NoError(t, err)
		require.Len(t, ms, w.store.Stored(lane))
		for i, m := range ms {
			places[m.Seq]++
			if i > 0 {
				require.Greater(t, m.Seq, ms[i-1].Seq, "the order of taking")
			}
			if known := w.taken[m.Seq]; known != nil {
				require.Equal(t, known, m, "as it was taken, with its history")
			}
		}
		if held := w.held[lane]; len(held) > 0 && len(ms) > 0 {
			require.Less(t, held[len(held)-1].Seq, ms[0].Seq, "memory goes before the store")
		}
	}
	return places
}

// check demands that nothing is lost and nothing is there twice. Messages on the way back are in neither place until
// the store has released them; then strict is false.
func (w *world) check(t *testing.T) {
	places := w.where(t)
	if w.asking != 0 { // its client heard nothing: either is right
		if places[w.asking] > 0 {
			w.taken[w.asking] = testMessage(w.find(w.asking).Lane, w.asking)
		}
		w.asking = 0
	}
	if m := w.taken[w.ending]; m != nil { // it had its effect, and the log may have heard of it
		if places[w.ending] == 0 {
			w.effect(m)
		}
		w.ending = 0
	}
	for seq := range w.taken {
		if w.over[seq] {
			require.Zero(t, places[seq], "message %d would have its effect twice", seq)
		} else if w.gone[seq] { // answered; owed again only if the log could not be written
			require.LessOrEqual(t, places[seq], 1, "message %d", seq)
		} else {
			require.Equal(t, 1, places[seq], "message %d", seq)
		}
	}
	for seq := range places {
		require.NotNil(t, w.taken[seq], "message %d was refused and is there", seq)
	}
	for lane, seqs := range w.ended {
		require.True(t, slices.IsSorted(seqs), "order of %v: %v", lane, seqs)
	}
	checkStore(t, w.store)
}

func (w *world) find(seq uint64) *Message {
	for _, ms := range w.held {
		for _, m := range ms {
			if m.Seq == seq {
				return m
			}
		}
	}
	for _, lane := range w.store.Lanes() {
		ms, _ := w.store.Head(lane, w.store.Stored(lane))
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
			require.Equal(t, ordinal, l.heap[e.heapAt-1])
			laneLive++
			states[e.state()]++
			bytes += e.size()
			live[e.segment]++
		}
		for i := 1; i < len(l.heap); i++ {
			require.False(t, l.less(i, (i-1)/2), "the heap of a lane")
		}
		require.Equal(t, l, s.expiries[l.heapAt])
		require.Equal(t, laneLive, l.live())
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

// operate does one operation drawn at random.
func (w *world) operate(rng *rand.Rand) error {
	lane := testLanes[rng.IntN(len(testLanes))]
	switch rng.IntN(9) {
	case 0, 1, 2, 3:
		return w.take(lane)
	case 4:
		return w.spill(lane, rng.IntN(4))
	case 5, 6:
		return w.bringBack(lane, 1+rng.IntN(5))
	case 7:
		return w.end(lane, 1+rng.IntN(6))
	}
	return w.expire(int64(1000+rng.IntN(200)), 1+rng.IntN(4))
}
