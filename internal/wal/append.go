package wal

import (
	"encoding/binary"
	"slices"
)

// Append records a message and assigns its sequence number. If Append returns an error, the message is not recorded;
// the error is ErrFull if the message does not fit in the log, or a file system error.
func (l *Log) Append(e *Entry) error {
	if !l.hasSpace(e, 0) {
		return ErrFull
	}
	e.Seq = l.nextSeq
	if err := l.appendEntry(e); err != nil {
		return err
	}
	l.nextSeq++
	l.entries[e.Seq] = e
	l.pending += e.Size()
	return nil
}

// Restore records an entry that was loaded from the backlog store and already has a sequence number and a history. If
// the entry is in the log already, the latest record counts. The errors are those of Append.
func (l *Log) Restore(e *Entry) error {
	replaced := 0
	if old := l.entries[e.Seq]; old != nil {
		replaced = old.Size()
	}
	if !l.hasSpace(e, replaced) {
		return ErrFull
	}
	if err := l.appendEntry(e); err != nil {
		return err
	}
	delete(l.unrecorded, e.Seq) // this record supersedes the end that could not be recorded
	l.entries[e.Seq] = e
	l.pending += e.Size() - replaced
	l.Reserve(e.Seq)
	return nil
}

// hasSpace reports whether an entry fits in the log. If the entry replaces another one, replaced is the size of that
// one in bytes; otherwise it is 0.
func (l *Log) hasSpace(e *Entry, replaced int) bool {
	size := e.Size()
	return l.pending-replaced+size <= l.Capacity() && size <= maxPayload && len(e.Frontend) <= maxFrontendName
}

// RecordAttempt records that an attempt is about to start. It does nothing for a message that is not pending.
func (l *Log) RecordAttempt(seq uint64, at int64, zone int) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	b := binary.LittleEndian.AppendUint64(l.beginRecord(kindAttempt), seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(at))
	if err := l.append(binary.LittleEndian.AppendUint32(b, uint32(zone))); err != nil {
		return err
	}
	e.attemptStarted(at, zone)
	return nil
}

// RecordAttemptEnd records how an attempt has ended without finishing the message. It does nothing for a message that is
// not pending.
func (l *Log) RecordAttemptEnd(seq uint64, end AttemptEnd) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	e.attemptEnded(end)
	b := binary.LittleEndian.AppendUint64(l.beginRecord(kindAttemptEnd), seq)
	return l.append(append(b, byte(end)))
}

// RecordAnswer records the final answer before it is sent. The time retryAfter is in milliseconds. RecordAnswer does
// nothing for a message that is not pending.
func (l *Log) RecordAnswer(seq uint64, answer Answer, retryAfter int) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	e.Answer, e.RetryAfter = answer, retryAfter
	b := append(binary.LittleEndian.AppendUint64(l.beginRecord(kindAnswer), seq), byte(answer))
	return l.append(binary.LittleEndian.AppendUint32(b, uint32(retryAfter)))
}

// RecordDone records that a message is done. It does nothing for a message that is not pending. If RecordDone returns
// an error, the message is no longer pending now but would be pending again after the next Open. A later RecordDone,
// RetryDone or Close tries again to write the record.
func (l *Log) RecordDone(seq uint64) error {
	segment, failedBefore := l.unrecorded[seq]
	if e := l.entries[seq]; e != nil {
		delete(l.entries, seq)
		l.pending -= e.Size()
		segment = e.segment
	} else if !failedBefore {
		return nil
	}
	if err := l.append(binary.LittleEndian.AppendUint64(l.beginRecord(kindDone), seq)); err != nil {
		l.unrecorded[seq] = segment
		return err
	}
	if failedBefore {
		delete(l.unrecorded, seq)
	}
	return nil
}

// RetryDone records the ends that could not be recorded before.
func (l *Log) RetryDone() error {
	for seq := range l.unrecorded {
		if err := l.RecordDone(seq); err != nil {
			return err
		}
	}
	return nil
}

// appendEntry records an entry with all its fields in the last segment.
func (l *Log) appendEntry(e *Entry) error {
	if err := l.append(l.entryRecord(e)); err != nil {
		return err
	}
	l.last().add(e)
	return nil
}

// append seals a record, frees space for it if necessary and writes it.
func (l *Log) append(record []byte) error {
	sealRecord(record)
	l.buf = record
	switch {
	case l.active == nil || l.last().size >= l.segmentSize():
		if err := l.rotate(); err != nil {
			return err
		}
		record = slices.Clone(record) // compaction overwrites the buffer
		if err := l.makeSpace(len(record), 2*l.compactionReserve()); err != nil {
			return err
		}
	case l.Used()+int64(len(record))+l.compactionReserve() > l.limit: // short-lived processes left many small segments
		record = slices.Clone(record)
		_ = l.makeSpace(len(record), l.compactionReserve()) // write returns ErrFull if there is no space
	}
	return l.write(record)
}

// write writes a sealed record to the last segment.
func (l *Log) write(record []byte) error {
	s := l.last()
	if diskSize(s.size+int64(len(record)))-diskSize(s.size)+l.Used() > l.limit {
		return ErrFull
	}
	n, err := l.active.Write(record)
	if err != nil {
		if n > 0 && l.active.Truncate(s.size) != nil {
			s.size += int64(n) // the torn record stays; later records go to a new segment
			_ = l.rotate()
		}
		return err
	}
	s.size += int64(n)
	return nil
}
