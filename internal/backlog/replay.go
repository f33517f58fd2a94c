package backlog

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"slices"
)

const replayBufferSize = 1 << 20 // bytes read at once at the start

// load reads the segments of a folder without altering anything.
func load(fs FS, dir string, bounds Bounds) (*Store, error) {
	s := &Store{fs: fs, dir: dir, bounds: bounds, lanes: map[Lane]*lane{}}
	numbers, err := listSegments(fs, dir)
	if err != nil {
		return nil, err
	}
	if err := s.replayAll(numbers); err != nil {
		return nil, err
	}
	s.finishReplay()
	return s, nil
}

// openedSegment is a segment's file at the start.
type openedSegment struct {
	file   File
	name   string
	size   int64
	header *header // nil: cut short, as the process was killed while it created the segment
}

// openSegment opens a segment and reads its header. A cut header is no damage in the last segment.
func openSegment(fs FS, dir string, number uint32, last bool) (*openedSegment, error) {
	o := &openedSegment{name: segmentName(dir, number)}
	var err error
	if o.file, err = fs.Open(o.name); err != nil {
		return nil, err
	}
	if err := o.readHeader(number, last); err != nil {
		return nil, errors.Join(err, o.file.Close())
	}
	return o, nil
}

func (o *openedSegment) readHeader(number uint32, last bool) (err error) {
	if o.size, err = o.file.Size(); err != nil {
		return fmt.Errorf("%s: %w", o.name, err)
	}
	if o.size < segmentHeaderSize {
		if last {
			return nil
		}
		return &DamageError{File: o.name, Reason: "the header is cut short"}
	}
	b := make([]byte, segmentHeaderSize)
	if n, err := o.file.ReadAt(b, 0); n < len(b) {
		return fmt.Errorf("%s: the header cannot be read: %w", o.name, err)
	}
	o.header, err = decodeHeader(o.name, number, b)
	return err
}

// replayAll applies all segments in order. The header of each says how many bytes of the one before count.
func (s *Store) replayAll(numbers []uint32) error {
	var buf []byte
	var current *openedSegment
	defer func() {
		if current != nil {
			_ = current.file.Close() // it was only read
		}
	}()
	for i, number := range numbers {
		next, err := openSegment(s.fs, s.dir, number, i == len(numbers)-1)
		if err != nil {
			return err
		}
		if current != nil {
			if err := s.replaySegment(current, next.header, &buf); err != nil {
				return errors.Join(err, next.file.Close())
			}
			_ = current.file.Close() // it was only read
		}
		current = next
	}
	if current != nil && current.header != nil {
		return s.replaySegment(current, nil, &buf)
	}
	return nil
}

// replaySegment applies a segment's records; next is the header of the one behind it, nil if there is none.
func (s *Store) replaySegment(o *openedSegment, next *header, buf *[]byte) error {
	s.lastSeq = max(s.lastSeq, o.header.lastSeq)
	g := &segment{number: o.header.number, size: o.size}
	if next != nil {
		if g.size = int64(next.previous); g.size > o.size || g.size < segmentHeaderSize {
			reason := fmt.Sprintf("%d bytes long, the next segment says %d", o.size, g.size)
			return &DamageError{File: o.name, Offset: o.size, Reason: reason}
		}
	}
	s.segments = append(s.segments, g)
	if want := min(replayBufferSize, g.size); int64(len(*buf)) < want {
		*buf = make([]byte, want)
	}
	scan := scanner{file: o.file, name: o.name, end: g.size, mayBeTorn: next == nil, buf: *buf}
	sound, err := scan.scan(segmentHeaderSize, func(r scannedRecord) error { return s.replayRecord(g, o.name, r) })
	g.size, g.excess, *buf = sound, o.size-sound, scan.buf
	return err
}

func (s *Store) replayRecord(g *segment, name string, r scannedRecord) error {
	switch r.payload[0] {
	case kindMessage:
		f, ok := decodeMessageFixed(r.payload[1:])
		if !ok {
			return &DamageError{File: name, Offset: r.offset, Reason: "a message of a wrong form"}
		}
		g.messages++
		s.replayMessage(g, &f, r)
	case kindRelease:
		refs, ok := decodeRelease(r.payload)
		if !ok {
			return &DamageError{File: name, Offset: r.offset, Reason: "a release of a wrong form"}
		}
		g.releases++
		for _, ref := range refs {
			s.replayRelease(ref)
		}
	default:
		reason := fmt.Sprintf("a record of the unknown kind %d", r.payload[0])
		return &DamageError{File: name, Offset: r.offset, Reason: reason}
	}
	return nil
}

// replayMessage adds a message. If it is known, the record is a copy, which counts from then on.
func (s *Store) replayMessage(g *segment, f *messageFixed, r scannedRecord) {
	id := Lane{f.destination, f.tenant}
	l := s.lanes[id]
	if l == nil {
		l = s.newLane(id)
	}
	s.ids.add(hashID(recordID(r.payload[1:], f)))
	s.lastSeq = max(s.lastSeq, f.seq)
	e := entry{
		seq:     f.seq,
		expiry:  f.expiry,
		segment: g.number,
		offset:  uint32(r.offset),
		packed:  pack(len(r.raw), f.state(), f.keepsOrder()),
		heapAt:  1,
	}
	newest := l.empty() || f.seq > l.last().seq
	if !newest {
		if old := l.find(f.seq); old != nil {
			*old = e
			return
		}
	}
	_, late := l.late[f.seq]
	if !late && e.keepsOrder() {
		s.keys.add(hashKey(f.key), l.number)
	}
	switch {
	case newest && !late:
		l.pushBack(e)
	case l.late == nil:
		l.late = map[uint64]entry{f.seq: e}
	default:
		l.late[f.seq] = e
	}
}

func (s *Store) replayRelease(ref Ref) {
	l := s.lanes[ref.Lane]
	if l == nil {
		return
	}
	e := l.find(ref.Seq)
	lateEntry, late := l.late[ref.Seq]
	if e == nil && !late {
		return
	}
	s.ids.remove(ref.idHash)
	if e != nil && e.keepsOrder() || late && lateEntry.keepsOrder() {
		s.keys.remove(ref.keyHash, l.number)
	}
	delete(l.late, ref.Seq)
	if e != nil {
		e.heapAt = 0
		l.trimEnds()
	}
	if l.empty() && len(l.late) == 0 {
		s.removeLane(l)
	}
}

// finishReplay builds the heaps and the totals.
func (s *Store) finishReplay() {
	for _, l := range s.lanes {
		late := slices.SortedFunc(maps.Values(l.late), func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
		l.late = nil
		l.rebuild(late)
		for ordinal := l.begin; ordinal != l.end; ordinal++ {
			e := l.at(ordinal)
			s.segment(e.segment).live++
			s.addToSums(l, e, 1)
		}
		l.heapAt = len(s.expiries)
		s.expiries = append(s.expiries, l)
	}
	heap.Init(&s.expiries)
}

// removeTornHead removes a segment whose header was cut short by a kill: it holds nothing.
func (s *Store) removeTornHead() error {
	numbers, err := listSegments(s.fs, s.dir)
	if err != nil || len(numbers) == len(s.segments) {
		return err
	}
	return s.fs.Remove(segmentName(s.dir, numbers[len(numbers)-1]))
}
