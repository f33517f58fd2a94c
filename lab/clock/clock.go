// Package clock is simulated time: a queue of functions, each with the moment at which it runs.
package clock

// Queue runs functions in order of time; those of one moment run in the order in which they were added. The zero value
// is an empty queue at 0. It is not safe for concurrent use.
type Queue struct {
	heap []event
	seq  uint64
	now  float64
}

// heapWidth is how many children a node of the heap has.
const heapWidth = 4

type event struct {
	at  float64
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Now is the present moment, in seconds.
func (q *Queue) Now() float64 { return q.now }

// After adds a function that runs after so many seconds; now if that is below 0.
func (q *Queue) After(in float64, do func()) { q.At(q.now+max(0, in), do) }

// At adds a function that runs at a moment, now if that is past.
func (q *Queue) At(at float64, do func()) {
	q.seq++
	q.heap = append(q.heap, event{max(at, q.now), q.seq, do})
	h := q.heap
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / heapWidth
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// Step runs the next function; it returns false if none is due up to a moment.
func (q *Queue) Step(until float64) bool {
	if len(q.heap) == 0 || q.heap[0].at > until {
		return false
	}
	h := q.heap
	next := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	q.heap = h
	for i := 0; ; {
		first := i
		for child := heapWidth*i + 1; child <= heapWidth*i+heapWidth && child < last; child++ {
			if h[child].before(&h[first]) {
				first = child
			}
		}
		if first == i {
			break
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
	q.now = next.at
	next.do()
	return true
}

// SetTime sets the present moment. No function may be due before it.
func (q *Queue) SetTime(now float64) { q.now = now }

// Events is how many functions have been added.
func (q *Queue) Events() uint64 { return q.seq }
