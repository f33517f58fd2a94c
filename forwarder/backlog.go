package forwarder

import (
	"container/list"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Backlog is what an order says of the store in which messages wait for destinations that are out or far behind.
type Backlog struct {
	Folder           string
	Bytes            int64 // on disk, all files counted
	DestinationBytes int64 // of stored messages of one destination; 0: no bound of their own
	TenantBytes      int64 // of stored messages of one tenant; 0: no bound of their own
	Window           int   // messages of a lane (destination and tenant) that stay in memory before those that are stored
	Behind           int   // messages of a lane beyond which its destination counts as far behind
}

// storeBounds are the bounds of the files.
func (b *Backlog) storeBounds() backlog.Bounds { return backlog.Bounds{Bytes: b.Bytes} }

// policyBounds are the bounds of the decisions; room is how many messages the scheduler holds at once.
func (b *Backlog) policyBounds(room int) policy.Bounds {
	bounds := policy.Bounds{
		Bytes:            b.Bytes,
		DestinationBytes: b.DestinationBytes,
		TenantBytes:      b.TenantBytes,
		Window:           b.Window,
		Behind:           b.Behind,
	}.WithDefaults(room)
	if bounds.DestinationBytes == 0 {
		bounds.DestinationBytes = b.Bytes
	}
	if bounds.TenantBytes == 0 {
		bounds.TenantBytes = b.Bytes
	}
	return bounds
}

// stored is the backlog store with what the event loop keeps of the messages that could go there.
type stored struct {
	store    *backlog.Store
	mover    *backlog.Mover
	policy   *policy.Policy
	lanes    map[backlog.Lane]*list.List // papers in memory, in the order of taking
	firstSeq uint64                      // numbers below it are of earlier processes
	inBoth   int                         // messages that the start found in the write-ahead log and in the store
	past     []backlog.Ref               // that the start found in the write-ahead log though older ones of their lane are stored
	wakeAt   time.Time                   // when to look for moves again; zero: with the next news
	counts   backlogCounts
	levels   backlogLevels
}

// openBacklog opens the store, if the order asks for one.
func (o *owner) openBacklog() error {
	asked := o.order.Backlog
	if asked == nil {
		return nil
	}
	decisions, err := policy.New(asked.policyBounds(o.order.Scheduler.QueueCapacity))
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	folder, err := filepath.Abs(asked.Folder)
	if err != nil {
		return fmt.Errorf("backlog: folder: %w", err)
	}
	start := time.Now()
	store, err := backlog.Open(backlog.OS{}, folder, asked.storeBounds())
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	o.stored = &stored{
		store:  store,
		mover:  backlog.NewMover(backlogLog{o.ledger}, store),
		policy: decisions,
		lanes:  map[backlog.Lane]*list.List{},
	}
	if err := o.endMoves(); err != nil {
		o.closeBacklog()
		return fmt.Errorf("backlog: %w", err)
	}
	o.log.Info().Int("messages", store.Messages()).Int64("bytes", store.Bytes()).Dur("took_ms", time.Since(start)).Msg("backlog opened")
	return nil
}

// endMoves ends the moves that a kill has cut short. With an error a message may be in the write-ahead log and in the
// store: served then, it would be delivered twice.
func (o *owner) endMoves() error {
	owed := o.ledger.Pending()
	refs := make([]backlog.Ref, len(owed))
	for i, e := range owed {
		refs[i] = backlog.NewRef(laneOf(e), e.Seq, e.ID, e.Key)
	}
	before := o.stored.store.Messages()
	past, err := o.stored.mover.Resolve(refs)
	o.stored.past, o.stored.inBoth = past, before-o.stored.store.Messages()
	return err
}

// setBacklogBounds takes up other bounds while the forwarder runs. Reason is stored beyond lower ones stays.
func (o *owner) setBacklogBounds(asked *Backlog) error {
	bounds := asked.policyBounds(o.order.Scheduler.QueueCapacity)
	if err := bounds.Check(); err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	if err := o.stored.store.SetBounds(asked.storeBounds()); err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	return o.stored.policy.SetBounds(bounds)
}

// closeBacklog ends the use of the store, before the write-ahead log's folder is free for another process.
func (o *owner) closeBacklog() {
	if o.stored == nil {
		return
	}
	if err := o.stored.store.Close(); err != nil {
		o.log.Error().Err(err).Msg("backlog cannot be closed")
	}
}

// backlogLog makes the write-ahead log the log that messages are moved from and to.
type backlogLog struct{ ledger *wal.Log }

// Restore records a message whole under its number.
func (l backlogLog) Restore(m *backlog.Message) error { return l.ledger.Restore(entryOf(m)) }

// Forget records that nothing more is owed for a number.
func (l backlogLog) Forget(seq uint64) error { return l.ledger.RecordDone(seq) }

// laneOf is the lane of a message.
func laneOf(e *wal.Entry) backlog.Lane {
	return backlog.Lane{Destination: e.Destination, Tenant: uint32(e.Tenant)}
}

func policyLane(l backlog.Lane) policy.Lane {
	return policy.Lane{Destination: l.Destination, Tenant: l.Tenant}
}

// laneOfDoc is the lane of a message that the scheduler has.
func laneOfDoc(d *scheduler.Message) backlog.Lane {
	return backlog.Lane{Destination: d.Dest.ID, Tenant: uint32(d.Tenant)}
}

// keepsOrder tells if a message's type keeps the order of its key. One of an unknown type counts as of the first, as
// for the scheduler.
func (o *owner) keepsOrder(e *wal.Entry) bool {
	return o.order.Scheduler.Types[o.types[e.Type]].InOrder
}

// keyElsewhere tells if a message has to go after one of its ordering key that is stored in another lane.
func (o *owner) keyElsewhere(e *wal.Entry) bool {
	return o.keepsOrder(e) && o.stored.store.KeyElsewhere(e.Key, laneOf(e))
}

// messageOf is what the store keeps of a message.
func (o *owner) messageOf(e *wal.Entry, taken time.Time) *backlog.Message {
	return &backlog.Message{
		Seq:              e.Seq,
		Lane:             laneOf(e),
		Key:              e.Key,
		Ordered:          o.keepsOrder(e),
		Type:             e.Type,
		ID:               e.ID,
		Body:             e.Body,
		Taken:            taken.UnixMicro(),
		Expiry:           e.Expiry,
		Attempts:         uint32(e.Attempts),
		MayHaveRun:       e.FirstRanAt,
		MayHaveRunZone:   uint32(e.FirstRanZone),
		DeduplicationKey: e.IdempotencyKey,
		Frontend:         e.Frontend,
	}
}

// entryOf is the message that the store kept.
func entryOf(m *backlog.Message) *wal.Entry {
	return &wal.Entry{
		Seq:            m.Seq,
		Key:            m.Key,
		Destination:    m.Lane.Destination,
		Tenant:         int(m.Lane.Tenant),
		Type:           m.Type,
		ID:             m.ID,
		IdempotencyKey: m.DeduplicationKey,
		Expiry:         m.Expiry,
		Attempts:       int(m.Attempts),
		FirstRanAt:     m.MayHaveRun,
		FirstRanZone:   int(m.MayHaveRunZone),
		Body:           m.Body,
		Frontend:       m.Frontend,
	}
}

// knows tells if a message with a client's id is stored.
func (s *stored) knows(id string) bool { return s != nil && s.store.Has(id) }

// resolve tells the policy what is stored. It gives the numbers of those messages in the write-ahead log that are
// answered without a call, as older ones of their lane are stored.
//
// Of an ordering key that has messages both in the write-ahead log and stored in another lane, those in the write-ahead
// log are the older ones, so that nothing more is to be resolved: while one is stored, toBacklog takes no newer one of
// another lane on, and spillable stores none while a newer one of another lane is in memory. Nothing comes back to the
// write-ahead log that is newer, as all stored ones of a key are in one lane and come back in its order (those that
// expire are answered without a call); until the store has released it, also after a kill, a message counts as stored.
// It does not hold across a start with a changed setting, if messages were stored while their type did not keep the
// order of keys.
func (o *owner) resolve() (overtaking map[uint64]bool) {
	if o.stored == nil {
		return nil
	}
	overtaking = map[uint64]bool{}
	for _, ref := range o.stored.past {
		overtaking[ref.Seq] = true
	}
	o.stored.past = nil
	o.ledger.Reserve(o.stored.store.LastSeq())
	o.stored.firstSeq = o.ledger.NextSeq()
	for _, lane := range o.stored.store.Lanes() {
		usage := o.stored.store.LaneUsage(lane)
		o.stored.policy.Stored(policyLane(lane), usage.Messages, usage.Bytes)
	}
	o.log.Info().Int("messages", o.stored.store.Messages()).Int("in_both", o.stored.inBoth).
		Int("answered_without_call", len(overtaking)).Msg("backlog resolved")
	return overtaking
}

// inMemory enters a message in its lane.
func (o *owner) inMemory(p *paper) {
	if o.stored == nil {
		return
	}
	o.enterLane(p)
	o.stored.policy.Held(policyLane(p.lane))
	o.noteOutage(p.doc.Dest)
}

// leftMemory takes a message that is over out of its lane.
func (o *owner) leftMemory(p *paper) {
	if o.removeFromLane(p) {
		o.stored.policy.Ended(policyLane(p.lane))
	}
}

// removeFromLane tells if the message was in its lane.
func (o *owner) removeFromLane(p *paper) bool {
	if p.inLane == nil {
		return false
	}
	lane := o.stored.lanes[p.lane]
	lane.Remove(p.inLane)
	p.inLane = nil
	if lane.Len() == 0 {
		delete(o.stored.lanes, p.lane)
	}
	return true
}

// noteOutage tells the policy whether a destination answers.
func (o *owner) noteOutage(d *scheduler.Destination) {
	if o.stored != nil {
		o.stored.policy.Out(d.ID, o.f.Dark(d))
	}
}

// toBacklog decides whether a message that is handed in waits in the store, and stores it. done is false for one that
// goes to memory.
func (o *owner) toBacklog(a *asked, e *wal.Entry, left float64) (reply transport.Reply, done bool) {
	if o.stored == nil {
		return transport.Reply{}, false
	}
	now := time.Now()
	m := o.messageOf(e, a.Submission.ReceivedAt)
	if o.keyElsewhere(e) { // in memory, or in the store of its own lane, it could go first
		return o.refuseForBacklog(o.stored.policy.Refuse(policy.KeyBound, int64(m.Size()), now)), true
	}
	fits, _ := o.f.Admit(e.Size(), left)
	decision := o.stored.policy.DecideWithin(policyLane(m.Lane), int64(m.Size()), time.Duration(left*float64(time.Second)), fits, now)
	if decision.Place == policy.Memory {
		return transport.Reply{}, false
	}
	if e.CallerWaits && decision.Place == policy.Store { // its caller does not wait for hours
		decision = o.stored.policy.Refuse(policy.NoBound, int64(m.Size()), now)
	}
	if decision.Place == policy.Store {
		decision = o.store(m, now)
	}
	if decision.Place == policy.Refused {
		return o.refuseForBacklog(decision), true
	}
	o.counts.taken++
	o.stored.counts.stored++
	if !a.From.Answer(transport.Reply{Status: transport.StatusAccepted}) { // not heard: its caller hands it in again under another id
		o.unstore(m)
	}
	return transport.Reply{Status: transport.StatusAccepted}, true
}

// store stores a new message, or tells that the disk has no room for it.
func (o *owner) store(m *backlog.Message, now time.Time) policy.Decision {
	m.Seq = o.ledger.NextSeq()
	if err := o.stored.store.Append(m); err != nil {
		if !errors.Is(err, backlog.ErrFull) {
			o.logBacklogError(err)
		}
		return o.stored.policy.Refuse(policy.DiskBound, int64(m.Size()), now)
	}
	o.stored.policy.Stored(policyLane(m.Lane), 1, int64(m.Size()))
	o.f.Stored(o.dest(m.Lane.Destination))
	return policy.Decision{Place: policy.Store}
}

// unstore lets go of a stored message that its caller does not know to be taken on.
func (o *owner) unstore(m *backlog.Message) {
	if err := o.stored.store.Release([]backlog.Ref{m.Ref()}); err != nil {
		o.logBacklogError(err) // it goes out once more; its caller hands it in under another id
		return
	}
	o.stored.policy.Discarded(policyLane(m.Lane), int64(m.Size()))
}

func (o *owner) refuseForBacklog(d policy.Decision) transport.Reply {
	o.counts.refused++
	o.stored.counts.refused++
	if o.mayLog("backlog refused") {
		messages, bytes := o.stored.policy.Amount()
		o.log.Warn().Stringer("bound", d.Bound).Int("messages", messages).Int64("bytes", bytes).Msg("backlog refused")
	}
	wait := min(d.RetryAfter.Seconds(), o.order.Scheduler.MaxRetryAfter)
	return transport.Reply{Status: transport.StatusOverloaded, RetryAfter: min(int(wait*1000), refuseMost)}
}

// logBacklogError logs that the store cannot be read or written.
func (o *owner) logBacklogError(err error) {
	if !o.mayLog("backlog") {
		return
	}
	var damage *backlog.DamageError
	if errors.As(err, &damage) {
		o.log.Error().Err(err).Msg("backlog damaged")
		return
	}
	o.log.Error().Err(err).Msg("backlog cannot be written")
}
