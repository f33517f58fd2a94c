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
	offset  int64  // of its header
	raw     []byte // the whole record; valid until the next one
	payload []byte
}

// scanner reads the records of one segment in order.
type scanner struct {
	file      File
	name      string
	end       int64  // bytes of the file that count
	mayBeTorn bool   // a record cut short at the end is no damage: the segment is the last, or still written to
	buf       []byte // reused
	bufOffset int64  // offset of buf[0]
	bufLength int    // bytes in buf
}

// scan calls each for every record from an offset on and returns the offset behind the last whole one.
func (s *scanner) scan(from int64, each func(scannedRecord) error) (sound int64, err error) {
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
		err = each(scannedRecord{offset: offset, raw: raw, payload: payload})
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

// next reads the whole record at an offset into the buffer and returns its length, 0 if the segment's end is torn
// there.
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

func (s *scanner) cutShort(offset int64) error {
	if s.mayBeTorn {
		return nil
	}
	return s.damage(offset, fmt.Sprintf("cut short: %d bytes are no whole record", s.end-offset))
}

func (s *scanner) damage(offset int64, what string) error {
	return &DamageError{File: s.name, Offset: offset, Reason: what}
}

// fill reads at least n bytes from an offset on into the buffer, and as many more as it has room for.
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
			return s.damage(offset, "shorter than it was")
		}
		return fmt.Errorf("%s: %w", s.name, err)
	}
	s.bufOffset, s.bufLength = offset, got
	return nil
}
