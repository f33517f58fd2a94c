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
	heldAccept  = quantity{"processor time of taking all in one turn", "messages held", "s"}
	heldFresh   = quantity{"processor time of a fresh message beside them", "messages held", "s"}
	heldExpired = quantity{"processor time of giving all up in one turn", "messages held", "s"}
	heldDrained = quantity{"processor time of each message that drains of them", "messages held", "s"}
	logMemory   = quantity{"memory in the write-ahead log", "messages held", "bytes"}
	logDisk     = quantity{"bytes on disk", "messages held", "bytes"}
	logWrite    = quantity{"processor time of writing all to the log", "messages held", "s"}
)

const (
	bodyBytes        = 300  // length of a message body
	maxFreshMessages = 2000 // maximum number of fresh messages that are averaged
	minFreshMessages = 16
	drainedFraction  = 0.05 // largest fraction of the held messages that drains during a measurement
	maxFreshTime     = 0.1  // seconds of processor time after which no more messages are measured
)

// measureHeldMessage measures the cost of a message that is held because its destination sent a Retry-After.
func measureHeldMessage(t *trial) error {
	if err := t.sweep("the write-ahead log", 0.15, linearTime, sizes(t.Largest), t.heldInLog); err != nil {
		return err
	}
	if err := t.sweep("a drain", 0.15, quadraticTime, sizes(t.Largest), t.drainHeld); err != nil {
		return err
	}
	return t.sweep("the scheduler", 0.7, quadraticTime, sizes(t.Largest), t.heldInScheduler)
}

func (t *trial) heldInScheduler(size int) error {
	before := t.heapBytes()
	var s *measuredScheduler
	accepted, err := t.bestOf(func() (float64, error) {
		var took float64
		s = nil
		t.heapBytes()
		s, took = t.hold(size)
		return took, nil
	})
	if err != nil {
		return err
	}
	t.record(heldAccept, float64(size), accepted)
	t.record(heldMemory, float64(size), t.heapBytes()-before)
	responsive := s.destinations[0]
	meanFreshTime, err := t.bestOf(func() (float64, error) {
		return t.meanFreshTime(func() bool {
			s.deliver(responsive)
			return true
		})
	})
	if err != nil {
		return err
	}
	if s.host.ended > 0 {
		return fmt.Errorf("%d messages ended while %d were held, before their expiry", s.host.ended, size)
	}
	t.record(heldFresh, float64(size), meanFreshTime)
	expired, err := t.bestOf(func() (float64, error) {
		if s.host.ended > 0 {
			s = nil
			t.heapBytes()
			s, _ = t.hold(size)
		}
		s.advance(messageTimeToLive + 1)
		took := withoutCollection(s.Reconcile)
		if s.host.ended < size {
			return 0, fmt.Errorf("%d of %d messages ended at their expiry", s.host.ended, size)
		}
		return took, nil
	})
	if err == nil {
		t.record(heldExpired, float64(size), expired)
	}
	return err
}

// hold starts a scheduler with two destinations. The second one has sent a Retry-After and receives the messages to
// hold. The returned processor time in seconds is that of accepting these messages in one round.
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

// meanFreshTime returns the mean processor time in seconds of deliver. Each call of deliver makes the scheduler take
// all decisions about one message. It returns false once there are no more messages.
func (t *trial) meanFreshTime(deliver func() bool) (float64, error) {
	n := 0
	took := withoutCollection(func() {
		start := processorTime()
		for t.ctx.Err() == nil && (n < minFreshMessages || n < maxFreshMessages && processorTime()-start < maxFreshTime) && deliver() {
			n++
		}
	})
	if n == 0 {
		return 0, errors.Join(errors.New("no message was delivered"), t.ctx.Err())
	}
	return took / float64(n), t.ctx.Err()
}

// drainHeld measures the processor time of the decisions to send held messages after their destination's Retry-After
// has ended. Each call that ends makes the scheduler send another message.
func (t *trial) drainHeld(size int) error {
	perMessage, err := t.bestOf(func() (float64, error) {
		t.heapBytes()
		s := newScheduler(2*size+100, t.Seed)
		s.addDestinations(1)
		s.BlockUntil(s.endpoints[0], s.now+blockedTime)
		for i := range size {
			s.accept(s.destinations[0], i)
		}
		s.Reconcile()
		if len(s.host.inFlight) > 0 {
			return 0, fmt.Errorf("%d messages were sent before the end of the Retry-After", len(s.host.inFlight))
		}
		s.advance(blockedTime + 1)
		s.Reconcile()
		// Only a small fraction of the messages drains. The number of held messages thus stays about the same, and
		// the scheduler can send another message after each call.
		left := min(size-len(s.host.inFlight), max(minFreshMessages, int(drainedFraction*float64(size))))
		perMessage, err := t.meanFreshTime(func() bool { return s.endFirst(&left) })
		if err == nil && s.host.ended > 0 {
			err = fmt.Errorf("%d messages expired or were rejected while they drained", s.host.ended)
		}
		return perMessage, err
	})
	if err == nil {
		t.record(heldDrained, float64(size), perMessage)
	}
	return err
}

// endFirst ends the oldest call in flight, after which the scheduler sends another, and decrements the number of calls
// left to end. It returns false if no call is left.
func (s *measuredScheduler) endFirst(left *int) bool {
	if *left <= 0 || len(s.host.inFlight) == 0 {
		return false
	}
	*left--
	d := s.host.inFlight[0]
	s.host.inFlight = s.host.inFlight[1:]
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
	before, start := t.heapBytes(), processorTime()
	log, err := t.fillLog(folder, size)
	if err != nil {
		return err
	}
	defer log.Close()
	t.record(logWrite, float64(size), processorTime()-start)
	t.record(logMemory, float64(size), t.heapBytes()-before)
	t.record(logDisk, float64(size), float64(log.Used()))
	return nil
}

// The type and destination of the messages that are written to a write-ahead log.
const (
	heldType        = "update"
	heldDestination = 1
)

// logLimit returns a limit in bytes that is large enough for a write-ahead log with the given number of messages. Half
// of it is for compaction.
func logLimit(size int) int64 { return 1<<21 + int64(size)*(bodyBytes+200)*5/2 }

// fillLog writes messages that expire in a day to a write-ahead log in a folder.
func (t *trial) fillLog(folder string, size int) (*wal.Log, error) {
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
