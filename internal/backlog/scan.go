package backlog

import (
	"errors"
	"fmt"
	"io"
)

// errStop ends a scan early without an error.
var errStop = errors.New("stop")

// scannedRecord is one record within a segment.
type scannedRecord struct {
	offset  int64  // offset of its header in the segment
	raw     []byte // header and payload; valid until the next record is read
	payload []byte
}

// scanner reads the records of one segment in order.
type scanner struct {
	file      File
	name      string
	end       int64  // number of valid bytes in the file
	mayBeTorn bool   // an incomplete last record is not damage, because the segment is the last one
	buf       []byte // read buffer, reused
	bufOffset int64  // offset of buf[0] in the file
	bufLength int    // number of bytes read into buf
}

// scan calls visit for every record, starting at offset from, and returns the offset after the last complete record. If
// visit returns errStop, it returns after that record without an error.
func (s *scanner) scan(from int64, visit func(scannedRecord) error) (validEnd int64, err error) {
	s.bufOffset, s.bufLength = from, 0
	for offset := from; offset < s.end; {
		total, err := s.next(offset)
		if err != nil || total == 0 {
			return offset, err
		}
		raw := s.buf[offset-s.bufOffset:][:total]
		payload, ok := checkedPayload(raw)
		if !ok {
			return offset, s.damage(offset, "a record fails its checksum")
		}
		err = visit(scannedRecord{offset: offset, raw: raw, payload: payload})
		if err != nil && err != errStop {
			return offset, err
		}
		offset += int64(total)
		if err == errStop {
			return offset, nil
		}
	}
	return s.end, nil
}

// next reads the record at an offset into the buffer and returns its length, or 0 if the record is torn.
func (s *scanner) next(offset int64) (total int, err error) {
	left := s.end - offset
	if left < recordHeaderSize {
		return 0, s.cutShort(offset)
	}
	if err := s.fill(offset, recordHeaderSize); err != nil {
		return 0, err
	}
	n, ok := payloadLength(s.buf[offset-s.bufOffset:])
	if !ok {
		return 0, s.damage(offset, "a record's header fails its checksum")
	}
	total = recordHeaderSize + n
	if int64(total) > left {
		return 0, s.cutShort(offset)
	}
	return total, s.fill(offset, total)
}

// cutShort returns the error for an incomplete last record, nil if mayBeTorn.
func (s *scanner) cutShort(offset int64) error {
	if s.mayBeTorn {
		return nil
	}
	return s.damage(offset, fmt.Sprintf("cut short: the last %d bytes are not a complete record", s.end-offset))
}

func (s *scanner) damage(offset int64, reason string) error {
	return &DamageError{File: s.name, Offset: offset, Reason: reason}
}

// fill reads at least n bytes at an offset into the buffer, and more if the buffer has room.
func (s *scanner) fill(offset int64, n int) error {
	if offset >= s.bufOffset && offset+int64(n) <= s.bufOffset+int64(s.bufLength) {
		return nil
	}
	if len(s.buf) < n {
		s.buf = make([]byte, n)
	}
	want := int(min(int64(len(s.buf)), s.end-offset))
	got, err := s.file.ReadAt(s.buf[:want], offset)
	if got < n {
		if err == nil || errors.Is(err, io.EOF) {
			return s.damage(offset, "the file is shorter than it was")
		}
		return fmt.Errorf("%s: %w", s.name, err)
	}
	s.bufOffset, s.bufLength = offset, got
	return nil
}
