package backlog

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	benchLanes = 6000
	benchBody  = 300 // bytes
	drainBatch = 32  // messages of a lane that are loaded together
)

var benchBounds = Bounds{Bytes: 8 << 30}

func benchMessage(seq uint64) *Message {
	return &Message{Seq: seq, Lane: Lane{seq % benchLanes, 1}, Key: seq, Type: "order",
		ID:   fmt.Sprintf("01J9Z3T5-%016x", seq),
		Body: make([]byte, benchBody), AcceptedAt: int64(seq), Expiry: int64(seq) + 3_600_000_000}
}

// fillTo appends messages until the given number of them is stored.
func fillTo(b *testing.B, s *Store, messages int) {
	for s.Messages() < messages {
		require.NoError(b, s.Append(benchMessage(s.LastSeq()+1)))
	}
}

func openBench(b *testing.B, dir string) *Store {
	s, err := Open(OS{}, dir, benchBounds)
	require.NoError(b, err)
	return s
}

func BenchmarkAppend(b *testing.B) {
	for _, stored := range []int{0, 1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("stored=%d", stored), func(b *testing.B) {
			s := openBench(b, b.TempDir())
			defer s.Close()
			fillTo(b, s, stored)
			messages := make([]*Message, b.N)
			for i := range messages {
				messages[i] = benchMessage(s.LastSeq() + 1 + uint64(i))
			}
			before := s.Written()
			b.ResetTimer()
			for _, m := range messages {
				if err := s.Append(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(s.Written()-before)/float64(b.N), "written-B/op")
		})
	}
}

// fileLog is a Log that appends the same records as a write-ahead log but does not keep track of them.
type fileLog struct {
	file *os.File
	buf  []byte
}

func (l *fileLog) Restore(m *Message) error {
	l.buf = m.encode(beginRecord(l.buf[:0], kindTestPending))
	endRecord(l.buf, 0)
	_, err := l.file.Write(l.buf)
	return err
}

func (l *fileLog) Forget(uint64) error { return nil }

// BenchmarkDrain measures loading: a message is read, recorded in a log and released from the store.
func BenchmarkDrain(b *testing.B) {
	for _, stored := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprintf("stored=%d", stored), func(b *testing.B) {
			s := openBench(b, b.TempDir())
			defer s.Close()
			fillTo(b, s, max(stored, b.N))
			file, err := os.Create(filepath.Join(b.TempDir(), "log"))
			require.NoError(b, err)
			defer file.Close()
			mover := NewMover(&fileLog{file: file}, s)
			lanes := s.Lanes()
			before := s.Written()
			b.ResetTimer()
			for done := 0; done < b.N; {
				lane := lanes[0]
				lanes = append(lanes[1:], lane)
				batch, err := mover.Load(lane, min(drainBatch, b.N-done))
				if err != nil {
					b.Fatal(err)
				}
				done += len(batch.Messages)
			}
			b.ReportMetric(float64(s.Written()-before)/float64(b.N), "written-B/op")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, stored := range []int{100_000, 1_000_000, 5_400_000} {
		b.Run(fmt.Sprintf("stored=%d", stored), func(b *testing.B) {
			dir := b.TempDir()
			s := openBench(b, dir)
			fillTo(b, s, stored)
			used := s.Used() - s.bounds.SegmentBytes
			require.NoError(b, s.Close())
			s = nil
			before, after := liveBytes(), int64(0)
			for b.Loop() {
				s = openBench(b, dir)
				b.StopTimer()
				require.Equal(b, stored, s.Messages())
				after = liveBytes()
				require.NoError(b, s.Close())
				s = nil
				b.StartTimer()
			}
			b.ReportMetric(float64(after-before)/float64(stored), "memory-B/message")
			b.ReportMetric(float64(used)/float64(stored), "disk-B/message")
		})
	}
}

// BenchmarkChurn measures the bytes written per byte of message records, in a store with ample room and in a nearly
// full one. Each step stores a message and then releases messages of random lanes, so that the number of stored
// messages stays the same. A tenth of the lanes gets no new messages and is never drained.
func BenchmarkChurn(b *testing.B) {
	const live = 100_000
	for name, bounds := range map[string]Bounds{"roomy": benchBounds, "nearly-full": {Bytes: 66 << 20}} {
		b.Run(name, func(b *testing.B) { benchmarkChurn(b, bounds, live) })
	}
}

func benchmarkChurn(b *testing.B, bounds Bounds, live int) {
	s, err := Open(OS{}, b.TempDir(), bounds)
	require.NoError(b, err)
	defer s.Close()
	fillTo(b, s, live)
	rng := rand.New(rand.NewPCG(1, 1))
	before, bytes, peak, refused := s.Written(), int64(0), int64(0), 0
	b.ResetTimer()
	for range b.N {
		m := benchMessage(s.LastSeq() + 1)
		m.Lane.Destination = benchLanes/10 + rng.Uint64N(benchLanes*9/10)
		if err := s.Append(m); err == nil {
			bytes += s.lanes[m.Lane].last().size()
		} else {
			require.ErrorIs(b, err, ErrFull)
			refused++
		}
		for s.Messages() > live {
			lane := Lane{benchLanes/10 + rng.Uint64N(benchLanes*9/10), 1}
			ms, err := s.Head(lane, drainBatch)
			if err != nil {
				b.Fatal(err)
			}
			if err := s.Release(refsOf(ms)); err != nil {
				b.Fatal(err)
			}
		}
		peak = max(peak, s.Used()-s.bounds.SegmentBytes)
	}
	b.ReportMetric(float64(s.Written()-before)/float64(bytes), "written/record")
	b.ReportMetric(float64(peak)/float64(s.Bytes()), "peak-disk/live")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(s.Bytes())/float64(s.bounds.capacity()), "live/room")
}

// BenchmarkExpired reads the 512 messages that expired first of 100,000 expired ones.
func BenchmarkExpired(b *testing.B) {
	s := openBench(b, b.TempDir())
	defer s.Close()
	fillTo(b, s, 100_000)
	for b.Loop() {
		ms, err := s.Expired(1<<60, 512)
		if err != nil || len(ms) != 512 {
			b.Fatal(len(ms), err)
		}
	}
}
