// Package policy decides which messages wait in memory and which in the backlog store: when messages are stored,
// brought back or refused. It does no I/O and reads no clock: the event loop reports what happened and carries out what
// the policy decides (package backlog does the moving).
package policy

import "time"

// storedAmount is a number of stored messages.
type storedAmount struct {
	messages int
	bytes    int64
}

// laneState is the state of a lane.
type laneState struct {
	id     Lane
	held   int // messages in memory
	stored storedAmount
	queued bool // waits for a move
}

// Policy counts how many messages of each lane are in memory and in the store. It is not safe for concurrent use.
type Policy struct {
	bounds       Bounds
	lanes        map[Lane]*laneState
	destinations map[uint64]*destinationState
	tenants      map[uint32]int64 // bytes
	stored       storedAmount
	held         int          // messages in memory
	queue        []*laneState // lanes for which a move may be due, each once, served in turn
	drain        drainRate
}

// destinationState is the state of a destination.
type destinationState struct {
	bytes int64 // stored
	out   bool  // it takes no messages for now
	lanes map[Lane]*laneState
}

// New returns a policy for an empty store. An error is that of Bounds.Check.
func New(bounds Bounds) (*Policy, error) {
	if err := bounds.Check(); err != nil {
		return nil, err
	}
	return &Policy{bounds: bounds, lanes: map[Lane]*laneState{}, destinations: map[uint64]*destinationState{},
		tenants: map[uint32]int64{}}, nil
}

// SetBounds replaces the settings. Messages stored beyond lower bounds stay; new messages are refused until there is
// room. An error is that of Bounds.Check.
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

// Held records that a new message of a lane, or one found in the write-ahead log at the start, is in memory.
func (p *Policy) Held(lane Lane) {
	l := p.lane(lane)
	l.held++
	p.held++
	p.queueIfDue(l)
}

// Ended records that a message of a lane is finished and has left memory.
func (p *Policy) Ended(lane Lane) {
	l := p.lane(lane)
	l.held--
	p.held--
	p.queueIfDue(l)
	p.forget(l)
}

// Stored records that a new message of a lane was stored, or that so many were found in the store at the start.
func (p *Policy) Stored(lane Lane, messages int, bytes int64) {
	l := p.lane(lane)
	p.addStored(l, messages, bytes)
	p.queueIfDue(l)
}

// Spilled records that a message of a lane was moved from memory to the store.
func (p *Policy) Spilled(lane Lane, bytes int64) {
	l := p.lane(lane)
	l.held--
	p.held--
	p.addStored(l, 1, bytes)
}

// Loaded records that a message of a lane was brought back from the store to memory.
func (p *Policy) Loaded(lane Lane, bytes int64, now time.Time) {
	l := p.lane(lane)
	l.held++
	p.held++
	p.addStored(l, -1, -bytes)
	p.drain.add(bytes, now)
}

// Discarded records that a stored message of a lane was removed without being brought back.
func (p *Policy) Discarded(lane Lane, bytes int64) {
	l := p.lane(lane)
	p.addStored(l, -1, -bytes)
	p.forget(l)
}

// SetUnavailable records whether a destination takes no messages for now.
func (p *Policy) SetUnavailable(destination uint64, out bool) {
	d := p.destinations[destination]
	if d == nil {
		if !out {
			return
		}
		d = p.destination(destination)
	}
	d.out = out
	for _, l := range d.lanes {
		p.queueIfDue(l)
	}
	p.forgetDestination(destination, d)
}

// ExpiryDue returns the time up to which stored messages expire that must be brought back now, to be answered in time.
func (p *Policy) ExpiryDue(now time.Time) time.Time { return now.Add(p.bounds.ExpiryLead) }

// ExpiryBatch returns how many expiring messages are answered in one turn of the event loop.
func (p *Policy) ExpiryBatch() int { return expiryBatch }

// StoredAmount returns how many messages and bytes are stored.
func (p *Policy) StoredAmount() (messages int, bytes int64) { return p.stored.messages, p.stored.bytes }

// TenantBytes returns how many bytes a tenant has stored.
func (p *Policy) TenantBytes(tenant uint32) int64 { return p.tenants[tenant] }

// lane returns the state of a lane, a new one if there is none.
func (p *Policy) lane(id Lane) *laneState {
	l := p.lanes[id]
	if l == nil {
		l = &laneState{id: id}
		p.lanes[id] = l
		p.destination(id.Destination).lanes[id] = l
	}
	return l
}

// destination returns the state of a destination, a new one if there is none.
func (p *Policy) destination(number uint64) *destinationState {
	d := p.destinations[number]
	if d == nil {
		d = &destinationState{lanes: map[Lane]*laneState{}}
		p.destinations[number] = d
	}
	return d
}

// addStored adds to the amounts stored of a lane, or with negative arguments subtracts from them.
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

// forget removes a lane with nothing in it.
func (p *Policy) forget(l *laneState) {
	if l.held > 0 || l.stored.messages > 0 || l.queued {
		return
	}
	delete(p.lanes, l.id)
	d := p.destinations[l.id.Destination]
	delete(d.lanes, l.id)
	p.forgetDestination(l.id.Destination, d)
}

// forgetDestination removes a destination without lanes that is not out.
func (p *Policy) forgetDestination(number uint64, d *destinationState) {
	if len(d.lanes) == 0 && !d.out {
		delete(p.destinations, number)
	}
}

// Lane identifies a queue: the messages of one tenant for one destination, in the order of acceptance.
type Lane struct {
	Destination uint64
	Tenant      uint32
}
