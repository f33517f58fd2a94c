package backlog

import "math/bits"

const (
	idShards      = 256
	leastSlots    = 8
	fullNumerator = 4 // a shard is filled up to 4/5
	fullDivisor   = 5
)

// idSet is a set of hashes of 64 bits. Unlike a map it takes 15 bytes an element at most and grows in small parts, so
// that no turn of the event loop waits for it.
type idSet struct {
	shards [idShards]idShard
	count  int
}

// idShard is a hash table with linear probing; 0 marks a free slot.
type idShard struct {
	slots []uint64
	used  int
}

func (s *idSet) shard(hash uint64) *idShard { return &s.shards[hash%idShards] }

// element is a hash that can be told from a free slot.
func element(hash uint64) uint64 { return max(hash, 1) }

func (s *idSet) add(hash uint64) {
	hash = element(hash)
	t := s.shard(hash)
	if i, has := t.find(hash); !has {
		if (t.used+1)*fullDivisor > len(t.slots)*fullNumerator {
			t.resize(max(leastSlots, len(t.slots)+len(t.slots)/2))
			i, _ = t.find(hash)
		}
		t.slots[i] = hash
		t.used++
		s.count++
	}
}

func (s *idSet) has(hash uint64) bool {
	hash = element(hash)
	_, has := s.shard(hash).find(hash)
	return has
}

func (s *idSet) remove(hash uint64) {
	hash = element(hash)
	t := s.shard(hash)
	i, has := t.find(hash)
	if !has {
		return
	}
	t.clear(i)
	t.used--
	s.count--
	if len(t.slots) > leastSlots && t.used*4 < len(t.slots) {
		t.resize(max(leastSlots, t.used*2))
	}
}

// home is where a hash is looked for first.
func (t *idShard) home(hash uint64) int {
	high, _ := bits.Mul64(bits.RotateLeft64(hash, -8)*0x9E3779B97F4A7C15, uint64(len(t.slots)))
	return int(high)
}

// find gives the slot of a hash, or the one where it belongs.
func (t *idShard) find(hash uint64) (slot int, has bool) {
	if len(t.slots) == 0 {
		return 0, false
	}
	for i := t.home(hash); ; i = t.behind(i) {
		if t.slots[i] == hash || t.slots[i] == 0 {
			return i, t.slots[i] == hash
		}
	}
}

func (t *idShard) behind(i int) int {
	if i++; i == len(t.slots) {
		return 0
	}
	return i
}

// clear frees a slot and moves up those behind it that would not be found any more.
func (t *idShard) clear(free int) {
	n := len(t.slots)
	for i := t.behind(free); t.slots[i] != 0; i = t.behind(i) {
		fromHome := (i - t.home(t.slots[i]) + n) % n
		if fromFree := (i - free + n) % n; fromHome >= fromFree {
			t.slots[free] = t.slots[i]
			free = i
		}
	}
	t.slots[free] = 0
}

func (t *idShard) resize(slots int) {
	old := t.slots
	t.slots = make([]uint64, slots)
	for _, hash := range old {
		if hash != 0 {
			i, _ := t.find(hash)
			t.slots[i] = hash
		}
	}
}
