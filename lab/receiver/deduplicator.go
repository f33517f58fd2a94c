package receiver

// deduplicationMargin is the number of seconds for which a key is stored beyond its window, because calls that arrived
// within the window may be executed that much later.
const deduplicationMargin = 120

// deduplicator remembers idempotency keys for their window, counted from the execution. Forwarders count the window
// from the time they sent the call, so a key is never forgotten earlier than they expect.
type deduplicator struct {
	knownUntil map[uint64]float64
	order      []uint64
}

// firstSeen remembers the key of a call that has just been executed, and reports whether the key was unknown when the
// call arrived. The time of arrival counts so that a hang, which delays the execution, does not change the result.
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
