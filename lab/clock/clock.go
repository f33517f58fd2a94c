// Package clock simulates time with a queue of functions, each of which runs at a given time.
package clock

// Queue runs functions in order of time. Functions with the same time run in the order in which they were added. The
// zero value is an empty queue at time 0. A Queue is not safe for concurrent use.
type Queue struct {
	heap []event
	seq  uint64
	now  float64
}

// heapArity is the number of children of a heap node.
const heapArity = 4

type event struct {
	at  float64
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Now returns the current time in seconds.
func (q *Queue) Now() float64 { return q.now }

// After adds a function that runs after the given number of seconds. A negative delay counts as 0.
func (q *Queue) After(in float64, do func()) { q.At(q.now+max(0, in), do) }

// At adds a function that runs at the given time, or at the current time if the given time is in the past.
func (q *Queue) At(at float64, do func()) {
	q.seq++
	q.heap = append(q.heap, event{max(at, q.now), q.seq, do})
	h := q.heap
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// Step runs the next function and advances the clock to its time. It returns false if no function is due by until.
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
		for child := heapArity*i + 1; child <= heapArity*i+heapArity && child < last; child++ {
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

// SetTime advances the clock. The caller must have run all functions that are due before that time.
func (q *Queue) SetTime(now float64) { q.now = now }

// Events returns the number of functions added so far.
func (q *Queue) Events() uint64 { return q.seq }
