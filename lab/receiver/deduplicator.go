package receiver

// deduplicationMargin is how many seconds beyond its window a key is remembered: calls that came in time may be
// executed so much later.
const deduplicationMargin = 120

// deduplicator remembers idempotency keys from their execution on, which is never less than a forwarder counts on, as
// it only knows when it sent them.
type deduplicator struct {
	knownUntil map[uint64]float64
	order      []uint64
}

// firstSeen tells whether a key is new to a call that came at a moment and has been executed by now, and remembers it.
// The key is looked up as of the call's arrival: a call that a hang held up is judged by what was known then.
func (d *deduplicator) firstSeen(key uint64, receivedAt, now, window float64) bool {
	for len(d.order) > 0 && d.knownUntil[d.order[0]] <= now-deduplicationMargin {
		delete(d.knownUntil, d.order[0])
		d.order = d.order[1:]
	}
	if d.knownUntil == nil {
		d.knownUntil = map[uint64]float64{}
	}
	until, known := d.knownUntil[key]
	if known && until > receivedAt {
		return false
	}
	if !known {
		d.order = append(d.order, key)
	}
	d.knownUntil[key] = now + window
	return true
}
