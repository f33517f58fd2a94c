package backlog

import (
	"math/bits"
)

const (
	shardCount    = 256
	minSlots      = 8
	fullNumerator = 4 // a shard grows when more than 4/5 of its slots are used
	fullDivisor   = 5
)

// slot is the type of a hash table's elements. The zero value marks a free slot.
type slot[S any] interface {
	comparable
	hash() uint64
	// same reports whether two slots hold the same element. Different elements may have the same hash.
	same(other S) bool
}

// hashTable is a hash table of elements with 64-bit hashes. Unlike a map, it uses less than two slots per element while
// it grows (four while it shrinks). It grows shard by shard, so that growing does not delay a turn of the event loop.
type hashTable[S slot[S]] struct {
	shards [shardCount]hashShard[S]
	count  int // elements
}

// hashShard is an open-addressing hash table with linear probing.
type hashShard[S slot[S]] struct {
	slots []S
	used  int
}

func (t *hashTable[S]) shard(hash uint64) *hashShard[S] { return &t.shards[hash%shardCount] }

// find returns the slot of an element, or nil if there is none. The slot is valid until the next change.
func (t *hashTable[S]) find(element S) *S {
	shard := t.shard(element.hash())
	if i, has := shard.find(element); has {
		return &shard.slots[i]
	}
	return nil
}

// insert adds an element that the table does not have yet.
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

// delete removes an element if the table has it.
func (t *hashTable[S]) delete(element S) {
	shard := t.shard(element.hash())
	i, has := shard.find(element)
	if !has {
		return
	}
	shard.remove(i)
	shard.used--
	t.count--
	if len(shard.slots) > minSlots && shard.used*4 < len(shard.slots) {
		shard.resize(max(minSlots, shard.used*2))
	}
}

// home returns the index of the slot at which the search for a hash begins.
func (t *hashShard[S]) home(hash uint64) int {
	high, _ := bits.Mul64(bits.RotateLeft64(hash, -8)*0x9E3779B97F4A7C15, uint64(len(t.slots)))
	return int(high)
}

// find returns the index of an element's slot and true, or the index of the free slot to insert it into and false.
func (t *hashShard[S]) find(element S) (index int, found bool) {
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

// remove frees a slot and moves back the elements after it that could otherwise no longer be found.
func (t *hashShard[S]) remove(place int) {
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
