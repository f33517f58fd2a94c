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

// measureRestart measures how long a restart takes by the number of unanswered messages.
func measureRestart(t *trial) error {
	for _, s := range []struct {
		what    string
		share   float64
		growth  float64
		measure func(size int) error
	}{
		{"the write-ahead log", 0.2, linearly, t.openLog},
		{"the scheduler, none tried", 0.2, quadratically, func(size int) error { return t.recover(size, recoverUntried, scheduler.RecoveredState{}) }},
		{"the scheduler, all tried once", 0.2, quadratically, func(size int) error { return t.recover(size, recoverTried, scheduler.RecoveredState{Attempts: 1}) }},
		{"the forwarder", 0.4, linearly, t.restartForwarder},
	} {
		if err := t.sweep(s.what, s.share, s.growth, sizes(t.Largest), s.measure); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) openLog(size int) error {
	folder, err := t.filled(size)
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	opened, memory := 0.0, 0.0
	opened, err = t.bestOf(func() (float64, error) {
		before, start := t.heap(), time.Now()
		log, err := wal.Open(folder, logLimit(size))
		took := time.Since(start).Seconds()
		if err != nil {
			return 0, err
		}
		defer log.Close()
		memory = t.heap() - before
		if owed := len(log.Pending()); owed != size {
			return 0, fmt.Errorf("the log gave %d of %d messages", owed, size)
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

// filled is a new folder with a write-ahead log of so many messages that no process has open.
func (t *trial) filled(size int) (folder string, err error) {
	folder, err = os.MkdirTemp(t.Folder, "log")
	if err != nil {
		return "", err
	}
	log, err := t.fill(folder, size)
	if err == nil {
		err = log.Close()
	}
	if err != nil {
		os.RemoveAll(folder)
	}
	return folder, err
}

// recover measures from the scheduler's start until it has reconciled all that an earlier process left unanswered. The
// destination's retry-after outlasts the start, so that all of it stays held.
func (t *trial) recover(size int, q quantity, past scheduler.RecoveredState) error {
	took, err := t.bestOf(func() (float64, error) {
		t.heap()
		var s *measuredScheduler
		took := withoutCollection(func() { s = newRecoveredScheduler(2*size+100, size, past, t.Seed) })
		if s.host.ended > 0 || len(s.host.out) > 0 {
			return 0, fmt.Errorf("of %d messages %d were given up and %d sent, within a wait", size, s.host.ended, len(s.host.out))
		}
		t.heap()
		return took, nil
	})
	if err == nil {
		t.record(q, float64(size), took)
	}
	return err
}

// newRecoveredScheduler starts a scheduler with what an earlier process left unanswered for a destination that sent a
// retry-after.
func newRecoveredScheduler(capacity, size int, past scheduler.RecoveredState, seed uint64) *measuredScheduler {
	s := newScheduler(capacity, seed)
	s.addDestinations(2)
	s.BlockUntil(s.targets[1], s.now+blockedTime)
	for i := range size {
		s.Recover(&scheduler.Message{ID: uint64(i), Dest: s.destinations[1], Size: typicalSize}, 0, messageTimeToLive, past)
	}
	s.Reconcile()
	return s
}

func (t *trial) restartForwarder(size int) error {
	folder, err := t.filled(size)
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
