package forwarder

import "hash/maphash"

// recentlySeen remembers the ids of the latest messages that were let go of, so that none is taken on under the id of
// one that may have run.
type recentlySeen struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	ring   []uint64
	at     int
}

const mostRecent = 4096

func newRecentlySeen() recentlySeen {
	return recentlySeen{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

func (r *recentlySeen) has(id string) bool {
	_, known := r.hashes[maphash.String(r.seed, id)]
	return known
}

func (r *recentlySeen) add(id string) {
	h := maphash.String(r.seed, id)
	if _, known := r.hashes[h]; known {
		return
	}
	if len(r.ring) < mostRecent {
		r.ring = append(r.ring, h)
	} else {
		delete(r.hashes, r.ring[r.at])
		r.ring[r.at] = h
		r.at = (r.at + 1) % mostRecent
	}
	r.hashes[h] = struct{}{}
}
