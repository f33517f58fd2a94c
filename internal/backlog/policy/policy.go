// Package policy decides which queued messages are kept in memory and which in the backlog store: when messages are
// stored, loaded from the store or refused. It does no I/O and reads no clock. The event loop reports what happened and
// carries out the policy's decisions, using package backlog to move messages.
package policy

import "time"

// storedAmount counts stored messages and their bytes.
type storedAmount struct {
	messages int
	bytes    int64
}

type laneState struct {
	id       Lane
	inMemory int // messages in memory
	stored   storedAmount
	queued   bool // is in Policy.queue
}

// Policy counts how many messages of each lane are in memory and in the store. It is not safe for concurrent use.
type Policy struct {
	bounds       Bounds
	lanes        map[Lane]*laneState
	destinations map[uint64]*destinationState
	tenants      map[uint32]int64 // bytes
	stored       storedAmount
	inMemory     int          // messages in memory
	queue        []*laneState // lanes for which a move may be due, each once, served in turn
	drain        drainRate
}

type destinationState struct {
	bytes       int64 // stored
	unavailable bool  // accepts no messages at present
	lanes       map[Lane]*laneState
}

// New returns a policy for an empty store. It fails if Bounds.Check does.
func New(bounds Bounds) (*Policy, error) {
	if err := bounds.Check(); err != nil {
		return nil, err
	}
	return &Policy{bounds: bounds, lanes: map[Lane]*laneState{}, destinations: map[uint64]*destinationState{},
		tenants: map[uint32]int64{}}, nil
}

// SetBounds replaces the settings. If a limit is lowered below what is stored, the stored messages stay and new ones
// are refused until there is room. It fails if Bounds.Check does.
func (p *Policy) SetBounds(bounds Bounds) error {
	if err := bounds.Check(); err != nil {
		return err
	}
	p.bounds = bounds
	for _, l := range p.lanes {
		p.queueIfDue(l)
	}
	return nil
}

// Held records that a message was added to memory: a new one, or one found in the write-ahead log at the start.
func (p *Policy) Held(lane Lane) {
	l := p.lane(lane)
	l.inMemory++
	p.inMemory++
	p.queueIfDue(l)
}

// Ended records that a message is finished and was removed from memory.
func (p *Policy) Ended(lane Lane) {
	l := p.lane(lane)
	l.inMemory--
	p.inMemory--
	p.queueIfDue(l)
	p.forget(l)
}

// Stored records that new messages of a lane were stored, or that messages were found in the store at the start.
func (p *Policy) Stored(lane Lane, messages int, bytes int64) {
	l := p.lane(lane)
	p.addStored(l, messages, bytes)
	p.queueIfDue(l)
}

// Spilled records that a message of a lane was moved from memory to the store.
func (p *Policy) Spilled(lane Lane, bytes int64) {
	l := p.lane(lane)
	l.inMemory--
	p.inMemory--
	p.addStored(l, 1, bytes)
}

// Loaded records that a message of a lane was moved from the store to memory.
func (p *Policy) Loaded(lane Lane, bytes int64, now time.Time) {
	l := p.lane(lane)
	l.inMemory++
	p.inMemory++
	p.addStored(l, -1, -bytes)
	p.drain.add(bytes, now)
}

// Discarded records that a stored message of a lane was removed without being loaded.
func (p *Policy) Discarded(lane Lane, bytes int64) {
	l := p.lane(lane)
	p.addStored(l, -1, -bytes)
	p.forget(l)
}

// SetUnavailable records whether a destination is unavailable, that is, accepts no messages at present.
func (p *Policy) SetUnavailable(destination uint64, unavailable bool) {
	d := p.destinations[destination]
	if d == nil {
		if !unavailable {
			return
		}
		d = p.destination(destination)
	}
	d.unavailable = unavailable
	for _, l := range d.lanes {
		p.queueIfDue(l)
	}
	p.forgetDestination(destination, d)
}

// ExpiryDue returns the latest expiry of stored messages that must be loaded now so that they are answered in time.
func (p *Policy) ExpiryDue(now time.Time) time.Time { return now.Add(p.bounds.ExpiryLead) }

// ExpiryBatch returns how many expired messages the event loop answers per turn.
func (p *Policy) ExpiryBatch() int { return expiryBatch }

// StoredAmount returns how many messages and bytes are stored.
func (p *Policy) StoredAmount() (messages int, bytes int64) { return p.stored.messages, p.stored.bytes }

// TenantBytes returns how many bytes are stored for a tenant.
func (p *Policy) TenantBytes(tenant uint32) int64 { return p.tenants[tenant] }

// lane returns the state of a lane and creates it if necessary.
func (p *Policy) lane(id Lane) *laneState {
	l := p.lanes[id]
	if l == nil {
		l = &laneState{id: id}
		p.lanes[id] = l
		p.destination(id.Destination).lanes[id] = l
	}
	return l
}

// destination returns the state of a destination and creates it if necessary.
func (p *Policy) destination(number uint64) *destinationState {
	d := p.destinations[number]
	if d == nil {
		d = &destinationState{lanes: map[Lane]*laneState{}}
		p.destinations[number] = d
	}
	return d
}

// addStored adds to the totals of stored messages and bytes; negative arguments subtract.
func (p *Policy) addStored(l *laneState, messages int, bytes int64) {
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

// forget removes the state of a lane that has no messages and no queued move.
func (p *Policy) forget(l *laneState) {
	if l.inMemory > 0 || l.stored.messages > 0 || l.queued {
		return
	}
	delete(p.lanes, l.id)
	d := p.destinations[l.id.Destination]
	delete(d.lanes, l.id)
	p.forgetDestination(l.id.Destination, d)
}

// forgetDestination removes the state of a destination that has no lanes and is available.
func (p *Policy) forgetDestination(number uint64, d *destinationState) {
	if len(d.lanes) == 0 && !d.unavailable {
		delete(p.destinations, number)
	}
}

// Lane identifies a queue: the messages of one tenant for one destination, in order of acceptance.
type Lane struct {
	Destination uint64
	Tenant      uint32
}
