package backlog

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"slices"
)

const replayBufferSize = 1 << 20 // bytes per read while a store is opened

// load reads the segments of a folder and builds the index. It does not change the files.
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

// openedSegment is a segment that is open for replay.
type openedSegment struct {
	file   File
	name   string
	size   int64
	header *header // nil if it is torn, because the process was killed while it created the segment
}

// openSegment opens a segment and reads its header. A torn header is damage unless the segment is the last one.
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
		return &DamageError{File: o.name, Reason: "the header is incomplete"}
	}
	b := make([]byte, segmentHeaderSize)
	if n, err := o.file.ReadAt(b, 0); n < len(b) {
		return fmt.Errorf("%s: the header cannot be read: %w", o.name, err)
	}
	o.header, err = decodeHeader(o.name, number, b)
	return err
}

// replayAll replays all segments in order. The header of each segment has the number of valid bytes of the one before.
func (s *Store) replayAll(numbers []uint32) error {
	var buf []byte
	var current *openedSegment
	defer func() {
		if current != nil {
			_ = current.file.Close() // opened only for reading, so errors do not matter
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
			_ = current.file.Close() // opened only for reading, so errors do not matter
		}
		current = next
	}
	if current != nil && current.header != nil {
		return s.replaySegment(current, nil, &buf)
	}
	return nil
}

// replaySegment replays the records of a segment. next is the header of the following segment, nil if there is none.
func (s *Store) replaySegment(o *openedSegment, next *header, buf *[]byte) error {
	s.lastSeq = max(s.lastSeq, o.header.lastSeq)
	g := &segment{number: o.header.number, size: o.size}
	if next != nil {
		if g.size = int64(next.previous); g.size > o.size || g.size < segmentHeaderSize {
			reason := fmt.Sprintf("the file has %d bytes, but the next segment expects %d", o.size, g.size)
			return &DamageError{File: o.name, Offset: o.size, Reason: reason}
		}
	}
	s.segments = append(s.segments, g)
	if want := min(replayBufferSize, g.size); int64(len(*buf)) < want {
		*buf = make([]byte, want)
	}
	scan := scanner{file: o.file, name: o.name, end: g.size, mayBeTorn: next == nil, buf: *buf}
	validEnd, err := scan.scan(segmentHeaderSize, func(r scannedRecord) error { return s.replayRecord(g, o.name, r) })
	g.size, g.excess, *buf = validEnd, o.size-validEnd, scan.buf
	return err
}

func (s *Store) replayRecord(g *segment, name string, r scannedRecord) error {
	switch r.payload[0] {
	case kindMessage:
		f, ok := decodeMessageFixed(r.payload[1:])
		if !ok {
			return &DamageError{File: name, Offset: r.offset, Reason: "a malformed message record"}
		}
		g.messages++
		s.replayMessage(g, &f, r)
	case kindRelease:
		refs, ok := decodeRelease(r.payload)
		if !ok {
			return &DamageError{File: name, Offset: r.offset, Reason: "a malformed release record"}
		}
		g.releases++
		for _, ref := range refs {
			s.replayRelease(ref)
		}
	default:
		reason := fmt.Sprintf("a record of unknown kind %d", r.payload[0])
		return &DamageError{File: name, Offset: r.offset, Reason: reason}
	}
	return nil
}

// replayMessage adds a message to the index. If the index has the message already, the record is a copy made by
// compaction, and the entry is changed to refer to it.
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
		heapPos: 1,
	}
	newest := l.empty() || f.seq > l.last().seq
	if !newest {
		if old := l.find(f.seq); old != nil {
			*old = e
			return
		}
	}
	_, known := l.outOfOrder[f.seq]
	if !known && e.keepsOrder() {
		s.keys.add(hashKey(f.key), l.number)
	}
	switch {
	case newest && !known:
		l.pushBack(e)
	case l.outOfOrder == nil:
		l.outOfOrder = map[uint64]entry{f.seq: e}
	default:
		l.outOfOrder[f.seq] = e
	}
}

func (s *Store) replayRelease(ref Ref) {
	l := s.lanes[ref.Lane]
	if l == nil {
		return
	}
	e := l.find(ref.Seq)
	outOfOrderEntry, isOutOfOrder := l.outOfOrder[ref.Seq]
	if e == nil && !isOutOfOrder {
		return
	}
	s.ids.remove(ref.idHash)
	if e != nil && e.keepsOrder() || isOutOfOrder && outOfOrderEntry.keepsOrder() {
		s.keys.remove(ref.keyHash, l.number)
	}
	delete(l.outOfOrder, ref.Seq)
	if e != nil {
		e.heapPos = 0
		l.trimEnds()
	}
	if l.empty() && len(l.outOfOrder) == 0 {
		s.removeLane(l)
	}
}

// finishReplay builds the heaps and the totals after all records are replayed.
func (s *Store) finishReplay() {
	for _, l := range s.lanes {
		extra := slices.SortedFunc(maps.Values(l.outOfOrder), func(a, b entry) int { return cmp.Compare(a.seq, b.seq) })
		l.outOfOrder = nil
		l.rebuild(extra)
		for ordinal := l.begin; ordinal != l.end; ordinal++ {
			e := l.at(ordinal)
			s.segment(e.segment).live++
			s.addToSums(l, e, 1)
		}
		l.heapIndex = len(s.expiries)
		s.expiries = append(s.expiries, l)
	}
	heap.Init(&s.expiries)
}

// removeTornSegment removes the last segment if its header is torn, as it has no records then.
func (s *Store) removeTornSegment() error {
	numbers, err := listSegments(s.fs, s.dir)
	if err != nil || len(numbers) == len(s.segments) {
		return err
	}
	return s.fs.Remove(segmentName(s.dir, numbers[len(numbers)-1]))
}
