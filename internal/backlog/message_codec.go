package backlog

import (
	"encoding/binary"
	"math"
)

const (
	maxBodyLength = 128 << 10      // bytes
	maxTextLength = math.MaxUint16 // bytes of a type, an id, a deduplication key or a frontend's name
)

// A message's record begins with numbers of fixed length, little-endian: 8 of 64 bits, the last of them unused, 3 of 32
// bits, the flags, the lengths of the texts in 16 bits, and that of the body in 32. Texts and body follow.
const (
	messageTexts      = 4
	uint32sOffset     = 8 * 8
	flagsOffset       = uint32sOffset + 3*4
	textLengthsOffset = flagsOffset + 1
	bodyLengthOffset  = textLengthsOffset + messageTexts*2
	messageFixedSize  = bodyLengthOffset + 4
)

const (
	flagCallerWaits = 1 << iota
	flagOrdered
)

// messageFixed is the part of fixed length at the start of a message's record.
type messageFixed struct {
	seq, key, destination                          uint64
	accepted, expiry, mayHaveRun, deduplicationEnd int64
	tenant, attempts, mayHaveRunZone               uint32
	flags                                          byte
	textLengths                                    [messageTexts]int
	bodyLength                                     int
}

func (f *messageFixed) state() State {
	m := Message{MayHaveRun: f.mayHaveRun, Attempts: f.attempts}
	return m.State()
}

func (f *messageFixed) keepsOrder() bool { return f.flags&flagOrdered != 0 && f.key != 0 }

// texts returns the message's texts in the order of its record.
func (m *Message) texts() [messageTexts]string {
	return [messageTexts]string{m.ID, m.Type, m.DeduplicationKey, m.Frontend}
}

// fits reports whether the message's parts are within what a record can hold.
func (m *Message) fits() bool {
	for _, text := range m.texts() {
		if len(text) > maxTextLength {
			return false
		}
	}
	return len(m.Body) <= maxBodyLength
}

// encode appends the message's record without its header to b.
func (m *Message) encode(b []byte) []byte {
	little := binary.LittleEndian
	for _, v := range []uint64{
		m.Seq, m.Key, m.Lane.Destination, uint64(m.AcceptedAt), uint64(m.Expiry), uint64(m.MayHaveRun),
		uint64(m.DeduplicationEnd), 0,
	} {
		b = little.AppendUint64(b, v)
	}
	for _, v := range []uint32{m.Lane.Tenant, m.Attempts, m.MayHaveRunZone} {
		b = little.AppendUint32(b, v)
	}
	flags := byte(0)
	if m.CallerWaits {
		flags |= flagCallerWaits
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

// decodeMessageFixed reads the part of fixed length of a message's record; ok is false if it is malformed.
func decodeMessageFixed(b []byte) (f messageFixed, ok bool) {
	if len(b) < messageFixedSize {
		return f, false
	}
	little := binary.LittleEndian
	uint64At := func(i int) uint64 { return little.Uint64(b[8*i:]) }
	f.seq, f.key, f.destination = uint64At(0), uint64At(1), uint64At(2)
	f.accepted, f.expiry = int64(uint64At(3)), int64(uint64At(4))
	f.mayHaveRun, f.deduplicationEnd = int64(uint64At(5)), int64(uint64At(6))
	uint32At := func(i int) uint32 { return little.Uint32(b[uint32sOffset+4*i:]) }
	f.tenant, f.attempts, f.mayHaveRunZone = uint32At(0), uint32At(1), uint32At(2)
	f.flags = b[flagsOffset]
	total := 0
	for i := range f.textLengths {
		f.textLengths[i] = int(little.Uint16(b[textLengthsOffset+2*i:]))
		total += f.textLengths[i]
	}
	f.bodyLength = int(little.Uint32(b[bodyLengthOffset:]))
	return f, total+f.bodyLength == len(b)-messageFixedSize
}

// decodeMessage reads a message's record; ok is false if it is malformed. The message shares no memory with b.
func decodeMessage(b []byte) (m *Message, ok bool) {
	f, ok := decodeMessageFixed(b)
	if !ok {
		return nil, false
	}
	rest := b[messageFixedSize:]
	var texts [messageTexts]string
	for i, n := range f.textLengths {
		texts[i], rest = string(rest[:n]), rest[n:]
	}
	return &Message{
		Seq:              f.seq,
		Lane:             Lane{f.destination, f.tenant},
		Key:              f.key,
		Ordered:          f.flags&flagOrdered != 0,
		Type:             texts[1],
		ID:               texts[0],
		Body:             append([]byte(nil), rest...),
		AcceptedAt:       f.accepted,
		Expiry:           f.expiry,
		Attempts:         f.attempts,
		MayHaveRun:       f.mayHaveRun,
		MayHaveRunZone:   f.mayHaveRunZone,
		DeduplicationKey: texts[2],
		DeduplicationEnd: f.deduplicationEnd,
		Frontend:         texts[3],
		CallerWaits:      f.flags&flagCallerWaits != 0,
	}, true
}

// recordID returns the client's id in a message's record.
func recordID(b []byte, f *messageFixed) string {
	return string(b[messageFixedSize : messageFixedSize+f.textLengths[0]])
}
