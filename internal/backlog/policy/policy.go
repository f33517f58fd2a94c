// Package policy decides which messages wait in memory and which in the backlog store: what is stored when, brought
// back when, and refused at the door. It does no I/O and reads no clock: the event loop tells it what happened and
// carries out what it decides (package backlog does the moving).
package policy

import (
	"fmt"
	"time"
)

// Lane is a queue of its own: messages of one tenant for one destination, in the order of taking.
type Lane struct {
	Destination uint64
	Tenant      uint32
}

// Bounds are the settings.
type Bounds struct {
	Bytes            int64            // stored messages in all
	DestinationBytes int64            // of one destination
	TenantBytes      int64            // of one tenant
	Tenants          map[uint32]int64 // bytes of tenants with a bound of their own
	// Window is how many messages of a lane stay in memory before those that are stored.
	Window int
	// Behind is how many messages of a lane stay in memory while its destination serves it and none is stored; more
	// means that it is far behind.
	Behind int
	// DeduplicationWindow is how many messages of all lanes together stay in memory before new ones are stored; 0: no bound.
	Memory int
	// Batch is how many messages come back in one turn of the event loop, over all lanes.
	Batch int
	// ExpiryLead is how long before the end of its time a stored message comes back to be answered.
	ExpiryLead time.Duration
}

// Check tells what is wrong, by field, with the names of the configuration.
func (b *Bounds) Check() error {
	switch {
	case b.Bytes <= 0:
		return fmt.Errorf("bytes: %d is not above 0", b.Bytes)
	case b.DestinationBytes <= 0 || b.DestinationBytes > b.Bytes:
		return fmt.Errorf("destination_bytes: %d is not between 1 and bytes (%d)", b.DestinationBytes, b.Bytes)
	case b.TenantBytes <= 0 || b.TenantBytes > b.Bytes:
		return fmt.Errorf("tenant_bytes: %d is not between 1 and bytes (%d)", b.TenantBytes, b.Bytes)
	case b.Window < 1:
		return fmt.Errorf("window: %d is less than 1", b.Window)
	case b.Behind < b.Window:
		return fmt.Errorf("behind: %d is less than window (%d)", b.Behind, b.Window)
	case b.Batch < 1:
		return fmt.Errorf("batch: %d is less than 1", b.Batch)
	case b.ExpiryLead <= 0:
		return fmt.Errorf("expiry_lead: %v is not above 0", b.ExpiryLead)
	}
	for tenant, bytes := range b.Tenants {
		if bytes <= 0 || bytes > b.Bytes {
			return fmt.Errorf("tenants: %d of tenant %d is not between 1 and bytes (%d)", bytes, tenant, b.Bytes)
		}
	}
	return nil
}

func (b *Bounds) tenant(tenant uint32) int64 {
	if own, ok := b.Tenants[tenant]; ok {
		return own
	}
	return b.TenantBytes
}

// Place is where a new message goes.
type Place uint8

// The places.
const (
	Memory  Place = iota // to the write-ahead log and the scheduler
	Store                // to the backlog store, behind all of its lane
	Refused              // it is not taken on
)

// Bound is which bound stands against a message.
type Bound uint8

// The bounds.
const (
	NoBound Bound = iota
	TotalBound
	DestinationBound
	TenantBound
	DiskBound // the store or the disk under it has no room
	KeyBound  // an earlier message of its ordering key is stored for another lane
)

func (b Bound) String() string {
	return [...]string{"none", "bytes in all", "bytes of the destination", "bytes of the tenant", "disk",
		"an earlier message of its key is stored"}[b]
}

// Decision is what becomes of a new message.
type Decision struct {
	Place      Place
	Bound      Bound         // with ResultConnectRefused: what stands against it
	RetryAfter time.Duration // with ResultConnectRefused: when there may be room
}

// MoveKind is what is to be done with a lane.
type MoveKind uint8

// The moves.
const (
	SpillTail MoveKind = iota // move the newest messages in memory out to the store
	BringBack                 // move the oldest stored messages back
)

// Reconfigure is a move that is due.
type Move struct {
	Kind  MoveKind
	Lane  Lane
	Count int // messages at most
}

// amount is stored messages.
type amount struct {
	messages int
	bytes    int64
}

type laneState struct {
	id     Lane
	held   int // messages in memory
	stored amount
	queued bool // waits for a move
}

// Policy knows how many messages of each lane are where. It is not safe for use by several goroutines.
type Policy struct {
	bounds       Bounds
	lanes        map[Lane]*laneState
	destinations map[uint64]*destinationState
	tenants      map[uint32]int64 // bytes
	stored       amount
	held         int          // messages in memory
	queue        []*laneState // lanes for which a move may be due, each once, served in turn
	drain        drainRate
}

type destinationState struct {
	bytes int64
	out   bool
	lanes map[Lane]*laneState
}

// New makes a policy for a store with nothing in it.
func New(bounds Bounds) (*Policy, error) {
	if err := bounds.Check(); err != nil {
		return nil, err
	}
	return &Policy{bounds: bounds, lanes: map[Lane]*laneState{}, destinations: map[uint64]*destinationState{},
		tenants: map[uint32]int64{}}, nil
}

// SetBounds alters the settings. Reason is stored beyond lower bounds stays; new messages are refused until there is room.
func (p *Policy) SetBounds(bounds Bounds) error {
	if err := bounds.Check(); err != nil {
		return err
	}
	p.bounds = bounds
	for _, l := range p.lanes {
		p.consider(l)
	}
	return nil
}

// Decide tells where a new message goes. The event loop then calls CallerWaits or Stored, or ResultConnectRefused ones are forgotten.
func (p *Policy) Decide(lane Lane, bytes int64, now time.Time) Decision {
	l := p.lanes[lane]
	fits := l == nil || l.stored.messages == 0 && l.held < p.mostHeld(lane)
	if fits && p.memoryFor(lane, p.memoryLeft(), p.held) > 0 {
		return Decision{Place: Memory}
	}
	return p.storeOrRefuse(lane, bytes, now)
}

func (p *Policy) storeOrRefuse(lane Lane, bytes int64, now time.Time) Decision {
	if bound := p.bound(lane, bytes); bound != NoBound {
		return p.Refuse(bound, bytes, now)
	}
	return Decision{Place: Store}
}

// Refuse is the answer to a message of so many bytes that a bound stands against, also one that the store itself has no
// room for (DiskBound) or that has to go after a stored one of another lane (KeyBound).
func (p *Policy) Refuse(bound Bound, bytes int64, now time.Time) Decision {
	return Decision{Place: Refused, Bound: bound, RetryAfter: p.drain.wait(bytes, now)}
}

// mostHeld is how many messages of a lane without stored ones may be in memory.
func (p *Policy) mostHeld(lane Lane) int {
	if d := p.destinations[lane.Destination]; d != nil && d.out {
		return p.bounds.Window
	}
	return p.bounds.Behind
}

// bound tells which bound stands against storing so many bytes more.
func (p *Policy) bound(lane Lane, bytes int64) Bound {
	destination := int64(0)
	if d := p.destinations[lane.Destination]; d != nil {
		destination = d.bytes
	}
	switch {
	case p.tenants[lane.Tenant]+bytes > p.bounds.tenant(lane.Tenant):
		return TenantBound
	case destination+bytes > p.bounds.DestinationBytes:
		return DestinationBound
	case p.stored.bytes+bytes > p.bounds.Bytes:
		return TotalBound
	}
	return NoBound
}

// CallerWaits says that a new message of a lane, or one found in the log at the start, is in memory.
func (p *Policy) Held(lane Lane) {
	l := p.lane(lane)
	l.held++
	p.held++
	p.consider(l)
}

// AttemptEnded says that a message of a lane has left memory, as it is over.
func (p *Policy) Ended(lane Lane) {
	l := p.lane(lane)
	l.held--
	p.held--
	p.consider(l)
	p.forget(l)
}

// Stored says that a new message of a lane, or so many found in the store at the start, are stored.
func (p *Policy) Stored(lane Lane, messages int, bytes int64) {
	l := p.lane(lane)
	p.count(l, messages, bytes)
	p.consider(l)
}

// Spilled says that a message of a lane has gone from memory to the store.
func (p *Policy) Spilled(lane Lane, bytes int64) {
	l := p.lane(lane)
	l.held--
	p.held--
	p.count(l, 1, bytes)
}

// RecordAttemptEnd says that a message of a lane has come back from the store to memory.
func (p *Policy) Back(lane Lane, bytes int64, now time.Time) {
	l := p.lane(lane)
	l.held++
	p.held++
	p.count(l, -1, -bytes)
	p.drain.left(bytes, now)
}

// Out says whether a destination takes nothing for now.
func (p *Policy) Out(destination uint64, out bool) {
	d := p.destinations[destination]
	if d == nil {
		if !out {
			return
		}
		d = p.destination(destination)
	}
	d.out = out
	for _, l := range d.lanes {
		p.consider(l)
	}
	p.forgetDestination(destination, d)
}

// Due gives the moves that are due now, at most so many messages as Batch allows, lanes in turn. Reason it gives has to
// be tried before it is called again; a lane whose move was not carried out is given again by Unmoved.
func (p *Policy) Due() []Move {
	var moves []Move
	left, memory, held := p.bounds.Batch, p.memoryLeft(), p.held
	for range min(len(p.queue), mostLooked) {
		if left == 0 {
			break
		}
		l := p.queue[0]
		p.queue[0] = nil
		p.queue = p.queue[1:]
		l.queued = false
		m := p.due(l)
		if m.Count == 0 {
			p.forget(l)
			continue
		}
		most := left
		if m.Kind == BringBack {
			most = min(left, p.memoryFor(l.id, memory, held))
		}
		if m.Count > most {
			m.Count = most
			p.push(l)
		}
		if m.Count == 0 { // memory is full: it waits for its turn
			continue
		}
		left -= m.Count
		if m.Kind == BringBack {
			memory = max(0, memory-m.Count)
			held += m.Count
		}
		moves = append(moves, m)
	}
	return moves
}

// Unmoved says that a move of a lane was not carried out whole: it is due again.
func (p *Policy) Unmoved(lane Lane) {
	if l := p.lanes[lane]; l != nil {
		p.consider(l)
	}
}

// due is the move that a lane needs, with a Count of 0 if none.
func (p *Policy) due(l *laneState) Move {
	switch {
	case l.stored.messages > 0 && l.held <= p.bounds.Window/2:
		return Move{Kind: BringBack, Lane: l.id, Count: min(p.bounds.Window-l.held, l.stored.messages)}
	case l.stored.messages == 0 && l.held > p.mostHeld(l.id) && p.bound(l.id, 1) == NoBound:
		return Move{Kind: SpillTail, Lane: l.id, Count: l.held - p.bounds.Window}
	}
	return Move{}
}

// ExpiryDue tells up to which expiry stored messages have to come back now to be answered before it.
func (p *Policy) ExpiryDue(now time.Time) time.Time { return now.Add(p.bounds.ExpiryLead) }

// Amount is how many messages and bytes are stored.
func (p *Policy) Amount() (messages int, bytes int64) { return p.stored.messages, p.stored.bytes }

// TenantBytes is what a tenant has stored.
func (p *Policy) TenantBytes(tenant uint32) int64 { return p.tenants[tenant] }

func (p *Policy) lane(id Lane) *laneState {
	l := p.lanes[id]
	if l == nil {
		l = &laneState{id: id}
		p.lanes[id] = l
		p.destination(id.Destination).lanes[id] = l
	}
	return l
}

func (p *Policy) destination(number uint64) *destinationState {
	d := p.destinations[number]
	if d == nil {
		d = &destinationState{lanes: map[Lane]*laneState{}}
		p.destinations[number] = d
	}
	return d
}

func (p *Policy) count(l *laneState, messages int, bytes int64) {
	l.stored.messages += messages
	l.stored.bytes += bytes
	p.stored.messages += messages
	p.stored.bytes += bytes
	p.destinations[l.id.Destination].bytes += bytes
	p.tenants[l.id.Tenant] += bytes
	if p.tenants[l.id.Tenant] == 0 {
		delete(p.tenants, l.id.Tenant)
	}
}

// consider queues a lane if a move is due.
func (p *Policy) consider(l *laneState) {
	if !l.queued && p.due(l).Count > 0 {
		p.push(l)
	}
}

func (p *Policy) push(l *laneState) {
	l.queued = true
	p.queue = append(p.queue, l)
}

// forget lets go of a lane with nothing in it.
func (p *Policy) forget(l *laneState) {
	if l.held > 0 || l.stored.messages > 0 || l.queued {
		return
	}
	delete(p.lanes, l.id)
	d := p.destinations[l.id.Destination]
	delete(d.lanes, l.id)
	p.forgetDestination(l.id.Destination, d)
}

func (p *Policy) forgetDestination(number uint64, d *destinationState) {
	if len(d.lanes) == 0 && !d.out {
		delete(p.destinations, number)
	}
}
