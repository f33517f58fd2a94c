// Package backlog stores queued messages on disk while their destination is unavailable or far behind, so that they do
// not use memory. It has a queue for each lane (destination and tenant), and all lanes share append-only segments. In
// memory it keeps an index entry of fixed size for each message. Package backlog/policy decides when messages are
// stored and loaded. Mover moves messages between the write-ahead log and the store.
//
// No stored message is lost if the process is killed by a signal. Like the write-ahead log (internal/wal), the store
// does not sync its files but leaves it to the kernel to write them to disk, so a power failure may lose messages.
package backlog

import (
	"errors"
	"io"
	"path/filepath"
)

// Store is an open backlog store. It is not safe for concurrent use.
type Store struct {
	fs               FS
	dir              string
	bounds           Bounds
	lock             io.Closer  // nil if the store is read-only or closed
	segments         []*segment // oldest first
	active           File       // the last segment, open for writing; nil if the next write has to create one
	readers          []reader   // least recently used first
	lanes            map[Lane]*lane
	expiries         laneHeap
	ids              idSet // hashes of the clients' ids of stored messages
	keys             keyTable
	numbers          laneNumbers
	messages         int
	bytes            int64  // of live records
	lastSeq          uint64 // greatest message number known to be used
	compactedUpTo    int64  // offset in the oldest segment before which all records are copied or dead
	compactionBudget int64  // number of bytes that compaction may scan now
	ballast          bool   // the ballast file exists
	written          int64  // bytes written since Open
	scanner          scanner
	buf              []byte // for encoding records, reused
}

// Open opens the store in a folder and builds the index of the stored messages. It creates the folder if it does not
// exist. If a file cannot be read, it returns a DamageError or a VersionError and changes nothing. If another process
// has the store open, it returns a LockedError.
func Open(fs FS, dir string, bounds Bounds) (*Store, error) {
	bounds, err := bounds.withDefaults()
	if err != nil {
		return nil, err
	}
	if err := fs.MakeDir(dir); err != nil {
		return nil, err
	}
	lock, err := fs.Lock(filepath.Join(dir, lockFileName))
	if err != nil {
		return nil, err
	}
	s, err := load(fs, dir, bounds)
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	s.lock = lock
	if err := s.removeTornSegment(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	s.adoptBallast()
	s.makeBallast()
	return s, nil
}

// Close closes the files of the store and releases its lock. Stored messages stay on disk.
func (s *Store) Close() error {
	var errs []error
	for _, r := range s.readers {
		errs = append(errs, r.file.Close())
	}
	s.readers = nil
	if s.active != nil {
		errs = append(errs, s.active.Close())
		s.active = nil
	}
	if s.lock != nil {
		errs = append(errs, s.lock.Close())
		s.lock = nil
	}
	return errors.Join(errs...)
}

// SetBounds replaces the bounds. If a limit is lowered below what is stored, the stored messages stay and new ones are
// refused until there is room. An error names the invalid field.
func (s *Store) SetBounds(b Bounds) error {
	b, err := b.withDefaults()
	if err != nil {
		return err
	}
	segmentSizeChanged := b.SegmentBytes != s.bounds.SegmentBytes
	if segmentSizeChanged {
		s.releaseBallast()
		s.scanner.buf = nil
	}
	s.bounds = b
	s.closeReaders(b.OpenFiles)
	if segmentSizeChanged {
		s.makeBallast()
	}
	return nil
}

// Messages returns how many messages are stored.
func (s *Store) Messages() int { return s.messages }

// Bytes returns the size of the stored messages' records on disk, in bytes.
func (s *Store) Bytes() int64 { return s.bytes }

// LastSeq returns the greatest message number that the store knows to be used. New messages must get greater numbers.
func (s *Store) LastSeq() uint64 { return s.lastSeq }

// HasID reports whether a message with this client's id is stored. It compares 64-bit hashes, so it may rarely return
// true for an id that is not stored.
func (s *Store) HasID(id string) bool { return s.ids.has(hashID(id)) }

// KeyInOtherLane reports whether messages that keep the order of the given key are stored in another lane.
func (s *Store) KeyInOtherLane(key uint64, id Lane) bool {
	if key == 0 {
		return false
	}
	number := uint32(0) // no lane has this number
	if l := s.lanes[id]; l != nil {
		number = l.number
	}
	return s.keys.inOtherLane(hashKey(key), number)
}

// LaneMessages returns how many messages of a lane are stored.
func (s *Store) LaneMessages(id Lane) int {
	if l := s.lanes[id]; l != nil {
		return l.liveCount()
	}
	return 0
}

// Contains reports whether a message with this number is stored in the lane.
func (s *Store) Contains(id Lane, seq uint64) bool {
	l := s.lanes[id]
	return l != nil && l.find(seq) != nil
}
