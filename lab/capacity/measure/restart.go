package measure

import (
	"fmt"
	"os"
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
)

var (
	openTime        = quantity{"time to open the write-ahead log", "messages owed", "s"}
	openMemory      = quantity{"memory in the write-ahead log after opening", "messages owed", "bytes"}
	recoverUntried  = quantity{"processor time to the scheduler's readiness, none tried", "messages owed", "s"}
	recoverTried    = quantity{"processor time to the scheduler's readiness, all tried once", "messages owed", "s"}
	readyAfter      = quantity{"time to the forwarder's readiness", "messages owed", "s"}
	readyWithMemory = quantity{"memory of the forwarder when ready", "messages owed", "bytes"}
)

// measureRestart measures how long a restart takes for several numbers of pending messages.
func measureRestart(t *trial) error {
	for _, s := range []struct {
		subject string
		share   float64
		growth  float64
		measure func(size int) error
	}{
		{"the write-ahead log", 0.2, linearTime, t.openLog},
		{"the scheduler, none tried", 0.2, quadraticTime, func(size int) error { return t.recover(size, recoverUntried, scheduler.RecoveredState{}) }},
		{"the scheduler, all tried once", 0.2, quadraticTime, func(size int) error { return t.recover(size, recoverTried, scheduler.RecoveredState{Attempts: 1}) }},
		{"the forwarder", 0.4, linearTime, t.restartForwarder},
	} {
		if err := t.sweep(s.subject, s.share, s.growth, sizes(t.Largest), s.measure); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) openLog(size int) error {
	folder, err := t.newFilledLog(size)
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	opened, memory := 0.0, 0.0
	opened, err = t.bestOf(func() (float64, error) {
		before, start := t.heapBytes(), time.Now()
		log, err := wal.Open(folder, logLimit(size))
		took := time.Since(start).Seconds()
		if err != nil {
			return 0, err
		}
		defer log.Close()
		memory = t.heapBytes() - before
		if pending := len(log.Pending()); pending != size {
			return 0, fmt.Errorf("the log has %d of %d messages pending", pending, size)
		}
		return took, nil
	})
	if err != nil {
		return err
	}
	t.record(openTime, float64(size), opened)
	t.record(openMemory, float64(size), memory)
	return nil
}

// newFilledLog creates a folder with a closed write-ahead log of pending messages.
func (t *trial) newFilledLog(size int) (folder string, err error) {
	folder, err = os.MkdirTemp(t.Folder, "log")
	if err != nil {
		return "", err
	}
	log, err := t.fillLog(folder, size)
	if err == nil {
		err = log.Close()
	}
	if err != nil {
		os.RemoveAll(folder)
	}
	return folder, err
}

// recover measures the time from the scheduler's start until it has reconciled all messages that a predecessor left
// pending. Their destination is blocked by a Retry-After, so that all of them stay held.
func (t *trial) recover(size int, q quantity, state scheduler.RecoveredState) error {
	took, err := t.bestOf(func() (float64, error) {
		t.heapBytes()
		var s *measuredScheduler
		took := withoutCollection(func() { s = newRecoveredScheduler(2*size+100, size, state, t.Seed) })
		if s.host.ended > 0 || len(s.host.inFlight) > 0 {
			return 0, fmt.Errorf("of %d messages %d ended and %d were sent before the end of the Retry-After", size, s.host.ended, len(s.host.inFlight))
		}
		t.heapBytes()
		return took, nil
	})
	if err == nil {
		t.record(q, float64(size), took)
	}
	return err
}

// newRecoveredScheduler starts a scheduler with messages that a predecessor left pending for a destination that sent a
// Retry-After.
func newRecoveredScheduler(capacity, size int, state scheduler.RecoveredState, seed uint64) *measuredScheduler {
	s := newScheduler(capacity, seed)
	s.addDestinations(2)
	s.BlockUntil(s.endpoints[1], s.now+blockedTime)
	for i := range size {
		s.Recover(&scheduler.Message{ID: uint64(i), Dest: s.destinations[1], Size: typicalSize}, 0, messageTimeToLive, state)
	}
	s.Reconcile()
	return s
}

func (t *trial) restartForwarder(size int) error {
	folder, err := t.newFilledLog(size)
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	c := &configuration{destinations: 2, unlisted: heldDestination, folder: folder, disk: logLimit(size)}
	var memory int64
	took, err := t.bestOf(func() (float64, error) {
		p, err := t.start(c)
		if err != nil {
			return 0, err
		}
		defer p.kill()
		memory, err = t.memoryOf(p)
		return p.readyAfter.Seconds(), err
	})
	if err != nil {
		return err
	}
	t.record(readyAfter, float64(size), took)
	t.record(readyWithMemory, float64(size), float64(memory))
	return nil
}
