package measure

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
)

var (
	heldMemory  = quantity{"memory in the scheduler", "messages held", "bytes"}
	heldTake    = quantity{"processor time of taking all in one turn", "messages held", "s"}
	heldFresh   = quantity{"processor time of a fresh message beside them", "messages held", "s"}
	heldGivenUp = quantity{"processor time of giving all up in one turn", "messages held", "s"}
	heldDrained = quantity{"processor time of each message that drains of them", "messages held", "s"}
	logMemory   = quantity{"memory in the write-ahead log", "messages held", "bytes"}
	logDisk     = quantity{"bytes on disk", "messages held", "bytes"}
	logTake     = quantity{"processor time of writing all to the log", "messages held", "s"}
)

const (
	bodyBytes       = 300  // of a message
	freshMost       = 2000 // fresh messages of which the mean is taken, at most
	freshLeast      = 16
	drainedFraction = 0.05 // of the messages held that drain while they are measured, at most
	freshEnough     = 0.1  // seconds of processor time after which the mean is taken
)

// measureHeldMessage measures what a message costs that is held for a destination which sent a retry-after.
func measureHeldMessage(t *trial) error {
	if err := t.sweep("the write-ahead log", 0.15, linearly, sizes(t.Largest), t.heldInLog); err != nil {
		return err
	}
	if err := t.sweep("a drain", 0.15, quadratically, sizes(t.Largest), t.drain); err != nil {
		return err
	}
	return t.sweep("the scheduler", 0.7, quadratically, sizes(t.Largest), t.heldInScheduler)
}

func (t *trial) heldInScheduler(size int) error {
	before := t.heap()
	var s *measuredScheduler
	taken, err := t.bestOf(func() (float64, error) {
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
	fresh, err := t.bestOf(func() (float64, error) {
		return t.fresh(func() bool {
			s.deliver(busy)
			return true
		})
	})
	if err != nil {
		return err
	}
	if s.host.ended > 0 {
		return fmt.Errorf("%d of %d messages were given up before their time", s.host.ended, size)
	}
	t.record(heldFresh, float64(size), fresh)
	givenUp, err := t.bestOf(func() (float64, error) {
		if s.host.ended > 0 {
			s = nil
			t.heap()
			s, _ = t.hold(size)
		}
		s.advance(messageTimeToLive + 1)
		took := withoutCollection(s.Reconcile)
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

// hold makes a scheduler with two destinations, of which the second has sent a retry-after and has so many messages,
// and returns the processor time in seconds of accepting these in one round.
func (t *trial) hold(size int) (*measuredScheduler, float64) {
	s := newScheduler(2*size+100, t.Seed)
	s.addDestinations(2)
	s.block(s.destinations[1])
	took := withoutCollection(func() {
		for i := range size {
			s.accept(s.destinations[1], i)
		}
		s.Reconcile()
	})
	return s, took
}

// fresh is the mean processor time in seconds of a message's decisions; deliver makes them, and returns whether there
// was one.
func (t *trial) fresh(deliver func() bool) (float64, error) {
	n := 0
	took := withoutCollection(func() {
		start := processorTime()
		for t.ctx.Err() == nil && (n < freshLeast || n < freshMost && processorTime()-start < freshEnough) && deliver() {
			n++
		}
	})
	if n == 0 {
		return 0, errors.Join(errors.New("no message was delivered"), t.ctx.Err())
	}
	return took / float64(n), t.ctx.Err()
}

// drain measures the decisions of a message that goes out once its destination takes calls again, one for each that
// has ended.
func (t *trial) drain(size int) error {
	each, err := t.bestOf(func() (float64, error) {
		t.heap()
		s := newScheduler(2*size+100, t.Seed)
		s.addDestinations(1)
		s.BlockUntil(s.targets[0], s.now+blockedTime)
		for i := range size {
			s.accept(s.destinations[0], i)
		}
		s.Reconcile()
		if len(s.host.out) > 0 {
			return 0, fmt.Errorf("%d messages were sent within a wait", len(s.host.out))
		}
		s.advance(blockedTime + 1)
		s.Reconcile()
		// So few that about as many are held at the end, and further ones go out at each end.
		most := min(size-len(s.host.out), max(freshLeast, int(drainedFraction*float64(size))))
		each, err := t.fresh(func() bool { return s.endFirst(&most) })
		if err == nil && s.host.ended > 0 {
			err = fmt.Errorf("%d messages were given up while they drained", s.host.ended)
		}
		return each, err
	})
	if err == nil {
		t.record(heldDrained, float64(size), each)
	}
	return err
}

// endFirst ends the call that has been out for longest, after which another goes out, and counts down how many there
// are yet. It returns whether there was one.
func (s *measuredScheduler) endFirst(left *int) bool {
	if *left <= 0 || len(s.host.out) == 0 {
		return false
	}
	*left--
	d := s.host.out[0]
	s.host.out = s.host.out[1:]
	s.advance(0.001)
	s.AttemptEnded(d, scheduler.AttemptResult{Outcome: scheduler.Delivered, Final: true, Latency: callLatency})
	s.Reconcile()
	return true
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

// heldType is the type of messages that are written to a write-ahead log, heldDestination their destination.
const (
	heldType        = "update"
	heldDestination = 1
)

// logLimit is the space in bytes that a write-ahead log with so many messages needs at most, half of it being for
// compaction.
func logLimit(size int) int64 { return 1<<21 + int64(size)*(bodyBytes+200)*5/2 }

// fill writes so many messages to a write-ahead log in a folder; they expire in a day.
func (t *trial) fill(folder string, size int) (*wal.Log, error) {
	log, err := wal.Open(folder, logLimit(size))
	if err != nil {
		return nil, err
	}
	expiry := time.Now().Add(24 * time.Hour).UnixMicro()
	for i := range size {
		if i%1000 == 0 && t.ctx.Err() != nil {
			log.Close()
			return nil, t.ctx.Err()
		}
		e := &wal.Entry{Destination: heldDestination, Type: heldType, ID: fmt.Sprintf("%016x", i), Expiry: expiry,
			Body: bytes.Repeat([]byte("x"), bodyBytes)}
		if err := log.Append(e); err != nil {
			log.Close()
			return nil, fmt.Errorf("message %d of %d: %w", i, size, err)
		}
	}
	return log, nil
}
