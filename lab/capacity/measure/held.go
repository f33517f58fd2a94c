package measure

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"spanflow/internal/ledger"
)

var (
	heldMemory  = quantity{"memory in the scheduler", "messages held", "bytes"}
	heldTake    = quantity{"processor time of taking all in one turn", "messages held", "s"}
	heldFresh   = quantity{"processor time of a fresh message beside them", "messages held", "s"}
	heldGivenUp = quantity{"processor time of giving all up in one turn", "messages held", "s"}
	logMemory   = quantity{"memory in the write-ahead log", "messages held", "bytes"}
	logDisk     = quantity{"bytes on disk", "messages held", "bytes"}
	logTake     = quantity{"processor time of writing all to the log", "messages held", "s"}
)

const (
	bodyBytes   = 300  // of a message
	freshMost   = 2000 // fresh messages of which the mean is taken, at most
	freshLeast  = 16
	freshEnough = 0.1 // seconds of processor time after which the mean is taken
)

// measureHeldMessage measures what a message costs that is held for a destination which told a wait.
func measureHeldMessage(t *trial) error {
	if err := t.sweep("the write-ahead log", 0.2, linearly, sizes(t.Largest), t.heldInLog); err != nil {
		return err
	}
	return t.sweep("the scheduler", 0.8, quadratically, sizes(t.Largest), t.heldInScheduler)
}

func (t *trial) heldInScheduler(size int) error {
	before := t.heap()
	var s *scheduler
	taken, err := t.best(func() (float64, error) {
		var took float64
		s = nil
		t.heap()
		s, took = t.hold(size)
		return took, nil
	})
	if err != nil {
		return err
	}
	t.record(heldTake, float64(size), taken)
	t.record(heldMemory, float64(size), t.heap()-before)
	busy := s.destinations[0]
	fresh, err := t.best(func() (float64, error) { return t.fresh(s, func() { s.deliver(busy) }) })
	if err != nil {
		return err
	}
	if s.host.ended > 0 {
		return fmt.Errorf("%d of %d messages were given up before their time", s.host.ended, size)
	}
	t.record(heldFresh, float64(size), fresh)
	givenUp, err := t.best(func() (float64, error) {
		if s.host.ended > 0 {
			s = nil
			t.heap()
			s, _ = t.hold(size)
		}
		s.pass(messageLife + 1)
		start := processorTime()
		s.Settle()
		took := processorTime() - start
		if s.host.ended < size {
			return 0, fmt.Errorf("%d of %d messages were given up at their time", s.host.ended, size)
		}
		return took, nil
	})
	if err == nil {
		t.record(heldGivenUp, float64(size), givenUp)
	}
	return err
}

// hold makes a scheduler with two destinations, of which the second has told a wait and has so many messages, and
// returns the processor time in seconds of taking these in one turn.
func (t *trial) hold(size int) (*scheduler, float64) {
	s := newScheduler(2*size+100, t.Seed)
	s.know(2)
	s.shut(s.destinations[1])
	start := processorTime()
	for i := range size {
		s.take(s.destinations[1], i)
	}
	s.Settle()
	return s, processorTime() - start
}

// fresh is the mean processor time of a fresh message's decisions.
func (t *trial) fresh(s *scheduler, deliver func()) (float64, error) {
	start, n := processorTime(), 0
	for ; n < freshLeast || n < freshMost && processorTime()-start < freshEnough; n++ {
		if err := t.ctx.Err(); err != nil {
			return 0, err
		}
		deliver()
	}
	return (processorTime() - start) / float64(n), nil
}

func (t *trial) heldInLog(size int) error {
	folder, err := os.MkdirTemp(t.Folder, "log")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	before, start := t.heap(), processorTime()
	log, err := t.fill(folder, size)
	if err != nil {
		return err
	}
	defer log.Close()
	t.record(logTake, float64(size), processorTime()-start)
	t.record(logMemory, float64(size), t.heap()-before)
	t.record(logDisk, float64(size), float64(log.Used()))
	return nil
}

// heldType is the type of messages that are written to a log, heldDestination their destination.
const (
	heldType        = "update"
	heldDestination = 1
)

// logLimit is the space in bytes that a log with so many messages needs at most, half of it being for compaction.
func logLimit(size int) int64 { return 1<<21 + int64(size)*(bodyBytes+200)*5/2 }

// fill writes so many messages to a log in a folder; they expire in a day.
func (t *trial) fill(folder string, size int) (*ledger.Ledger, error) {
	log, err := ledger.Open(folder, logLimit(size))
	if err != nil {
		return nil, err
	}
	expiry := time.Now().Add(24 * time.Hour).UnixMicro()
	for i := range size {
		if i%1000 == 0 && t.ctx.Err() != nil {
			log.Close()
			return nil, t.ctx.Err()
		}
		e := &ledger.Entry{Dest: heldDestination, Type: heldType, ID: fmt.Sprintf("%016x", i), Expiry: expiry,
			Body: bytes.Repeat([]byte("x"), bodyBytes)}
		if err := log.Take(e); err != nil {
			log.Close()
			return nil, fmt.Errorf("message %d of %d: %w", i, size, err)
		}
	}
	return log, nil
}
