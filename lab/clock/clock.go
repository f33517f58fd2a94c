// Package clock is simulated time: a queue of what is to happen.
package clock

// Queue is what is to happen, in order of time; what is for one moment happens in the order of its asking.
type Queue struct {
	heap []event
	seq  uint64
	now  float64
}

type event struct {
	at  float64
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Now is the present moment, in seconds.
func (q *Queue) Now() float64 { return q.now }

// RetryAfter lets something happen after a time.
func (q *Queue) After(in float64, do func()) { q.At(q.now+max(0, in), do) }

// At lets something happen at a moment, now if that is past.
func (q *Queue) At(at float64, do func()) {
	q.seq++
	q.heap = append(q.heap, event{max(at, q.now), q.seq, do})
	h := q.heap
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// Step lets the next thing happen, false if there is none up to a moment.
func (q *Queue) Step(until float64) bool {
	if len(q.heap) == 0 || q.heap[0].at > until {
		return false
	}
	h := q.heap
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	q.heap = h
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < last; c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	q.now = first.at
	first.do()
	return true
}

// Set begins at, or goes on to, a moment at which nothing happens.
func (q *Queue) Set(now float64) { q.now = now }

// Events is how many things have been asked for.
func (q *Queue) Events() uint64 { return q.seq }
