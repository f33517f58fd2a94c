package scheduler

const minShrinkCapacity = 64 // members; a smaller array is kept when the heap empties

// ordering defines the order of a binary heap and where each member stores its position in the heap, so that any member
// can be removed in logarithmic time. A member is in at most one heap of an ordering at a time.
type ordering[T any] struct {
	before   func(a, b T) bool
	position func(member T) *int32 // 1 + index of the member in its heap; 0 while the member is in no heap
}

func (o *ordering[T]) push(heap *[]T, member T) {
	*heap = append(*heap, member)
	o.up(*heap, len(*heap)-1)
}

// remove removes a member from the heap that holds it. It does nothing if the member is in no heap.
func (o *ordering[T]) remove(heap *[]T, member T) {
	position := o.position(member)
	if *position == 0 {
		return
	}
	i := int(*position) - 1
	*position = 0
	h := *heap
	last := len(h) - 1
	moved := h[last]
	clear(h[last:])
	h = h[:last]
	if i < last {
		h[i] = moved
		o.down(h, i)
		o.up(h, int(*o.position(moved))-1)
	}
	if cap(h) > minShrinkCapacity && len(h) < cap(h)/4 {
		h = append(make([]T, 0, cap(h)/2), h...)
	}
	*heap = h
}

func (o *ordering[T]) up(heap []T, i int) {
	member := heap[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !o.before(member, heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		*o.position(heap[i]) = int32(i + 1)
		i = parent
	}
	heap[i] = member
	*o.position(member) = int32(i + 1)
}

func (o *ordering[T]) down(heap []T, i int) {
	member := heap[i]
	for {
		child := 2*i + 1
		if child >= len(heap) {
			break
		}
		if child+1 < len(heap) && o.before(heap[child+1], heap[child]) {
			child++
		}
		if !o.before(heap[child], member) {
			break
		}
		heap[i] = heap[child]
		*o.position(heap[i]) = int32(i + 1)
		i = child
	}
	heap[i] = member
	*o.position(member) = int32(i + 1)
}

// first returns the earliest accepted member. Its cost is proportional to the number of earlier members that are not
// accepted.
func (o *ordering[T]) first(heap []T, accept func(T) bool) (best T, found bool) {
	var search func(i int)
	search = func(i int) {
		switch {
		case i >= len(heap) || found && !o.before(heap[i], best):
		case accept(heap[i]):
			best, found = heap[i], true
		default:
			search(2*i + 1)
			search(2*i + 2)
		}
	}
	search(0)
	return best, found
}

// visit calls call for each member for which within is true, in no particular order. within must be true for all
// members up to a bound in the heap's order and false for the rest. The cost is proportional to the number of calls.
// The heap must not be changed during the visit.
func visit[T any](heap []T, within func(T) bool, call func(T)) {
	var descend func(i int)
	descend = func(i int) {
		if i >= len(heap) || !within(heap[i]) {
			return
		}
		call(heap[i])
		descend(2*i + 1)
		descend(2*i + 2)
	}
	descend(0)
}
