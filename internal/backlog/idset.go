package backlog

// idSet is a set of 64-bit hashes. It uses at most 15 bytes per element while it grows.
type idSet struct{ hashTable[idSlot] }

// idSlot is a hash. 0 marks a free slot.
type idSlot uint64

func (s idSlot) hash() uint64 { return uint64(s) }

func (s idSlot) same(other idSlot) bool { return s == other }

// nonZeroHash replaces a hash of 0, which would mark a free slot, by 1.
func nonZeroHash(hash uint64) uint64 { return max(hash, 1) }

func (s *idSet) add(hash uint64) {
	if !s.has(hash) {
		s.insert(idSlot(nonZeroHash(hash)))
	}
}

func (s *idSet) has(hash uint64) bool { return s.find(idSlot(nonZeroHash(hash))) != nil }

func (s *idSet) remove(hash uint64) { s.delete(idSlot(nonZeroHash(hash))) }
