package scheduler

import "math"

// ring holds the destinations with queued messages in round-robin order, beginning at a cursor. A destination whose
// endpoints cannot take a call before a certain time is parked until then: it keeps its position in the order, and
// rounds skip it without examining it. The order is kept in a treap by position, so that the cost of a round does not
// grow with the number of parked members.
type ring struct {
	root   *ringNode
	cursor int         // position of the member whose round is next
	parked []*ringNode // parked members, a heap by the end of the parking
	spare  *ringNode   // nodes for reuse, linked by right
	random uint32      // generator state for treap priorities, separate from the generator for decisions
}

// ringNode is the position of a destination in the ring.
type ringNode struct {
	left, right, parent *ringNode
	destination         *Destination
	priority            uint32
	size, active        int32   // number of all members, and of members that are not parked, in the subtree
	until               float64 // end of the parking
	heapPosition        int32   // position in the heap of parked members
	isParked            bool
}

var byParkedUntil = ordering[*ringNode]{
	before:   func(a, b *ringNode) bool { return a.until < b.until },
	position: func(n *ringNode) *int32 { return &n.heapPosition },
}

func (r *ring) size() int { return int(sizeOf(r.root)) }

func sizeOf(n *ringNode) int32 {
	if n == nil {
		return 0
	}
	return n.size
}

func activeOf(n *ringNode) int32 {
	if n == nil {
		return 0
	}
	return n.active
}

// add appends a destination at the end of the order, which is the position before the cursor.
func (r *ring) add(destination *Destination) {
	r.random ^= r.random<<13 | 1
	r.random ^= r.random >> 17
	r.random ^= r.random << 5
	n := r.spare
	if n == nil {
		n = &ringNode{}
	} else {
		r.spare = n.right
	}
	*n = ringNode{destination: destination, priority: r.random}
	n.update()
	destination.ringNode = n
	before, after := split(r.root, r.cursor)
	r.setRoot(merge(merge(before, n), after))
	r.cursor++
	if r.cursor >= r.size() {
		r.cursor = 0
	}
}

// next moves the cursor to the next member that is not parked, beginning at the cursor itself, and returns that
// member's destination and the number of parked members that it skipped. If the next limit members are all parked, it
// moves the cursor past them and returns nil and limit.
func (r *ring) next(limit int) (destination *Destination, passed int) {
	size := r.size()
	position := firstActive(r.root, r.cursor)
	if position < 0 { // wrap around
		if position = firstActive(r.root, 0); position >= 0 {
			position += size
		}
	}
	if position < 0 || position-r.cursor >= limit {
		r.cursor = (r.cursor + limit) % max(1, size)
		return nil, limit
	}
	passed = position - r.cursor
	r.cursor = position % size
	return at(r.root, r.cursor).destination, passed
}

// advance moves the cursor to the next member.
func (r *ring) advance() { r.cursor = (r.cursor + 1) % r.size() }

// drop removes the member at the cursor.
func (r *ring) drop() {
	before, rest := split(r.root, r.cursor)
	member, after := split(rest, 1)
	r.unpark(member)
	member.destination.ringNode = nil
	*member = ringNode{right: r.spare}
	r.spare = member
	r.setRoot(merge(before, after))
	if r.cursor >= r.size() {
		r.cursor = 0
	}
}

// park makes rounds skip a member until the given time.
func (r *ring) park(n *ringNode, until float64) {
	r.unpark(n)
	n.until = until
	n.isParked = true
	n.recount()
	if !math.IsInf(until, 1) {
		byParkedUntil.push(&r.parked, n)
	}
}

// unpark ends the parking of a member, so that rounds no longer skip it.
func (r *ring) unpark(n *ringNode) {
	if n == nil || !n.isParked {
		return
	}
	byParkedUntil.remove(&r.parked, n)
	n.isParked = false
	n.recount()
}

// wake unparks the members whose parking has ended.
func (r *ring) wake(now float64) {
	for len(r.parked) > 0 && r.parked[0].until <= now {
		r.unpark(r.parked[0])
	}
}

// each calls call for all members in order, beginning at the cursor.
func (r *ring) each(call func(*Destination)) {
	walk(r.root, r.cursor, r.size(), call)
	walk(r.root, 0, r.cursor, call)
}

func (r *ring) setRoot(root *ringNode) {
	r.root = root
	if root != nil {
		root.parent = nil
	}
}

// update computes the counts of a subtree from those of its children.
func (n *ringNode) update() {
	n.size = 1 + sizeOf(n.left) + sizeOf(n.right)
	n.active = activeOf(n.left) + activeOf(n.right)
	if !n.isParked {
		n.active++
	}
	if n.left != nil {
		n.left.parent = n
	}
	if n.right != nil {
		n.right.parent = n
	}
}

// recount updates the counts of all subtrees from a member's up to the root's.
func (n *ringNode) recount() {
	for ; n != nil; n = n.parent {
		n.update()
	}
}

// split divides a treap into its first count members and the rest.
func split(n *ringNode, count int) (before, after *ringNode) {
	if n == nil {
		return nil, nil
	}
	left := int(sizeOf(n.left))
	if count <= left {
		before, n.left = split(n.left, count)
		n.update()
		detach(before)
		return before, n
	}
	n.right, after = split(n.right, count-left-1)
	n.update()
	detach(after)
	return n, after
}

func detach(n *ringNode) {
	if n != nil {
		n.parent = nil
	}
}

// merge joins two treaps; the members of a come before those of b.
func merge(a, b *ringNode) *ringNode {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = merge(a.right, b)
		a.update()
		return a
	default:
		b.left = merge(a, b.left)
		b.update()
		return b
	}
}

// at returns the member at a position.
func at(n *ringNode, position int) *ringNode {
	left := int(sizeOf(n.left))
	switch {
	case position < left:
		return at(n.left, position)
	case position == left:
		return n
	default:
		return at(n.right, position-left-1)
	}
}

// firstActive returns the first position, not before from, of a member that is not parked. It returns -1 if there is
// none.
func firstActive(n *ringNode, from int) int {
	if n == nil || n.active == 0 || from >= int(n.size) {
		return -1
	}
	left := int(sizeOf(n.left))
	if from < left {
		if found := firstActive(n.left, from); found >= 0 {
			return found
		}
	}
	if from <= left && !n.isParked {
		return left
	}
	if found := firstActive(n.right, max(0, from-left-1)); found >= 0 {
		return left + 1 + found
	}
	return -1
}

// walk calls call for the members at positions from (inclusive) to end (exclusive), in order.
func walk(n *ringNode, from, end int, call func(*Destination)) {
	if n == nil || from >= end {
		return
	}
	left := int(sizeOf(n.left))
	walk(n.left, from, min(end, left), call)
	if from <= left && left < end {
		call(n.destination)
	}
	walk(n.right, max(0, from-left-1), end-left-1, call)
}
