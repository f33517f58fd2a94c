// Package backlog keeps messages on disk that wait for a destination that is out or far behind, so that they do not
// take memory: a queue for each lane (destination and tenant) over shared segments that are only appended to. DeduplicationWindow
// holds a fixed-size entry for each message, no text. Reason is stored when, and brought back when, is decided in package
// backlog/policy; how a message moves between the write-ahead log and the store is in move.go.
//
// A store outlives the end of its process by any signal. Like the write-ahead log (internal/write-ahead log) it leaves
// writing to the disk itself to the kernel: it does not outlive the machine's loss of power.
package backlog

import (
	"container/heap"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"syscall"
)

const (
	lockName      = "backlog.lock"
	ballastName   = "backlog.reserve"
	scanBuffer    = 64 << 10 // bytes read at once while segments are freed
	replayBuffer  = 1 << 20  // bytes read at once at the start
	minSegment    = 256 << 10
	maxSegment    = 16 << 20
	partsOfBound  = 64 // a segment is this part of the bound if no size is given
	leastSegments = 8  // that the bound must have room for
	reserved      = 2  // segments kept free so that segments can be freed
	openFiles     = 8  // segments open for reading at once if no number is given
	workFor       = 8  // bytes looked through, to free segments, for each byte written or released
)

// Bounds are what a store may take.
type Bounds struct {
	Bytes        int64 // on disk, all files counted
	SegmentBytes int64 // of one segment; 0: a 64th of Bytes, at least 256 KiB and at most 16 MiB
	OpenFiles    int   // segments open for reading at once, beside the one written to and the lock; 0: 8
}

// settle fills in what is not given. An error names the field.
func (b Bounds) settle() (Bounds, error) {
	if b.SegmentBytes == 0 {
		b.SegmentBytes = min(max(b.Bytes/partsOfBound, minSegment), maxSegment)
	}
	if b.OpenFiles == 0 {
		b.OpenFiles = openFiles
	}
	switch {
	case b.SegmentBytes < 2*segmentHeader || b.SegmentBytes > 1<<30:
		return b, fmt.Errorf("segment_bytes: %d is not between %d and %d", b.SegmentBytes, 2*segmentHeader, 1<<30)
	case b.Bytes < leastSegments*b.SegmentBytes:
		return b, fmt.Errorf("bytes: %d is less than %d segments of %d", b.Bytes, leastSegments, b.SegmentBytes)
	case b.OpenFiles < 1:
		return b, fmt.Errorf("open_files: %d is less than 1", b.OpenFiles)
	}
	return b, nil
}

// reserve is what is kept free of messages: the ballast, and room to free a segment.
func (b *Bounds) reserve() int64 { return (1 + reserved) * b.SegmentBytes }

// room is how many bytes of live records are stored at most: with less garbage than a quarter, freeing would copy too
// much for what it frees.
func (b *Bounds) room() int64 { return (b.Bytes - b.reserve()) / 4 * 3 }

// FullError says why a message was not stored. It is ErrFull.
type FullError struct {
	Bytes int64 // stored
	Bound int64 // for them
	Err   error // that of the disk; nil if the bound was reached
}

func (e *FullError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%v: %v", ErrFull, e.Err)
	}
	return fmt.Sprintf("%v: %d of %d bytes", ErrFull, e.Bytes, e.Bound)
}

// Is tells that the error is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Unwrap is the disk's error.
func (e *FullError) Unwrap() error { return e.Err }

func diskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

type segment struct {
	number uint32
	size   int64 // bytes that count
	excess int64 // bytes behind them that a failed write left
	live   int   // records of stored messages

	messages, releases int // records that a replay found
}

// Store is open until BlockUntil. It is not safe for use by several goroutines.
type Store struct {
	fs       FS
	dir      string
	bounds   Bounds
	lock     io.Closer  // nil: for reading alone, or closed
	segments []*segment // oldest first
	head     File       // the last segment, for writing; nil: the next write begins one
	readers  []reader   // the latest used last
	lanes    map[Lane]*lane
	expiries laneHeap
	ids      idSet // hashes of the clients' ids of stored messages
	keys     keyTable
	numbers  laneNumbers
	messages int
	bytes    int64 // of live records
	lastSeq  uint64
	cursor   int64 // in the oldest segment: what lies before it is copied or dead
	credit   int64 // bytes that may be looked through to free segments
	ballast  bool
	written  int64 // bytes since the start
	scanner  scanner
	buf      []byte
}

type reader struct {
	number uint32
	file   File
}

// Open reads what is stored in a folder, which is made if it is not there. A DamageError or a VersionError names a file
// that cannot be read; nothing is altered then. A LockedError says that another process has the folder.
func Open(fs FS, dir string, bounds Bounds) (*Store, error) {
	bounds, err := bounds.settle()
	if err != nil {
		return nil, err
	}
	if err := fs.MakeDir(dir); err != nil {
		return nil, err
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, err
	}
	s, err := load(fs, dir, bounds)
	if err != nil {
		lock.Close()
		return nil, err
	}
	s.lock = lock
	if err := s.removeTornHead(); err != nil {
		s.Close()
		return nil, err
	}
	s.findBallast()
	s.makeBallast()
	return s, nil
}

// BlockUntil ends the use of the store. It stays as it is on disk.
func (s *Store) Close() error {
	var errs []error
	for _, r := range s.readers {
		errs = append(errs, r.file.Close())
	}
	s.readers = nil
	if s.head != nil {
		errs = append(errs, s.head.Close())
		s.head = nil
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
		s.lock = nil
	}
	return errors.Join(errs...)
}

// SetBounds alters the bounds. Reason is stored beyond lower ones stays; new messages are refused until there is room.
func (s *Store) SetBounds(b Bounds) error {
	b, err := b.settle()
	if err != nil {
		return err
	}
	remake := b.SegmentBytes != s.bounds.SegmentBytes
	if remake {
		s.dropBallast()
		s.scanner.buf = nil
	}
	s.bounds = b
	s.closeReaders(b.OpenFiles)
	if remake {
		s.makeBallast()
	}
	return nil
}

// Messages is how many are stored.
func (s *Store) Messages() int { return s.messages }

// Bytes is what the stored messages take, without what is dead already.
func (s *Store) Bytes() int64 { return s.bytes }

// LastSeq is the greatest number that the store knows to be used. Numbers given from now on must be greater.
func (s *Store) LastSeq() uint64 { return s.lastSeq }

// Has tells if a message with this client's id is stored. It goes by a hash of 64 bits.
func (s *Store) Has(id string) bool { return s.ids.has(hashID(id)) }

// KeyElsewhere tells if messages that keep the order of a key are stored in another lane than this one.
func (s *Store) KeyElsewhere(key uint64, id Lane) bool {
	if key == 0 {
		return false
	}
	number := uint32(0) // of no lane
	if l := s.lanes[id]; l != nil {
		number = l.number
	}
	return s.keys.elsewhere(hashKey(key), number)
}

// Stored tells how many messages of a lane are stored.
func (s *Store) Stored(id Lane) int {
	if l := s.lanes[id]; l != nil {
		return l.live()
	}
	return 0
}

// Contains tells if a message with this number is stored in the lane.
func (s *Store) Contains(id Lane, seq uint64) bool {
	l := s.lanes[id]
	return l != nil && l.find(seq) != nil
}

// Append stores a message: behind the newest of its lane or, if it was taken before all of them, before the oldest.
// With an error nothing is stored: ErrFull (with room again once others have left), ErrStored, ErrOrder, ErrTooLarge,
// ErrClosed, or one of the filesystem.
func (s *Store) Append(m *Message) error {
	if s.lock == nil {
		return ErrClosed
	}
	if !m.fits() {
		return ErrTooLarge
	}
	l := s.lanes[m.Lane]
	if l != nil {
		if err := l.accepts(m.Seq); err != nil {
			return err
		}
	}
	s.buf = beginRecord(s.buf[:0], kindMessage)
	s.buf = m.encode(s.buf)
	endRecord(s.buf, 0)
	size := len(s.buf)
	if err := s.makeRoom(int64(size)); err != nil {
		return err
	}
	where, offset, err := s.write(s.buf)
	if err != nil {
		if diskFull(err) {
			return &FullError{Bytes: s.bytes, Bound: s.bounds.room(), Err: err}
		}
		return err
	}
	s.add(l, m, where, entry{seq: m.Seq, expiry: m.Expiry, segment: where.number, offset: offset, packed: pack(size, m.State(), m.keepsOrder())})
	s.freeSegments(int64(size))
	return nil
}

// accepts tells what stands against a message with this number.
func (l *lane) accepts(seq uint64) error {
	switch {
	case seq > l.last().seq || seq < l.first().seq:
		return nil
	case l.find(seq) != nil:
		return ErrStored
	}
	return ErrOrder
}

// add takes a message into the index.
func (s *Store) add(l *lane, m *Message, where *segment, e entry) {
	fresh := l == nil
	if fresh {
		l = s.newLane(m.Lane)
	}
	var ordinal uint32
	if l.empty() || m.Seq > l.last().seq {
		ordinal = l.pushBack(e)
	} else {
		ordinal = l.pushFront(e)
	}
	l.heapPush(ordinal)
	if fresh {
		heap.Push(&s.expiries, l)
	} else {
		heap.Fix(&s.expiries, l.heapAt)
	}
	where.live++
	s.count(l, &e, 1)
	s.ids.add(hashID(m.ID))
	if e.keepsOrder() {
		s.keys.add(hashKey(m.Key), l.number)
	}
	s.lastSeq = max(s.lastSeq, m.Seq)
}

// newLane makes a lane that nothing is stored of yet.
func (s *Store) newLane(id Lane) *lane {
	l := &lane{id: id, number: s.numbers.take()}
	s.lanes[id] = l
	return l
}

// removeLane lets go of a lane of which nothing is stored any more.
func (s *Store) removeLane(l *lane) {
	s.numbers.giveBack(l.number)
	delete(s.lanes, l.id)
}

// count adds an entry to the sums, or with -1 takes it off.
func (s *Store) count(l *lane, e *entry, sign int) {
	s.messages += sign
	s.bytes += int64(sign) * e.size()
	l.bytes += int64(sign) * e.size()
	l.states[e.state()] += sign
}

// ReleaseEndpoint lets go of messages that are in the write-ahead log again or over. Those that are not stored are passed over.
// With an error none is released.
func (s *Store) Release(refs []Ref) error {
	if s.lock == nil {
		return ErrClosed
	}
	b := s.buf[:0]
	var held []Ref
	for i := 0; i < len(refs); {
		lane, from := refs[i].Lane, len(held)
		for ; i < len(refs) && refs[i].Lane == lane && len(held)-from < maxReleased; i++ {
			if s.Contains(lane, refs[i].Seq) {
				held = append(held, refs[i])
			}
		}
		if len(held) > from {
			b = encodeRelease(b, lane, held[from:])
		}
	}
	if len(held) == 0 {
		return nil
	}
	s.buf = b
	if _, _, err := s.writeEssential(b); err != nil {
		return err
	}
	s.freeSegments(s.drop(held))
	return nil
}

// drop takes released messages out of the index and gives the bytes that they took.
func (s *Store) drop(refs []Ref) (bytes int64) {
	for _, r := range refs {
		l := s.lanes[r.Lane]
		if l == nil {
			continue
		}
		e := l.find(r.Seq)
		if e == nil {
			continue
		}
		bytes += e.size()
		s.segment(e.segment).live--
		s.count(l, e, -1)
		s.ids.remove(r.idHash)
		if e.keepsOrder() {
			s.keys.remove(r.keyHash, l.number)
		}
		l.heapRemove(e)
		if l.live() == 0 {
			heap.Remove(&s.expiries, l.heapAt)
			s.removeLane(l)
			continue
		}
		l.trim()
		heap.Fix(&s.expiries, l.heapAt)
	}
	return bytes
}

// Head reads the first n messages of a lane, in the order of taking. They stay stored until ReleaseEndpoint.
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

// NextExpiry is when the next stored message's time is over, in microseconds of the wall clock; ok is false if none is
// stored.
func (s *Store) NextExpiry() (at int64, ok bool) {
	if len(s.expiries) == 0 {
		return 0, false
	}
	return s.expiries[0].next().expiry, true
}

// Expired reads up to n messages whose time is over at a moment, in the order of expiry. They stay stored until ReleaseEndpoint.
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

// read reads a message from its segment.
func (s *Store) read(id Lane, e *entry) (*Message, error) {
	file, err := s.reader(e.segment)
	if err != nil {
		return nil, err
	}
	name := segmentName(s.dir, e.segment)
	b := make([]byte, e.size())
	if n, err := file.ReadAt(b, int64(e.offset)); n < len(b) {
		if err == nil || errors.Is(err, io.EOF) {
			return nil, &DamageError{File: name, Offset: int64(e.offset), Reason: "shorter than it was"}
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	length, sound := payloadLength(b)
	payload, whole := soundPayload(b)
	if !sound || !whole || length != len(payload) || payload[0] != kindMessage {
		return nil, &DamageError{File: name, Offset: int64(e.offset), Reason: "a record fails its checksum"}
	}
	m, ok := decodeMessage(payload[1:])
	if !ok || m.Lane != id || m.Seq != e.seq {
		return nil, &DamageError{File: name, Offset: int64(e.offset), Reason: "not the message that was stored there"}
	}
	return m, nil
}

// reader gives a segment open for reading.
func (s *Store) reader(number uint32) (File, error) {
	if s.head != nil && s.segments[len(s.segments)-1].number == number {
		return s.head, nil
	}
	last := len(s.readers) - 1
	for i := last; i >= 0; i-- {
		if r := s.readers[i]; r.number == number {
			copy(s.readers[i:], s.readers[i+1:])
			s.readers[last] = r
			return r.file, nil
		}
	}
	s.closeReaders(s.bounds.OpenFiles - 1)
	file, err := s.fs.Open(segmentName(s.dir, number))
	if err != nil {
		return nil, err
	}
	s.readers = append(s.readers, reader{number, file})
	return file, nil
}

// closeReaders closes the longest unused files until so many are left.
func (s *Store) closeReaders(left int) {
	for len(s.readers) > left {
		s.readers[0].file.Close()
		s.readers = append(s.readers[:0], s.readers[1:]...)
	}
}

// segment finds a segment by its number.
func (s *Store) segment(number uint32) *segment { return s.segments[number-s.segments[0].number] }
