package scheduler

import "math"

// ring is the destinations with waiting messages, in round-robin order from a cursor on. A destination none of whose
// endpoints can take a call before some time is parked until then: it keeps its place in the order, and rounds skip it
// without examining it. The order is kept in a treap by position, so that the cost of a round does not grow with the
// number of parked members.
type ring struct {
	root   *ringNode
	cursor int         // position whose round is next
	parked []*ringNode // heap by the end of the parking
	spare  *ringNode   // nodes to be used again, linked by right
	random uint32      // state of the generator of treap priorities, apart from the one that decisions draw from
}

// ringNode is a destination's place in the ring.
type ringNode struct {
	left, right, parent *ringNode
	destination         *Destination
	priority            uint32
	size, active        int32 // of the subtree: members, and those of them that are not parked
	until               float64
	heapPosition        int32 // position in the heap of parked members
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

// add puts a destination behind all others: right before the cursor.
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

// next moves the cursor to the first member from it on that is not parked and returns how many parked ones it passed,
// at most limit. If it finds none within the limit the cursor stands that many further on, and next returns nil.
func (r *ring) next(limit int) (destination *Destination, passed int) {
	size := r.size()
	position := firstActive(r.root, r.cursor)
	if position < 0 { // around the end
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

// advance moves the cursor past the member that it stands at.
func (r *ring) advance() { r.cursor = (r.cursor + 1) % r.size() }

// drop removes the member that the cursor stands at.
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

// park has rounds pass over a member until a time.
func (r *ring) park(n *ringNode, until float64) {
	r.unpark(n)
	n.until = until
	n.isParked = true
	n.recount()
	if !math.IsInf(until, 1) {
		byParkedUntil.push(&r.parked, n)
	}
}

// unpark gives a member its rounds again.
func (r *ring) unpark(n *ringNode) {
	if n == nil || !n.isParked {
		return
	}
	byParkedUntil.remove(&r.parked, n)
	n.isParked = false
	n.recount()
}

// wake unparks those whose time has come.
func (r *ring) wake(now float64) {
	for len(r.parked) > 0 && r.parked[0].until <= now {
		r.unpark(r.parked[0])
	}
}

// each calls call for all members, in their order from the cursor on.
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

// update computes the counts of a subtree from its children's.
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

// recount recomputes the counts from a member up to the root.
func (n *ringNode) recount() {
	for ; n != nil; n = n.parent {
		n.update()
	}
}

// split cuts a treap into its first so many members and the rest.
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

// merge joins two treaps, the first one's members before the second one's.
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

// firstActive returns the first position, from one on, of a member that is not parked; -1 if there is none.
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

// walk calls call for the members at positions from (included) to end (not included), in order.
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
