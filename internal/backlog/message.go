package backlog

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// Lane is a queue of its own: messages of one tenant for one destination, in the order of taking.
type Lane struct {
	Destination uint64
	Tenant      uint32
}

// Message is a message that is owed its end, with its history. Latencies are in microseconds of the wall clock, 0 for none.
type Message struct {
	Seq  uint64 // its number in the write-ahead log: the order of taking
	Lane Lane
	Key  uint64 // ordering key, 0 for none
	// Ordered says that its type keeps the order of its key: messages of one key go one at a time in the order of taking,
	// whatever their lanes.
	Ordered bool
	Type    string
	ID      string // the client's name for it
	Body    []byte
	Taken   int64 // when it was taken on
	Expiry  int64 // when its time is over

	Attempts         uint32 // spent
	MayHaveRun       int64  // begin of the first attempt that may have run
	MayHaveRunZone   uint32 // zone of that attempt
	DeduplicationKey string // by which the destination knows a repeat; empty if it does not
	DeduplicationEnd int64  // until when it does
	Frontend         string // by which it came; empty for the platform's own
	CallerWaits      bool   // its caller waits for the final answer
}

// State is how far a message has come.
type State uint8

// The states of stored messages.
const (
	Untried    State = iota // no attempt has begun
	Tried                   // attempts were made, none of which may have run
	MayHaveRun              // an attempt may have run
	stateCount
)

func (s State) String() string { return [...]string{"untried", "tried", "may-have-run"}[s] }

// States are all states in order.
func States() []State { return []State{Untried, Tried, MayHaveRun} }

// State is how far the message has come.
func (m *Message) State() State {
	switch {
	case m.MayHaveRun != 0:
		return MayHaveRun
	case m.Attempts > 0:
		return Tried
	}
	return Untried
}

// Ref names a stored message.
type Ref struct {
	Lane    Lane
	Seq     uint64
	idHash  uint64
	keyHash uint64
}

// NewRef names the message with this lane, number, client's id and ordering key.
func NewRef(lane Lane, seq uint64, id string, key uint64) Ref {
	return Ref{Lane: lane, Seq: seq, idHash: hashID(id), keyHash: hashKey(key)}
}

// Ref names the message.
func (m *Message) Ref() Ref { return NewRef(m.Lane, m.Seq, m.ID, m.Key) }

// hashID is FNV-1a in 64 bits: the same in each process, as release records hold it.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

const (
	maxBody     = 128 << 10      // bytes
	maxText     = math.MaxUint16 // bytes of a type, an id, a deduplication key or a frontend's name
	fixedLength = 8*8 + 3*4 + 1 + 4*2 + 4
	flagWaits   = 1
	flagOrdered = 2
)

// fixedPart is what a message's record begins with.
type fixedPart struct {
	seq, key, destination                       uint64
	taken, expiry, mayHaveRun, deduplicationEnd int64
	tenant, attempts, mayHaveRunZone            uint32
	flags                                       byte
	textLengths                                 [4]int
	bodyLength                                  int
}

func (f *fixedPart) state() State {
	m := Message{MayHaveRun: f.mayHaveRun, Attempts: f.attempts}
	return m.State()
}

// keepsOrder tells if the message has to go after earlier ones of its key.
func (m *Message) keepsOrder() bool { return m.Ordered && m.Key != 0 }

func (f *fixedPart) keepsOrder() bool { return f.flags&flagOrdered != 0 && f.key != 0 }

func (m *Message) texts() [4]string {
	return [4]string{m.ID, m.Type, m.DeduplicationKey, m.Frontend}
}

// fits tells if the message's parts are within what a record can hold.
func (m *Message) fits() bool {
	for _, text := range m.texts() {
		if len(text) > maxText {
			return false
		}
	}
	return len(m.Body) <= maxBody
}

// encode adds the message's record without its header to b.
func (m *Message) encode(b []byte) []byte {
	little := binary.LittleEndian
	for _, v := range []uint64{m.Seq, m.Key, m.Lane.Destination, uint64(m.Taken), uint64(m.Expiry), uint64(m.MayHaveRun),
		uint64(m.DeduplicationEnd), 0} {
		b = little.AppendUint64(b, v)
	}
	for _, v := range []uint32{m.Lane.Tenant, m.Attempts, m.MayHaveRunZone} {
		b = little.AppendUint32(b, v)
	}
	flags := byte(0)
	if m.CallerWaits {
		flags |= flagWaits
	}
	if m.Ordered {
		flags |= flagOrdered
	}
	b = append(b, flags)
	for _, text := range m.texts() {
		b = little.AppendUint16(b, uint16(len(text)))
	}
	b = little.AppendUint32(b, uint32(len(m.Body)))
	for _, text := range m.texts() {
		b = append(b, text...)
	}
	return append(b, m.Body...)
}

// decodeFixed reads what a message's record begins with; ok is false if it is none.
func decodeFixed(b []byte) (f fixedPart, ok bool) {
	if len(b) < fixedLength {
		return f, false
	}
	little := binary.LittleEndian
	long := func(i int) uint64 { return little.Uint64(b[8*i:]) }
	f.seq, f.key, f.destination = long(0), long(1), long(2)
	f.taken, f.expiry, f.mayHaveRun, f.deduplicationEnd = int64(long(3)), int64(long(4)), int64(long(5)), int64(long(6))
	b = b[64:]
	f.tenant, f.attempts, f.mayHaveRunZone = little.Uint32(b), little.Uint32(b[4:]), little.Uint32(b[8:])
	f.flags = b[12]
	total := 0
	for i := range f.textLengths {
		f.textLengths[i] = int(little.Uint16(b[13+2*i:]))
		total += f.textLengths[i]
	}
	f.bodyLength = int(little.Uint32(b[21:]))
	return f, total+f.bodyLength == len(b)-(fixedLength-64)
}

// decodeMessage reads a message's record; ok is false if it is none. The message shares no memory with b.
func decodeMessage(b []byte) (m *Message, ok bool) {
	f, ok := decodeFixed(b)
	if !ok {
		return nil, false
	}
	rest := b[fixedLength:]
	var texts [4]string
	for i, n := range f.textLengths {
		texts[i], rest = string(rest[:n]), rest[n:]
	}
	return &Message{Seq: f.seq, Lane: Lane{f.destination, f.tenant}, Key: f.key, ID: texts[0], Type: texts[1],
		Body: append([]byte(nil), rest...), Taken: f.taken, Expiry: f.expiry, Attempts: f.attempts,
		MayHaveRun: f.mayHaveRun, MayHaveRunZone: f.mayHaveRunZone, DeduplicationKey: texts[2],
		DeduplicationEnd: f.deduplicationEnd, Frontend: texts[3], CallerWaits: f.flags&flagWaits != 0,
		Ordered: f.flags&flagOrdered != 0}, true
}

// recordID is the client's id within a message's record.
func recordID(b []byte, f *fixedPart) string {
	return string(b[fixedLength : fixedLength+f.textLengths[0]])
}
