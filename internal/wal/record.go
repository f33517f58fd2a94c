package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record starts with the length of its payload, a checksum of its kind and payload, and its kind. Numbers are
// little-endian.
const (
	checksumOffset = 4
	kindOffset     = 8
	frameHeader    = 9        // length, checksum, kind
	maxPayload     = 72 << 10 // maximum size of a payload in bytes
)

// The kinds of records.
const (
	kindEntry             = iota + 1 // a message with all its fields
	kindAttempt                      // an attempt is about to start
	kindAttemptEnd                   // an attempt has ended and the message is not done
	kindDone                         // the message is done
	kindAnswer                       // the final answer is about to be sent
	kindEntryWithFrontend            // like kindEntry, but preceded by the frontend that accepted the message
)

// Sizes of the payloads, in bytes.
const (
	seqSize         = 8
	attemptSize     = seqSize + 8 + 4 // start, zone
	attemptEndSize  = seqSize + 1     // may have run
	answerSize      = seqSize + 1 + 4 // answer, Retry-After
	entryUint64s    = 6
	entryUint32s    = 10
	entryFixedSize  = entryUint64s*8 + entryUint32s*4
	frontendHeader  = 2 // whether the caller waits, length of the name
	entryFieldCount = 4 // number of fields of variable length
)

// beginRecord begins a record in the log's buffer; sealRecord completes it.
func (l *Log) beginRecord(kind byte) []byte {
	return append(l.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0, kind)
}

// sealRecord sets the length and the checksum of a record.
func sealRecord(record []byte) {
	binary.LittleEndian.PutUint32(record, uint32(len(record)-frameHeader))
	binary.LittleEndian.PutUint32(record[checksumOffset:], crc32.ChecksumIEEE(record[kindOffset:]))
}

// cutRecord splits a segment's bytes after the first record. ok is false if the record cannot be read. If only its
// checksum is wrong, rest still holds the bytes after the record; otherwise rest is nil.
func cutRecord(b []byte) (kind byte, payload, rest []byte, ok bool) {
	if len(b) < frameHeader {
		return 0, nil, nil, false
	}
	length := binary.LittleEndian.Uint32(b)
	if length > maxPayload || int(length) > len(b)-frameHeader {
		return 0, nil, nil, false
	}
	end := frameHeader + int(length)
	valid := binary.LittleEndian.Uint32(b[checksumOffset:]) == crc32.ChecksumIEEE(b[kindOffset:end])
	return b[kindOffset], b[frameHeader:end], b[end:], valid
}

// entryRecord encodes an entry as a record in the log's buffer; sealRecord completes it.
func (l *Log) entryRecord(e *Entry) []byte {
	if !e.namesFrontend() {
		return e.encode(l.beginRecord(kindEntry))
	}
	callerWaits := byte(0)
	if e.CallerWaits {
		callerWaits = 1
	}
	b := append(l.beginRecord(kindEntryWithFrontend), callerWaits, byte(len(e.Frontend)))
	return e.encode(append(b, e.Frontend...))
}

// encode appends the payload of an entry's record, without the frontend, to b.
func (e *Entry) encode(b []byte) []byte {
	for _, v := range []uint64{
		e.Seq, e.Key, e.Destination, uint64(e.Expiry), uint64(e.FirstRanAt), uint64(e.AttemptStartedAt),
	} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range []int{
		e.Tenant, e.Attempts, e.FirstRanZone, e.AttemptZone, int(e.Answer), e.RetryAfter,
		len(e.Type), len(e.ID), len(e.IdempotencyKey), len(e.Body),
	} {
		b = binary.LittleEndian.AppendUint32(b, uint32(v))
	}
	b = append(b, e.Type...)
	b = append(b, e.ID...)
	b = append(b, e.IdempotencyKey...)
	return append(b, e.Body...)
}

// decodeEntry decodes the payload of an entry's record of either kind. It returns nil if the payload is malformed.
func decodeEntry(kind byte, payload []byte) *Entry {
	if kind == kindEntry {
		return decodeMessage(payload)
	}
	if len(payload) < frontendHeader {
		return nil
	}
	nameLength := int(payload[1])
	if nameLength > len(payload)-frontendHeader || nameLength > maxFrontendName {
		return nil
	}
	e := decodeMessage(payload[frontendHeader+nameLength:])
	if e != nil {
		e.CallerWaits = payload[0] == 1
		e.Frontend = string(payload[frontendHeader : frontendHeader+nameLength])
	}
	return e
}

// decodeMessage decodes a payload written by encode. It returns nil if the payload is malformed.
func decodeMessage(b []byte) *Entry {
	if len(b) < entryFixedSize {
		return nil
	}
	uint64At := func(i int) uint64 { return binary.LittleEndian.Uint64(b[8*i:]) }
	uint32At := func(i int) int { return int(binary.LittleEndian.Uint32(b[8*entryUint64s+4*i:])) }
	e := &Entry{
		Seq:              uint64At(0),
		Key:              uint64At(1),
		Destination:      uint64At(2),
		Expiry:           int64(uint64At(3)),
		FirstRanAt:       int64(uint64At(4)),
		AttemptStartedAt: int64(uint64At(5)),
		Tenant:           uint32At(0),
		Attempts:         uint32At(1),
		FirstRanZone:     uint32At(2),
		AttemptZone:      uint32At(3),
		Answer:           Answer(uint32At(4)),
		RetryAfter:       uint32At(5),
	}
	lengths := [entryFieldCount]int{uint32At(6), uint32At(7), uint32At(8), uint32At(9)}
	if lengths[0]+lengths[1]+lengths[2]+lengths[3] != len(b)-entryFixedSize {
		return nil
	}
	var fields [entryFieldCount]string
	rest := b[entryFixedSize:]
	for i, length := range lengths {
		fields[i], rest = string(rest[:length]), rest[length:]
	}
	e.Type, e.ID, e.IdempotencyKey, e.Body = fields[0], fields[1], fields[2], []byte(fields[3])
	return e
}
