package backlog

import (
	"hash/fnv"
)

// Lane identifies a queue: the messages of one tenant for one destination, in the order of their numbers.
type Lane struct {
	Destination uint64
	Tenant      uint32
}

// Message is a pending message with its history. Times are in microseconds of the wall clock, 0 for none.
type Message struct {
	Seq  uint64 // its number in the write-ahead log: the order of acceptance
	Lane Lane
	Key  uint64 // ordering key, 0 for none
	// Ordered says that its type keeps the order of its key: messages of one key are sent one at a time in the order of
	// acceptance, whatever their lanes.
	Ordered    bool
	Type       string
	ID         string // the client's id of the message
	Body       []byte
	AcceptedAt int64 // when it was accepted
	Expiry     int64 // its deadline

	Attempts         uint32 // that have begun
	MayHaveRun       int64  // begin of the first attempt that may have run
	MayHaveRunZone   uint32 // zone of that attempt
	DeduplicationKey string // by which the destination recognizes a repeat; empty if it does not
	DeduplicationEnd int64  // until when it does
	Frontend         string // by which it was submitted; empty for the platform's own
	CallerWaits      bool   // its caller waits for the final answer
}

// State is the progress of a message.
type State uint8

// The states of stored messages.
const (
	Untried    State = iota // no attempt has begun
	Tried                   // attempts were made, none of which may have run
	MayHaveRun              // an attempt may have run
	stateCount
)

// String returns the state as commands print it.
func (s State) String() string { return [...]string{"untried", "tried", "may-have-run"}[s] }

// States returns the states of stored messages, in order.
func States() []State { return []State{Untried, Tried, MayHaveRun} }

// State returns the progress of the message.
func (m *Message) State() State {
	switch {
	case m.MayHaveRun != 0:
		return MayHaveRun
	case m.Attempts > 0:
		return Tried
	}
	return Untried
}

// Ref identifies a stored message.
type Ref struct {
	Lane    Lane
	Seq     uint64
	idHash  uint64
	keyHash uint64
}

// NewRef returns the Ref of the message with this lane, number, client's id and ordering key.
func NewRef(lane Lane, seq uint64, id string, key uint64) Ref {
	return Ref{Lane: lane, Seq: seq, idHash: hashID(id), keyHash: hashKey(key)}
}

// Ref returns the Ref of the message.
func (m *Message) Ref() Ref { return NewRef(m.Lane, m.Seq, m.ID, m.Key) }

// hashID is FNV-1a in 64 bits: the same in each process, as it is part of release records.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// keepsOrder reports whether the message must be sent after earlier ones of its key.
func (m *Message) keepsOrder() bool { return m.Ordered && m.Key != 0 }

// Size returns the bytes that the message takes in the store.
func (m *Message) Size() int {
	size := recordHeaderSize + 1 + messageFixedSize + len(m.Body)
	for _, text := range m.texts() {
		size += len(text)
	}
	return size
}
