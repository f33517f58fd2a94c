package forwarder

import (
	"hash/maphash"

	"spanflow/internal/wal"
)

const maxRecentIDs = wal.MaxRecentlyDone

// recentIDs remembers the ids of the messages that ended most recently, so that no message is admitted under the id of
// one that may have run. It stores hashes: another id is mistaken for a recent one with a probability of about 2^-52.
type recentIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	ring   []uint64 // the hashes, in the order in which the messages ended
	oldest int      // index in ring, once ring is full
}

func newRecentIDs() recentIDs {
	return recentIDs{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

// has reports whether an id is among the recent ones.
func (r *recentIDs) has(id string) bool {
	_, known := r.hashes[maphash.String(r.seed, id)]
	return known
}

// add remembers an id. If the ring is full, it replaces the oldest one.
func (r *recentIDs) add(id string) {
	hash := maphash.String(r.seed, id)
	if _, known := r.hashes[hash]; known {
		return
	}
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, hash)
	} else {
		delete(r.hashes, r.ring[r.oldest])
		r.ring[r.oldest] = hash
		r.oldest = (r.oldest + 1) % maxRecentIDs
	}
	r.hashes[hash] = struct{}{}
}
