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

// Backlog configures the store on disk for messages whose destinations are unreachable or far behind.
type Backlog struct {
	Folder           string
	Bytes            int64 // limit of all files on disk
	DestinationBytes int64 // limit of stored messages of one destination; 0 means no separate limit
	TenantBytes      int64 // limit of stored messages of one tenant; 0 means no separate limit
	Window           int   // messages of a lane (destination and tenant) that stay in memory, ahead of stored ones
	Behind           int   // number of messages of a lane above which its destination counts as far behind
}

// storeBounds returns the limits of the store's files.
func (b *Backlog) storeBounds() backlog.Bounds { return backlog.Bounds{Bytes: b.Bytes} }

// policyBounds returns the limits for the policy's decisions. capacity is the scheduler's queue capacity in messages.
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

// backlogState holds the backlog store and the event loop's records of messages that may be moved to it.
type backlogState struct {
	store      *backlog.Store
	mover      *backlog.Mover
	policy     *policy.Policy
	lanes      map[backlog.Lane]*list.List // of *trackedMessage in memory, in the order of admission
	firstSeq   uint64                      // lower numbers were assigned by earlier processes
	inBoth     int                         // number of messages both in the write-ahead log and in the store at the start
	overtaking []backlog.Ref               // messages in the log although older ones of their lane are stored
	wakeAt     time.Time                   // when to check for moves again; zero means with the next event
	counts     backlogCounts
	gauges     backlogGauges
}

// openBacklog opens the store if one is configured. Cancelling ctx interrupts it.
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

// resolveMoves completes the moves that a kill interrupted. After an error a message may be both in the write-ahead log
// and in the store. The forwarder must not serve then, because it would deliver the message twice.
func (loop *eventLoop) resolveMoves() error {
	pending := loop.wal.Pending()
	refs := make([]backlog.Ref, len(pending))
	for i, e := range pending {
		refs[i] = backlog.NewRef(laneOf(e), e.Seq, e.ID, e.Key)
	}
	before := loop.backlog.store.Messages()
	overtaking, err := loop.backlog.mover.Resolve(refs)
	loop.backlog.overtaking = overtaking
	loop.backlog.inBoth = before - loop.backlog.store.Messages()
	return err
}

// setBacklogBounds applies new limits while the forwarder runs. Messages already stored beyond lower limits stay.
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

// closeBacklog closes the store. It runs before the folder of the write-ahead log is released to another process.
func (loop *eventLoop) closeBacklog() {
	if loop.backlog == nil {
		return
	}
	if err := loop.backlog.store.Close(); err != nil {
		loop.telemetry.log.Error().Err(err).Msg("backlog cannot be closed")
	}
}

// restoreBacklog informs the policy of the stored messages. It returns the numbers of the messages in the write-ahead
// log that are answered without a call because older messages of their lane are stored.
//
// If an ordering key has messages in the write-ahead log and stored messages in another lane, those in the write-ahead
// log are the older ones, so nothing else needs to be resolved. While a message is stored, admitToBacklog accepts no
// newer one of its key for another lane, and spillable stores no message while a newer one of its key and another lane
// is in memory. All stored messages of a key are in one lane and are loaded in that lane's order (expired ones are
// answered without a call), so that no newer message is loaded into the write-ahead log before an older one. A message
// counts as stored until the store has released it, also after a kill.
//
// This does not hold across a start with changed settings if messages were stored while their type did not keep the
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
		Int("answered_without_call", len(overtaking)).Msg("interrupted backlog moves resolved")
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
	loop.telemetry.log.Error().Err(err).Msg("backlog cannot be read or written")
}

// walMover adapts the write-ahead log to backlog.Mover, which moves messages between it and the store.
type walMover struct{ wal *wal.Log }

// Restore writes a complete message to the write-ahead log under its number.
func (l walMover) Restore(m *backlog.Message) error { return l.wal.Restore(entryOf(m)) }

// Forget records that the message with number seq is done.
func (l walMover) Forget(seq uint64) error { return l.wal.RecordDone(seq) }
