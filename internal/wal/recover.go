package wal

import (
	"encoding/binary"
	"os"
	"slices"
)

// recover reads all segments of the folder and rebuilds the pending entries.
func (l *Log) recover() error {
	numbers, err := segmentNumbers(l.dir)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		text, err := os.ReadFile(segmentPath(l.dir, number))
		if err != nil {
			return err
		}
		l.segments = append(l.segments, segment{number: number, size: int64(len(text))})
		l.replay(text, number)
	}
	for _, e := range l.entries {
		l.pending += e.Size()
		if i, found := slices.BinarySearchFunc(l.segments, e.segment, compareNumber); found {
			l.segments[i].add(e)
		}
	}
	return nil
}

func compareNumber(s segment, number int) int { return s.number - number }

// replay applies the records of a segment. A record that fails its checksum is dropped if a valid one follows it;
// otherwise the rest of the segment is a torn end and is ignored.
func (l *Log) replay(b []byte, segment int) {
	for len(b) > 0 {
		kind, payload, rest, ok := cutRecord(b)
		if ok {
			l.apply(kind, payload, segment)
			b = rest
			continue
		}
		l.DroppedRecords++
		if _, _, _, follows := cutRecord(rest); !follows {
			return
		}
		b = rest
	}
}

// apply applies one record to the entries, or counts it as dropped if it is malformed.
func (l *Log) apply(kind byte, payload []byte, segment int) {
	if kind == kindEntry || kind == kindEntryWithFrontend {
		l.applyEntry(decodeEntry(kind, payload), segment)
		return
	}
	if len(payload) < seqSize {
		l.DroppedRecords++
		return
	}
	seq := binary.LittleEndian.Uint64(payload)
	l.Reserve(seq)
	if e := l.entries[seq]; e != nil && !l.applyChange(e, kind, payload[seqSize:]) { // nil if the entry's record was freed
		l.DroppedRecords++
	}
}

func (l *Log) applyEntry(e *Entry, segment int) {
	if e == nil {
		l.DroppedRecords++
		return
	}
	e.segment = segment
	l.entries[e.Seq] = e
	l.Reserve(e.Seq)
}

// rememberDone adds the ID of a message that is done to those for TakeRecentlyDone.
func (l *Log) rememberDone(id string) {
	if len(l.recentlyDone) == 2*MaxRecentlyDone {
		l.recentlyDone = append(l.recentlyDone[:0], l.recentlyDone[MaxRecentlyDone:]...)
	}
	l.recentlyDone = append(l.recentlyDone, id)
}

// applyChange applies the part of a record after the sequence number to its pending entry. It returns false if the
// record is malformed.
func (l *Log) applyChange(e *Entry, kind byte, change []byte) bool {
	switch size := seqSize + len(change); {
	case kind == kindAttempt && size == attemptSize:
		e.attemptStarted(int64(binary.LittleEndian.Uint64(change)), int(binary.LittleEndian.Uint32(change[8:])))
	case kind == kindAttemptEnd && size == attemptEndSize:
		e.attemptEnded(AttemptEnd(change[0]))
	case kind == kindAnswer && size == answerSize:
		e.Answer, e.RetryAfter = Answer(change[0]), int(binary.LittleEndian.Uint32(change[1:]))
	case kind == kindDone && size == seqSize:
		delete(l.entries, e.Seq)
		l.rememberDone(e.ID)
	default:
		return false
	}
	return true
}
