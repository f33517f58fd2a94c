package scheduler

const minShrinkCapacity = 64 // members; the array of a smaller heap is kept when it empties

// ordering is the order of a binary heap and the place where each member keeps its own position in it, so that any
// member can be removed in logarithmic time. A member is in at most one heap of an ordering at a time.
type ordering[T any] struct {
	before   func(a, b T) bool
	position func(member T) *int32 // 1 + its index in the heap; 0 while it is in none
}

func (o *ordering[T]) push(heap *[]T, member T) {
	*heap = append(*heap, member)
	o.up(*heap, len(*heap)-1)
}

// remove takes a member out of the heap that holds it; one that is in no heap is left alone.
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

// first finds the earliest of the members that are accepted. Its cost is the number of those before it that are not.
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

// visit calls call for each member that is within a bound on the key, in no particular order. Its cost is their number.
// The heap must not be changed meanwhile.
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
