package backlog

import (
	"encoding/binary"
	"math"
)

const (
	maxBodyLength = 128 << 10      // bytes
	maxTextLength = math.MaxUint16 // bytes, for each of Message.texts
)

// A message is encoded as a part of fixed length, then its texts and its body. The part of fixed length has, in
// little-endian order, 8 numbers of 64 bits (the last one unused), 3 numbers of 32 bits, a byte of flags, the lengths
// of the texts in 16 bits each, and the length of the body in 32 bits.
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

// messageFixed is the part of fixed length of an encoded message.
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

// texts returns the strings of the message in the order in which they are encoded.
func (m *Message) texts() [messageTexts]string {
	return [messageTexts]string{m.ID, m.Type, m.DeduplicationKey, m.Frontend}
}

// fits reports whether the texts and the body are short enough for a record.
func (m *Message) fits() bool {
	for _, text := range m.texts() {
		if len(text) > maxTextLength {
			return false
		}
	}
	return len(m.Body) <= maxBodyLength
}

// encode appends the encoded message to b.
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

// decodeMessageFixed decodes the part of fixed length of an encoded message. ok is false if b is malformed.
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

// decodeMessage decodes a message, which shares no memory with b. ok is false if b is malformed.
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

// recordID returns the client's id of an encoded message.
func recordID(b []byte, f *messageFixed) string {
	return string(b[messageFixedSize : messageFixedSize+f.textLengths[0]])
}
