package backlog

import (
	"math/bits"
)

const (
	idShards      = 256
	minSlots      = 8
	fullNumerator = 4 // a shard is filled up to 4/5
	fullDivisor   = 5
)

// slot is what a hash table keeps of an element. The zero value marks a free slot.
type slot[S any] interface {
	comparable
	hash() uint64
	// same reports whether two slots are of the same element. Different elements may have the same hash.
	same(other S) bool
}

// hashTable is a hash table over hashes of 64 bits. Unlike a map it takes less than two slots an element while it grows
// (four as it empties), and grows in small parts, so that no turn of the event loop waits for it.
type hashTable[S slot[S]] struct {
	shards [idShards]hashShard[S]
	count  int // elements
}

// hashShard is a hash table with linear probing.
type hashShard[S slot[S]] struct {
	slots []S
	used  int
}

func (t *hashTable[S]) shard(hash uint64) *hashShard[S] { return &t.shards[hash%idShards] }

// find returns the slot of an element, nil if it is not there. The slot is valid until the next change.
func (t *hashTable[S]) find(element S) *S {
	shard := t.shard(element.hash())
	if i, has := shard.find(element); has {
		return &shard.slots[i]
	}
	return nil
}

// insert adds an element that is not there.
func (t *hashTable[S]) insert(element S) {
	shard := t.shard(element.hash())
	if (shard.used+1)*fullDivisor > len(shard.slots)*fullNumerator {
		shard.resize(max(minSlots, len(shard.slots)+len(shard.slots)/2))
	}
	i, _ := shard.find(element)
	shard.slots[i] = element
	shard.used++
	t.count++
}

// delete removes an element, if it is there.
func (t *hashTable[S]) delete(element S) {
	shard := t.shard(element.hash())
	i, has := shard.find(element)
	if !has {
		return
	}
	shard.clear(i)
	shard.used--
	t.count--
	if len(shard.slots) > minSlots && shard.used*4 < len(shard.slots) {
		shard.resize(max(minSlots, shard.used*2))
	}
}

// home returns the slot at which the search for a hash begins.
func (t *hashShard[S]) home(hash uint64) int {
	high, _ := bits.Mul64(bits.RotateLeft64(hash, -8)*0x9E3779B97F4A7C15, uint64(len(t.slots)))
	return int(high)
}

// find returns the place of an element, or the free one where it belongs, and whether the element is there.
func (t *hashShard[S]) find(element S) (place int, has bool) {
	if len(t.slots) == 0 {
		return 0, false
	}
	var free S
	for i := t.home(element.hash()); ; i = t.after(i) {
		if t.slots[i] == free {
			return i, false
		}
		if t.slots[i].same(element) {
			return i, true
		}
	}
}

func (t *hashShard[S]) after(i int) int {
	if i++; i == len(t.slots) {
		return 0
	}
	return i
}

// clear frees a slot and moves up those behind it that would not be found any more.
func (t *hashShard[S]) clear(place int) {
	var free S
	n := len(t.slots)
	for i := t.after(place); t.slots[i] != free; i = t.after(i) {
		fromHome := (i - t.home(t.slots[i].hash()) + n) % n
		if fromFree := (i - place + n) % n; fromHome >= fromFree {
			t.slots[place] = t.slots[i]
			place = i
		}
	}
	t.slots[place] = free
}

func (t *hashShard[S]) resize(slots int) {
	var free S
	old := t.slots
	t.slots = make([]S, slots)
	for _, element := range old {
		if element != free {
			i, _ := t.find(element)
			t.slots[i] = element
		}
	}
}
