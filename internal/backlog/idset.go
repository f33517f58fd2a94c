package backlog

// idSet is a set of hashes of 64 bits. It takes 15 bytes an element at most while it grows.
type idSet struct{ hashTable[idSlot] }

// idSlot is a hash; 0 marks a free slot.
type idSlot uint64

func (s idSlot) hash() uint64 { return uint64(s) }

func (s idSlot) same(other idSlot) bool { return s == other }

// element is a hash that can be told from a free slot.
func element(hash uint64) uint64 { return max(hash, 1) }

func (s *idSet) add(hash uint64) {
	if !s.has(hash) {
		s.insert(idSlot(element(hash)))
	}
}

func (s *idSet) has(hash uint64) bool { return s.find(idSlot(element(hash))) != nil }

func (s *idSet) remove(hash uint64) { s.delete(idSlot(element(hash))) }
