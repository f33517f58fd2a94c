package forwarder

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/signals"
	"spanflow/internal/wal"
)

// Backlog configures the store in which messages wait for destinations that are unreachable or far behind.
type Backlog struct {
	Folder           string
	Bytes            int64 // on disk, all files counted
	DestinationBytes int64 // of stored messages of one destination; 0: no bound of their own
	TenantBytes      int64 // of stored messages of one tenant; 0: no bound of their own
	Window           int   // messages of a lane (destination and tenant) that stay in memory before stored ones
	Behind           int   // messages of a lane beyond which its destination counts as far behind
}

// storeBounds are the bounds of the files.
func (b *Backlog) storeBounds() backlog.Bounds { return backlog.Bounds{Bytes: b.Bytes} }

// policyBounds are the bounds of the decisions; capacity is how many messages the scheduler holds at once.
func (b *Backlog) policyBounds(capacity int) policy.Bounds {
	bounds := policy.Bounds{
		Bytes:            b.Bytes,
		DestinationBytes: b.DestinationBytes,
		TenantBytes:      b.TenantBytes,
		Window:           b.Window,
		Behind:           b.Behind,
	}.WithDefaults(capacity)
	if bounds.DestinationBytes == 0 {
		bounds.DestinationBytes = b.Bytes
	}
	if bounds.TenantBytes == 0 {
		bounds.TenantBytes = b.Bytes
	}
	return bounds
}

// backlogState is the backlog store with what the event loop keeps of the messages that could go there.
type backlogState struct {
	store      *backlog.Store
	mover      *backlog.Mover
	policy     *policy.Policy
	lanes      map[backlog.Lane]*list.List // of *trackedMessage in memory, in the order of accepting
	firstSeq   uint64                      // numbers below it are of earlier processes
	inBoth     int                         // messages found in the write-ahead log and in the store at the start
	overtaking []backlog.Ref               // found in the write-ahead log though older ones of their lane are stored
	wakeAt     time.Time                   // when to look for moves again; zero: with the next event
	counts     backlogCounts
	gauges     backlogGauges
}

// openBacklog opens the store, if the configuration asks for one. A ctx that ends interrupts it.
func (loop *eventLoop) openBacklog(ctx context.Context) error {
	config := loop.config.Backlog
	if config == nil {
		return nil
	}
	decisions, err := policy.New(config.policyBounds(loop.config.Scheduler.QueueCapacity))
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	folder, err := filepath.Abs(config.Folder)
	if err != nil {
		return fmt.Errorf("backlog: folder: %w", err)
	}
	start := time.Now()
	open := func() (*backlog.Store, error) { return backlog.Open(backlog.OS{}, folder, config.storeBounds()) }
	store, err := signals.Interruptible(ctx, open, func(s *backlog.Store) { _ = s.Close() })
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	loop.backlog = &backlogState{
		store:  store,
		mover:  backlog.NewMover(walMover{loop.wal}, store),
		policy: decisions,
		lanes:  map[backlog.Lane]*list.List{},
	}
	if err := loop.resolveMoves(); err != nil {
		loop.closeBacklog()
		return fmt.Errorf("backlog: %w", err)
	}
	loop.telemetry.log.Info().Int("messages", store.Messages()).Int64("bytes", store.Bytes()).
		Dur("took_ms", time.Since(start)).Msg("backlog opened")
	return nil
}

// resolveMoves completes the moves that a kill interrupted. With an error a message may be in the write-ahead log and
// in the store: served then, it would be delivered twice.
func (loop *eventLoop) resolveMoves() error {
	owed := loop.wal.Pending()
	refs := make([]backlog.Ref, len(owed))
	for i, e := range owed {
		refs[i] = backlog.NewRef(laneOf(e), e.Seq, e.ID, e.Key)
	}
	before := loop.backlog.store.Messages()
	overtaking, err := loop.backlog.mover.Resolve(refs)
	loop.backlog.overtaking = overtaking
	loop.backlog.inBoth = before - loop.backlog.store.Messages()
	return err
}

// setBacklogBounds applies other bounds while the forwarder runs. What is stored beyond lower ones stays.
func (loop *eventLoop) setBacklogBounds(config *Backlog) error {
	bounds := config.policyBounds(loop.config.Scheduler.QueueCapacity)
	if err := bounds.Check(); err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	if err := loop.backlog.store.SetBounds(config.storeBounds()); err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	return loop.backlog.policy.SetBounds(bounds)
}

// closeBacklog closes the store, before the write-ahead log's folder is free for another process.
func (loop *eventLoop) closeBacklog() {
	if loop.backlog == nil {
		return
	}
	if err := loop.backlog.store.Close(); err != nil {
		loop.telemetry.log.Error().Err(err).Msg("backlog cannot be closed")
	}
}

// restoreBacklog informs the policy of what is stored. It returns the numbers of those messages in the write-ahead
// log that are answered without a call, as older ones of their lane are stored.
//
// Of an ordering key that has messages both in the write-ahead log and stored in another lane, those in the write-ahead
// log are the older ones, so that nothing more is to be resolved: while one is stored, admitToBacklog accepts no newer
// one of another lane, and spillable stores none while a newer one of another lane is in memory. Nothing comes back to
// the write-ahead log that is newer, as all stored ones of a key are in one lane and come back in its order (those that
// expire are answered without a call); until the store has released it, also after a kill, a message counts as stored.
// It does not hold across a start with a changed setting, if messages were stored while their type did not keep the
// order of keys.
func (loop *eventLoop) restoreBacklog() (overtaking map[uint64]bool) {
	b := loop.backlog
	if b == nil {
		return nil
	}
	overtaking = map[uint64]bool{}
	for _, ref := range b.overtaking {
		overtaking[ref.Seq] = true
	}
	b.overtaking = nil
	loop.wal.Reserve(b.store.LastSeq())
	b.firstSeq = loop.wal.NextSeq()
	for _, lane := range b.store.Lanes() {
		usage := b.store.LaneUsage(lane)
		b.policy.Stored(policyLane(lane), usage.Messages, usage.Bytes)
	}
	loop.telemetry.log.Info().Int("messages", b.store.Messages()).Int("in_both", b.inBoth).
		Int("answered_without_call", len(overtaking)).Msg("backlog resolved")
	return overtaking
}

// hasID reports whether a message with a client's id is stored.
func (b *backlogState) hasID(id string) bool { return b != nil && b.store.HasID(id) }

// logBacklogError logs that the store cannot be read or written.
func (loop *eventLoop) logBacklogError(err error) {
	if !loop.telemetry.mayLog("backlog") {
		return
	}
	var damage *backlog.DamageError
	if errors.As(err, &damage) {
		loop.telemetry.log.Error().Err(err).Msg("backlog damaged")
		return
	}
	loop.telemetry.log.Error().Err(err).Msg("backlog cannot be written")
}

// walMover adapts the write-ahead log to backlog.Mover, which moves messages from it and to it.
type walMover struct{ wal *wal.Log }

// Restore records a message whole under its number.
func (l walMover) Restore(m *backlog.Message) error { return l.wal.Restore(entryOf(m)) }

// Forget records that the message with a number is done.
func (l walMover) Forget(seq uint64) error { return l.wal.RecordDone(seq) }
