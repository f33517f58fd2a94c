package backlog

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/wal"
)

const (
	forwarderDir   = "SPANFLOW_BACKLOG_FORWARDER" // set for the process that the test kills
	walBytes       = 1 << 20
	forwarderKills = 100
)

// walLog is the write-ahead log as the mover needs it.
type walLog struct{ *wal.Log }

func (l walLog) Restore(m *Message) error { return l.Log.Restore(entryOf(m)) }

func (l walLog) Forget(seq uint64) error { return l.RecordDone(seq) }

func entryOf(m *Message) *wal.Entry {
	return &wal.Entry{Seq: m.Seq, Key: m.Key, Destination: m.Lane.Destination, Tenant: int(m.Lane.Tenant),
		Type: m.Type, ID: m.ID, IdempotencyKey: m.DeduplicationKey, Expiry: m.Expiry, Attempts: int(m.Attempts),
		FirstRanAt: m.MayHaveRun, FirstRanZone: int(m.MayHaveRunZone),
		Body: m.Body, Frontend: m.Frontend, CallerWaits: m.CallerWaits}
}

func messageOf(e *wal.Entry) *Message {
	return &Message{Seq: e.Seq, Key: e.Key, Lane: Lane{e.Destination, uint32(e.Tenant)}, Type: e.Type, ID: e.ID,
		DeduplicationKey: e.IdempotencyKey, Expiry: e.Expiry, Attempts: uint32(e.Attempts), MayHaveRun: e.FirstRanAt,
		MayHaveRunZone: uint32(e.FirstRanZone), Body: e.Body,
		Frontend: e.Frontend, CallerWaits: e.CallerWaits}
}

// walMessage is a test message with what the log keeps.
func walMessage(lane Lane, seq uint64) *Message {
	m := testMessage(lane, seq)
	m.AcceptedAt, m.DeduplicationEnd, m.ID = 0, 0, fmt.Sprintf("client-%016x", rand.Uint64())
	return m
}

// forwarder accepts messages, moves them between the real write-ahead log and the store, and delivers them in order.
type forwarder struct {
	log        *wal.Log
	store      *Store
	mover      *Mover
	held       map[Lane][]*Message
	overtaking []uint64 // would overtake older ones that are stored
	out        io.Writer
}

func startForwarder(dir string, out io.Writer) (*forwarder, error) {
	f := &forwarder{held: map[Lane][]*Message{}, out: out}
	var err error
	if f.log, err = wal.Open(dir, walBytes); err != nil {
		return nil, err
	}
	if f.store, err = Open(OS{}, filepath.Join(dir, "backlog"), killBounds); err != nil {
		return nil, err
	}
	f.log.Reserve(f.store.LastSeq())
	f.mover = NewMover(walLog{f.log}, f.store)
	var pending []Ref
	for _, e := range f.log.Pending() {
		m := messageOf(e)
		pending = append(pending, m.Ref())
		f.held[m.Lane] = append(f.held[m.Lane], m)
	}
	overtaking, err := f.mover.Resolve(pending)
	for _, ref := range overtaking {
		f.overtaking = append(f.overtaking, ref.Seq)
	}
	return f, err
}

func (f *forwarder) close() error { return errors.Join(f.store.Close(), f.log.Close()) }

// randomOperation does one operation drawn at random and prints what clients and destinations observe: "+" a message is
// accepted, "?" it is about to have its effect, "!" that is recorded.
func (f *forwarder) randomOperation(rng *rand.Rand) error {
	lane := testLanes[rng.IntN(len(testLanes))]
	switch rng.IntN(10) {
	case 0, 1, 2, 3, 4:
		return f.accept(lane)
	case 5:
		held := f.held[lane]
		if window := rng.IntN(6); len(held) > window {
			moved, err := f.mover.Spill(held[window:])
			f.held[lane] = held[:len(held)-moved]
			return err
		}
	case 6, 7:
		batch, err := f.mover.Load(lane, 1+rng.IntN(8))
		for _, m := range batch.Messages {
			f.held[m.Lane] = append(f.held[m.Lane], m)
		}
		return err
	default:
		return f.finish(lane, 1+rng.IntN(8))
	}
	return nil
}

func (f *forwarder) accept(lane Lane) error {
	var m *Message
	if f.store.LaneMessages(lane) > 0 {
		m = walMessage(lane, f.log.NextSeq())
		if err := f.store.Append(m); err != nil {
			return err
		}
	} else {
		m = walMessage(lane, 0)
		e := entryOf(m)
		if err := f.log.Append(e); err != nil {
			return err
		}
		m.Seq = e.Seq
		f.held[lane] = append(f.held[lane], m)
	}
	fmt.Fprintln(f.out, "+", m.Seq, lane.Destination, lane.Tenant)
	return nil
}

func (f *forwarder) finish(lane Lane, n int) error {
	for ; n > 0 && len(f.held[lane]) > 0; n-- {
		m := f.held[lane][0]
		fmt.Fprintln(f.out, "?", m.Seq, lane.Destination, lane.Tenant)
		if err := f.log.RecordDone(m.Seq); err != nil {
			return fmt.Errorf("done: %w", err)
		}
		fmt.Fprintln(f.out, "!", m.Seq, lane.Destination, lane.Tenant)
		f.held[lane] = f.held[lane][1:]
	}
	return nil
}

// forwardForever is the process that is killed.
func forwardForever(dir string) error {
	f, err := startForwarder(dir, os.Stdout)
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), 1))
	for {
		if err := f.randomOperation(rng); err != nil && !errors.Is(err, ErrFull) && !errors.Is(err, wal.ErrFull) {
			return err
		}
	}
}

// observations are what clients and destinations of a forwarder have observed over all its processes.
type observations struct {
	pending    map[uint64]Lane
	done       map[Lane][]uint64
	unrecorded map[uint64]Lane
}

func (o *observations) add(line string) {
	var word string
	var seq, destination uint64
	var tenant uint32
	if n, _ := fmt.Sscan(line, &word, &seq, &destination, &tenant); n < 4 {
		return // cut by the kill
	}
	lane := Lane{destination, tenant}
	switch word {
	case "+":
		o.pending[seq] = lane
	case "?":
		o.unrecorded[seq] = lane
	case "!":
		o.effect(seq, lane)
	}
}

func (o *observations) effect(seq uint64, lane Lane) {
	delete(o.pending, seq)
	delete(o.unrecorded, seq)
	o.done[lane] = append(o.done[lane], seq)
}

// compare checks what a new process finds against what was observed.
func (o *observations) compare(t *testing.T, f *forwarder) {
	require.Empty(t, f.overtaking)
	places := map[uint64]int{}
	lanes := map[uint64]Lane{}
	note := func(m *Message) {
		places[m.Seq]++
		lanes[m.Seq] = m.Lane
		want := walMessage(m.Lane, m.Seq)
		if m.DeduplicationKey == "k0" { // accepted into the log, before its number was known
			want = walMessage(m.Lane, 0)
			want.Seq = m.Seq
		}
		want.ID = m.ID
		require.Equal(t, want, m)
	}
	for lane, held := range f.held {
		slices.SortFunc(held, func(a, b *Message) int { return cmp.Compare(a.Seq, b.Seq) })
		for _, m := range held {
			note(m)
		}
		first, err := f.store.Head(lane, 1)
		require.NoError(t, err)
		if len(first) > 0 && len(held) > 0 {
			require.Less(t, held[len(held)-1].Seq, first[0].Seq, "memory goes before the store")
		}
	}
	for _, lane := range f.store.Lanes() {
		ms, err := f.store.Head(lane, f.store.LaneMessages(lane))
		require.NoError(t, err)
		for _, m := range ms {
			note(m)
		}
	}
	for seq, lane := range o.unrecorded { // it was not observed if it is recorded
		if places[seq] == 0 {
			o.effect(seq, lane)
		}
	}
	clear(o.unrecorded)
	for seq := range o.pending {
		require.Equal(t, 1, places[seq], "message %d", seq)
	}
	for seq, n := range places {
		require.Equal(t, 1, n)
		o.pending[seq] = lanes[seq] // also one whose client had no answer any more
	}
	for lane, seqs := range o.done {
		require.True(t, slices.IsSorted(seqs), "order of %v", lane)
		for _, seq := range seqs {
			held := slices.ContainsFunc(f.held[lane], func(m *Message) bool { return m.Seq == seq })
			require.Zero(t, places[seq], "message %d would have its effect twice, held %v stored %v",
				seq, held, f.store.Contains(lane, seq))
		}
	}
}

// Real processes with the real write-ahead log, killed by SIGKILL at random under load.
func TestHundredKillsLoseAndRepeatNothing(t *testing.T) {
	dir := t.TempDir()
	o := observations{pending: map[uint64]Lane{}, done: map[Lane][]uint64{}, unrecorded: map[uint64]Lane{}}
	for range forwarderKills {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), forwarderDir+"="+dir)
		var faults strings.Builder
		child.Stderr = &faults
		out, err := child.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, child.Start())
		lines := bufio.NewScanner(out)
		for most := 1 + rand.IntN(600); most > 0 && lines.Scan(); most-- { // by what it did, not by the clock
			o.add(lines.Text())
		}
		require.NoError(t, child.Process.Kill())
		for lines.Scan() {
			o.add(lines.Text())
		}
		_ = child.Wait()
		require.Empty(t, faults.String())

		f, err := startForwarder(dir, io.Discard)
		require.NoError(t, err)
		checkStore(t, f.store)
		o.compare(t, f)
		require.NoError(t, f.close())
	}
	ended := 0
	for _, seqs := range o.done {
		ended += len(seqs)
	}
	require.Greater(t, ended, 3000)
	t.Logf("%d kills, %d messages done, %d pending", forwarderKills, ended, len(o.pending))
}
