package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// encode adds the entry's record to b.
func (e *Entry) encode(b []byte) []byte {
	for _, v := range []uint64{e.Seq, e.Key, e.Destination, uint64(e.Expiry), uint64(e.FirstRanAt), uint64(e.AttemptBegan)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range []int{e.Tenant, e.Attempts, e.FirstRanZone, e.AttemptZone, int(e.Answer), e.RetryAfter, len(e.Type), len(e.ID), len(e.IdempotencyKey), len(e.Body)} {
		b = binary.LittleEndian.AppendUint32(b, uint32(v))
	}
	b = append(append(append(b, e.Type...), e.ID...), e.IdempotencyKey...)
	return append(b, e.Body...)
}

const fixed = 6*8 + 10*4

// decode reads an entry's record, nil if it is none.
func decode(b []byte) *Entry {
	if len(b) < fixed {
		return nil
	}
	long := func(i int) uint64 { return binary.LittleEndian.Uint64(b[8*i:]) }
	word := func(i int) int { return int(binary.LittleEndian.Uint32(b[48+4*i:])) }
	e := &Entry{Seq: long(0), Key: long(1), Destination: long(2), Expiry: int64(long(3)), FirstRanAt: int64(long(4)),
		AttemptBegan: int64(long(5)), Tenant: word(0), Attempts: word(1), FirstRanZone: word(2), AttemptZone: word(3),
		Answer: Answer(word(4)), RetryAfter: word(5)}
	sizes := [4]int{word(6), word(7), word(8), word(9)}
	if sizes[0]+sizes[1]+sizes[2]+sizes[3] != len(b)-fixed {
		return nil
	}
	var texts [4]string
	rest := b[fixed:]
	for i, n := range sizes {
		texts[i], rest = string(rest[:n]), rest[n:]
	}
	e.Type, e.ID, e.IdempotencyKey, e.Body = texts[0], texts[1], texts[2], []byte(texts[3])
	return e
}

// entry reads an entry's record of either kind, nil if it is none.
func entry(kind byte, b []byte) *Entry {
	if kind == kindEntry {
		return decode(b)
	}
	if len(b) < 2 || int(b[1]) > len(b)-2 || b[1] > mostFront {
		return nil
	}
	e := decode(b[2+b[1]:])
	if e != nil {
		e.CallerWaits, e.Frontend = b[0] == 1, string(b[2:2+b[1]])
	}
	return e
}

// record cuts the first record off a file's text; ok is false where none can be read.
func record(b []byte) (kind byte, body, rest []byte, ok bool) {
	if len(b) < header {
		return 0, nil, nil, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n > mostEntry || int(n) > len(b)-header {
		return 0, nil, nil, false
	}
	end := header + int(n)
	sound := binary.LittleEndian.Uint32(b[4:]) == crc32.ChecksumIEEE(b[8:end])
	return b[8], b[header:end], b[end:], sound
}

// replay applies a file's records. One whose checksum fails is passed over if another follows it; else the rest of
// the file is a torn tail.
func (l *Log) replay(b []byte, number int) {
	for len(b) > 0 {
		kind, body, rest, ok := record(b)
		if !ok {
			l.DroppedRecords++
			if _, _, _, next := record(rest); !next {
				return
			}
			b = rest
			continue
		}
		b = rest
		l.apply(kind, body, number)
	}
}

func (l *Log) apply(kind byte, b []byte, number int) {
	if kind == kindEntry || kind == kindFrom {
		if e := entry(kind, b); e != nil {
			e.file = number
			l.entries[e.Seq] = e
			l.next = max(l.next, e.Seq+1)
			return
		}
		l.DroppedRecords++
		return
	}
	if len(b) < 8 {
		l.DroppedRecords++
		return
	}
	seq := binary.LittleEndian.Uint64(b)
	l.next = max(l.next, seq+1)
	e := l.entries[seq]
	switch {
	case e == nil: // of a message whose record has been freed
	case kind == kindOut && len(b) == 20:
		e.sent(int64(binary.LittleEndian.Uint64(b[8:])), int(binary.LittleEndian.Uint32(b[16:])))
	case kind == kindBack && len(b) == 9:
		e.back(b[8] == 1)
	case kind == kindAnswer && len(b) == 13:
		e.Answer, e.RetryAfter = Answer(b[8]), int(binary.LittleEndian.Uint32(b[9:]))
	case kind == kindOver && len(b) == 8:
		delete(l.entries, seq)
	default:
		l.DroppedRecords++
	}
}
