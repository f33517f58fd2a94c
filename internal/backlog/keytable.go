package backlog

// keyTable counts the stored ordered messages of each ordering key, by lane. A key and lane take 16 bytes a slot.
type keyTable struct{ hashTable[keySlot] }

// keySlot is a key with stored messages in a lane.
type keySlot struct {
	key      uint64 // hashKey of the key, not 0
	lane     uint32 // the lane's number
	messages uint32
}

func (s keySlot) hash() uint64 { return s.key }

func (s keySlot) same(other keySlot) bool { return s.key == other.key && s.lane == other.lane }

// hashKey spreads keys over the table. It is the finalizer of SplitMix64, a bijection that leaves 0 as it is: no two
// keys have the same hash. Release records hold it.
func hashKey(key uint64) uint64 {
	key = (key ^ key>>30) * 0xBF58476D1CE4E5B9
	key = (key ^ key>>27) * 0x94D049BB133111EB
	return key ^ key>>31
}

// add counts a message of a key that a lane has.
func (t *keyTable) add(key uint64, lane uint32) {
	if s := t.find(keySlot{key: key, lane: lane}); s != nil {
		s.messages++
		return
	}
	t.insert(keySlot{key: key, lane: lane, messages: 1})
}

// remove takes a message of a key off a lane's count.
func (t *keyTable) remove(key uint64, lane uint32) {
	s := t.find(keySlot{key: key, lane: lane})
	if s == nil {
		return
	}
	if s.messages--; s.messages == 0 {
		t.delete(*s)
	}
}

// elsewhere reports whether another lane than this one has messages of a key. By the rules of the event loop all of a
// key are in one lane, but the answer does not rely on that.
func (t *keyTable) elsewhere(key uint64, lane uint32) bool {
	shard := t.shard(key)
	if len(shard.slots) == 0 {
		return false
	}
	for i := shard.home(key); shard.slots[i].key != 0; i = shard.after(i) {
		if s := shard.slots[i]; s.key == key && s.lane != lane {
			return true
		}
	}
	return false
}

// laneNumbers allocates numbers above 0 to lanes with stored messages, each to one lane at a time.
type laneNumbers struct {
	last uint32
	free []uint32 // at most as many as there were lanes at once
}

func (n *laneNumbers) allocate() uint32 {
	if last := len(n.free) - 1; last >= 0 {
		number := n.free[last]
		n.free = n.free[:last]
		return number
	}
	n.last++
	return n.last
}

func (n *laneNumbers) release(number uint32) { n.free = append(n.free, number) }
