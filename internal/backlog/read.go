package backlog

import (
	"errors"
	"fmt"
	"io"
)

// Head reads the first n messages of a lane, ordered by number. They stay stored until they are released.
func (s *Store) Head(id Lane, n int) ([]*Message, error) {
	l := s.lanes[id]
	if l == nil {
		return nil, nil
	}
	var ms []*Message
	for ordinal := l.begin; ordinal != l.end && len(ms) < n; ordinal++ {
		e := l.at(ordinal)
		if !e.live() {
			continue
		}
		m, err := s.read(id, e)
		if err != nil {
			return ms, err
		}
		ms = append(ms, m)
	}
	return ms, nil
}

// NextExpiry returns the earliest expiry of a stored message, in microseconds of the wall clock. ok is false if the
// store is empty.
func (s *Store) NextExpiry() (at int64, ok bool) {
	if len(s.expiries) == 0 {
		return 0, false
	}
	return s.expiries[0].earliest().expiry, true
}

// Expired reads up to n messages that expire at or before now, in the order of expiry. They stay stored until they are
// released.
func (s *Store) Expired(now int64, n int) ([]*Message, error) {
	var ms []*Message
	walk := expiryWalk{}
	walk.addLane(s.expiries, 0, now)
	for len(ms) < n && len(walk.nodes) > 0 {
		node := walk.pop(s.expiries, now)
		m, err := s.read(node.lane.id, node.entry())
		if err != nil {
			return ms, err
		}
		ms = append(ms, m)
	}
	return ms, nil
}

// read reads a message from its segment. It returns a DamageError if the record is not the one that was written.
func (s *Store) read(id Lane, e *entry) (*Message, error) {
	file, err := s.reader(e.segment)
	if err != nil {
		return nil, err
	}
	name := segmentName(s.dir, e.segment)
	b := make([]byte, e.size())
	if n, err := file.ReadAt(b, int64(e.offset)); n < len(b) {
		if err == nil || errors.Is(err, io.EOF) {
			return nil, &DamageError{File: name, Offset: int64(e.offset), Reason: "the file is shorter than it was"}
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	length, headerValid := payloadLength(b)
	payload, payloadValid := checkedPayload(b)
	if !headerValid || !payloadValid || length != len(payload) || payload[0] != kindMessage {
		return nil, &DamageError{File: name, Offset: int64(e.offset), Reason: "a record fails its checksum"}
	}
	m, ok := decodeMessage(payload[1:])
	if !ok || m.Lane != id || m.Seq != e.seq {
		return nil, &DamageError{File: name, Offset: int64(e.offset), Reason: "the record is not the one that was stored"}
	}
	return m, nil
}
