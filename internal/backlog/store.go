// Package backlog keeps messages on disk that wait for a destination that is unavailable or far behind, so that they do
// not take memory: a queue for each lane (destination and tenant) over shared segments that are only appended to.
// Memory holds a fixed-size entry for each message, no text. Package backlog/policy decides when messages are stored
// and brought back; Mover moves messages between the write-ahead log and the store.
//
// A store survives the end of its process by any signal. Like the write-ahead log (internal/wal) it leaves writing to
// the disk to the kernel and does not sync: it does not survive a loss of power.
package backlog

import (
	"errors"
	"io"
	"path/filepath"
)

// Store is a backlog store that is open until Close. It is not safe for concurrent use.
type Store struct {
	fs               FS
	dir              string
	bounds           Bounds
	lock             io.Closer  // nil: read-only, or closed
	segments         []*segment // oldest first
	head             File       // the last segment, for writing; nil: the next write begins one
	readers          []reader   // the latest used last
	lanes            map[Lane]*lane
	expiries         laneHeap
	ids              idSet // hashes of the clients' ids of stored messages
	keys             keyTable
	numbers          laneNumbers
	messages         int
	bytes            int64 // of live records
	lastSeq          uint64
	compactedUpTo    int64 // in the oldest segment: what lies before it is copied or dead
	compactionBudget int64 // bytes that may be looked through to free segments
	ballast          bool
	written          int64 // bytes since the start
	scanner          scanner
	buf              []byte
}

// Open opens the store in a folder, which is made if it does not exist, and builds the index of what is stored. A
// DamageError or a VersionError names a file that cannot be read; nothing is altered then. A LockedError says that
// another process has the store open.
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
	if err := s.removeTornHead(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	s.adoptBallast()
	s.makeBallast()
	return s, nil
}

// Close closes the store's files and releases its lock. What is stored stays on disk.
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

// SetBounds replaces the bounds. Messages stored beyond lower bounds stay; new messages are refused until there is
// room. An error names the field that is wrong.
func (s *Store) SetBounds(b Bounds) error {
	b, err := b.withDefaults()
	if err != nil {
		return err
	}
	remake := b.SegmentBytes != s.bounds.SegmentBytes
	if remake {
		s.releaseBallast()
		s.scanner.buf = nil
	}
	s.bounds = b
	s.closeReaders(b.OpenFiles)
	if remake {
		s.makeBallast()
	}
	return nil
}

// Messages returns how many messages are stored.
func (s *Store) Messages() int { return s.messages }

// Bytes returns what the live records of stored messages take on disk.
func (s *Store) Bytes() int64 { return s.bytes }

// LastSeq returns the greatest number that the store knows to be used. Numbers assigned from now on must be greater.
func (s *Store) LastSeq() uint64 { return s.lastSeq }

// HasID reports whether a message with this client's id is stored. It compares hashes of 64 bits.
func (s *Store) HasID(id string) bool { return s.ids.has(hashID(id)) }

// KeyInOtherLane reports whether messages that keep the order of a key are stored in another lane than this one.
func (s *Store) KeyInOtherLane(key uint64, id Lane) bool {
	if key == 0 {
		return false
	}
	number := uint32(0) // of no lane
	if l := s.lanes[id]; l != nil {
		number = l.number
	}
	return s.keys.elsewhere(hashKey(key), number)
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
