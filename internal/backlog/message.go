package backlog

import (
	"hash/fnv"
)

// Lane identifies a queue: the messages of one tenant for one destination, in the order of their numbers.
type Lane struct {
	Destination uint64
	Tenant      uint32
}

// Message is a pending message with the history of its attempts. Times are in microseconds of the wall clock; 0 means
// none.
type Message struct {
	Seq  uint64 // its number in the write-ahead log, which increases in order of acceptance
	Lane Lane
	Key  uint64 // ordering key; 0 means none
	// Ordered reports whether the message type keeps the order of the key. Such messages with the same key are sent one
	// at a time in order of acceptance, even if they are in different lanes.
	Ordered    bool
	Type       string
	ID         string // id that the client gave the message
	Body       []byte
	AcceptedAt int64 // time of acceptance
	Expiry     int64 // deadline for its delivery

	Attempts         uint32 // number of attempts that have begun
	MayHaveRun       int64  // start of the first attempt that may have run
	MayHaveRunZone   uint32 // zone of that attempt
	DeduplicationKey string // lets the destination recognize a repeat; empty if it cannot
	DeduplicationEnd int64  // end of the deduplication window of the destination
	Frontend         string // frontend that received the message; empty for the platform's own messages
	CallerWaits      bool   // the caller waits for the final answer
}

// State says whether a message has been attempted, and whether an attempt may have run.
type State uint8

// The states of stored messages.
const (
	Untried    State = iota // no attempt has begun
	Tried                   // attempts were made, but none of them can have run
	MayHaveRun              // an attempt may have run
	stateCount
)

// String returns the name of the state that commands print.
func (s State) String() string { return [...]string{"untried", "tried", "may-have-run"}[s] }

// States returns all states in the order of their numbers, as in Usage.States.
func States() []State { return []State{Untried, Tried, MayHaveRun} }

// State derives the state of the message from its history.
func (m *Message) State() State {
	switch {
	case m.MayHaveRun != 0:
		return MayHaveRun
	case m.Attempts > 0:
		return Tried
	}
	return Untried
}

// Ref identifies a stored message. It has what Store.Release needs to remove the message from the index and to write
// the release record.
type Ref struct {
	Lane    Lane
	Seq     uint64
	idHash  uint64
	keyHash uint64
}

// NewRef returns the Ref of a message; id is the client's id and key the ordering key, 0 for none.
func NewRef(lane Lane, seq uint64, id string, key uint64) Ref {
	return Ref{Lane: lane, Seq: seq, idHash: hashID(id), keyHash: hashKey(key)}
}

// Ref returns the reference that Store.Release and Mover.Resolve take.
func (m *Message) Ref() Ref { return NewRef(m.Lane, m.Seq, m.ID, m.Key) }

// hashID is 64-bit FNV-1a. It must not change, since release records contain its results.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// keepsOrder reports whether the message must be sent after earlier messages with the same key.
func (m *Message) keepsOrder() bool { return m.Ordered && m.Key != 0 }

// Size returns the size of the message's record in the store, in bytes.
func (m *Message) Size() int {
	size := recordHeaderSize + 1 + messageFixedSize + len(m.Body)
	for _, text := range m.texts() {
		size += len(text)
	}
	return size
}
