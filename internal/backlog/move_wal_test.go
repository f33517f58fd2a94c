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
	forwarderDirEnv = "SPANFLOW_BACKLOG_FORWARDER" // set to the folder in processes that the test kills
	walBytes        = 1 << 20
	forwarderKills  = 100
)

// walLog adapts the write-ahead log to Log.
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

// walMessage is a test message with a random id and without the fields that the write-ahead log does not keep.
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
	inMemory   map[Lane][]*Message
	overtaking []uint64 // pending messages that would overtake older stored ones
	out        io.Writer
}

func startForwarder(dir string, out io.Writer) (*forwarder, error) {
	f := &forwarder{inMemory: map[Lane][]*Message{}, out: out}
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
		f.inMemory[m.Lane] = append(f.inMemory[m.Lane], m)
	}
	overtaking, err := f.mover.Resolve(pending)
	for _, ref := range overtaking {
		f.overtaking = append(f.overtaking, ref.Seq)
	}
	return f, err
}

func (f *forwarder) close() error { return errors.Join(f.store.Close(), f.log.Close()) }

// randomOperation does one operation chosen at random and prints observations of clients and destinations: "+" means
// that a message was accepted, "?" that it is about to be delivered, and "!" that its delivery was recorded.
func (f *forwarder) randomOperation(rng *rand.Rand) error {
	lane := testLanes[rng.IntN(len(testLanes))]
	switch rng.IntN(10) {
	case 0, 1, 2, 3, 4:
		return f.accept(lane)
	case 5:
		inMemory := f.inMemory[lane]
		if window := rng.IntN(6); len(inMemory) > window {
			moved, err := f.mover.Spill(inMemory[window:])
			f.inMemory[lane] = inMemory[:len(inMemory)-moved]
			return err
		}
	case 6, 7:
		batch, err := f.mover.Load(lane, 1+rng.IntN(8))
		for _, m := range batch.Messages {
			f.inMemory[m.Lane] = append(f.inMemory[m.Lane], m)
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
		f.inMemory[lane] = append(f.inMemory[lane], m)
	}
	fmt.Fprintln(f.out, "+", m.Seq, lane.Destination, lane.Tenant)
	return nil
}

func (f *forwarder) finish(lane Lane, n int) error {
	for ; n > 0 && len(f.inMemory[lane]) > 0; n-- {
		m := f.inMemory[lane][0]
		fmt.Fprintln(f.out, "?", m.Seq, lane.Destination, lane.Tenant)
		if err := f.log.RecordDone(m.Seq); err != nil {
			return fmt.Errorf("done: %w", err)
		}
		fmt.Fprintln(f.out, "!", m.Seq, lane.Destination, lane.Tenant)
		f.inMemory[lane] = f.inMemory[lane][1:]
	}
	return nil
}

// forwardForever runs in the process that is killed.
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

// observations holds the observations of clients and destinations across all processes of a forwarder.
type observations struct {
	pending    map[uint64]Lane
	done       map[Lane][]uint64
	unrecorded map[uint64]Lane
}

func (o *observations) add(line string) {
	var event string
	var seq, destination uint64
	var tenant uint32
	if n, _ := fmt.Sscan(line, &event, &seq, &destination, &tenant); n < 4 {
		return // the line was cut off by the kill
	}
	lane := Lane{destination, tenant}
	switch event {
	case "+":
		o.pending[seq] = lane
	case "?":
		o.unrecorded[seq] = lane
	case "!":
		o.recordDelivery(seq, lane)
	}
}

func (o *observations) recordDelivery(seq uint64, lane Lane) {
	delete(o.pending, seq)
	delete(o.unrecorded, seq)
	o.done[lane] = append(o.done[lane], seq)
}

// compare checks the messages that a new process finds against the observations.
func (o *observations) compare(t *testing.T, f *forwarder) {
	require.Empty(t, f.overtaking)
	locations := map[uint64]int{}
	lanes := map[uint64]Lane{}
	record := func(m *Message) {
		locations[m.Seq]++
		lanes[m.Seq] = m.Lane
		want := walMessage(m.Lane, m.Seq)
		if m.DeduplicationKey == "k0" { // it was created before the log assigned its number
			want = walMessage(m.Lane, 0)
			want.Seq = m.Seq
		}
		want.ID = m.ID
		require.Equal(t, want, m)
	}
	for lane, inMemory := range f.inMemory {
		slices.SortFunc(inMemory, func(a, b *Message) int { return cmp.Compare(a.Seq, b.Seq) })
		for _, m := range inMemory {
			record(m)
		}
		first, err := f.store.Head(lane, 1)
		require.NoError(t, err)
		if len(first) > 0 && len(inMemory) > 0 {
			require.Less(t, inMemory[len(inMemory)-1].Seq, first[0].Seq, "messages in memory are older than stored ones")
		}
	}
	for _, lane := range f.store.Lanes() {
		ms, err := f.store.Head(lane, f.store.LaneMessages(lane))
		require.NoError(t, err)
		for _, m := range ms {
			record(m)
		}
	}
	for seq, lane := range o.unrecorded { // a delivery may have been recorded but not reported before the kill
		if locations[seq] == 0 {
			o.recordDelivery(seq, lane)
		}
	}
	clear(o.unrecorded)
	for seq := range o.pending {
		require.Equal(t, 1, locations[seq], "message %d", seq)
	}
	for seq, n := range locations {
		require.Equal(t, 1, n)
		o.pending[seq] = lanes[seq] // includes one whose client got no answer because of the kill
	}
	for lane, seqs := range o.done {
		require.True(t, slices.IsSorted(seqs), "order of %v", lane)
		for _, seq := range seqs {
			inMemory := slices.ContainsFunc(f.inMemory[lane], func(m *Message) bool { return m.Seq == seq })
			require.Zero(t, locations[seq], "message %d would be delivered twice; in memory: %v, stored: %v",
				seq, inMemory, f.store.Contains(lane, seq))
		}
	}
}

// Processes that use the real write-ahead log are killed by SIGKILL at random points under load. No message may be lost
// or delivered twice.
func TestHundredKillsOfForwarder(t *testing.T) {
	dir := t.TempDir()
	o := observations{pending: map[uint64]Lane{}, done: map[Lane][]uint64{}, unrecorded: map[uint64]Lane{}}
	for range forwarderKills {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), forwarderDirEnv+"="+dir)
		var childErrors strings.Builder
		child.Stderr = &childErrors
		out, err := child.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, child.Start())
		lines := bufio.NewScanner(out)
		for steps := 1 + rand.IntN(600); steps > 0 && lines.Scan(); steps-- { // limited by steps, not by time
			o.add(lines.Text())
		}
		require.NoError(t, child.Process.Kill())
		for lines.Scan() {
			o.add(lines.Text())
		}
		_ = child.Wait()
		require.Empty(t, childErrors.String())

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
