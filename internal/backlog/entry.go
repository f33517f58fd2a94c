package backlog

// entry is the in-memory index entry of a stored message.
type entry struct {
	seq     uint64
	expiry  int64 // microseconds of the wall clock
	segment uint32
	offset  uint32
	packed  uint32 // size of its record in bytes and, in the lowest bits, keepsOrder and its state
	heapPos uint32 // position in the lane's heap of expiries, counted from 1; 0 once released
}

const (
	stateBits = 2
	orderBit  = 1 << stateBits
	sizeShift = stateBits + 1
	blockSize = 16 // entries per block of a lane
)

func (e *entry) size() int64 { return int64(e.packed >> sizeShift) }

func (e *entry) state() State { return State(e.packed & (1<<stateBits - 1)) }

func (e *entry) live() bool { return e.heapPos != 0 }

func (e *entry) keepsOrder() bool { return e.packed&orderBit != 0 }

func pack(size int, s State, keepsOrder bool) uint32 {
	packed := uint32(size)<<sizeShift | uint32(s)
	if keepsOrder {
		packed |= orderBit
	}
	return packed
}

func expiresBefore(a, b *entry) bool {
	if a.expiry != b.expiry {
		return a.expiry < b.expiry
	}
	return a.seq < b.seq
}
