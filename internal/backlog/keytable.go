package backlog

// keyTable counts the stored messages that keep the order of their key, by ordering key and lane. A slot has 16 bytes.
type keyTable struct{ hashTable[keySlot] }

// keySlot counts the messages of one key in one lane.
type keySlot struct {
	key      uint64 // hashKey of the key, not 0
	lane     uint32 // lane.number
	messages uint32
}

func (s keySlot) hash() uint64 { return s.key }

func (s keySlot) same(other keySlot) bool { return s.key == other.key && s.lane == other.lane }

// hashKey distributes keys evenly over the table. It is the finalizer of SplitMix64, a bijection that maps 0 to 0, so
// that no two keys have the same hash. It must not change, since release records contain its results.
func hashKey(key uint64) uint64 {
	key = (key ^ key>>30) * 0xBF58476D1CE4E5B9
	key = (key ^ key>>27) * 0x94D049BB133111EB
	return key ^ key>>31
}

// add counts one more message of a key in a lane.
func (t *keyTable) add(key uint64, lane uint32) {
	if s := t.find(keySlot{key: key, lane: lane}); s != nil {
		s.messages++
		return
	}
	t.insert(keySlot{key: key, lane: lane, messages: 1})
}

// remove counts one message less of a key in a lane.
func (t *keyTable) remove(key uint64, lane uint32) {
	s := t.find(keySlot{key: key, lane: lane})
	if s == nil {
		return
	}
	if s.messages--; s.messages == 0 {
		t.delete(*s)
	}
}

// inOtherLane reports whether a lane other than the given one has messages of a key. The event loop keeps all messages
// of a key in one lane, but this method does not rely on it.
func (t *keyTable) inOtherLane(key uint64, lane uint32) bool {
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

// laneNumbers allocates numbers to lanes with stored messages. Numbers are above 0, and released ones are reused.
type laneNumbers struct {
	last uint32
	free []uint32 // released numbers; never more than the maximum number of lanes at one time
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
