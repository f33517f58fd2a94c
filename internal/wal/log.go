// Package wal is the write-ahead log of a forwarder. It records accepted messages, their attempts and their final
// answers until the messages are done. The log is a sequence of append-only segment files. The oldest segment is freed
// by recording its pending entries again in the last one. Writes are not synced to disk, so the log survives a kill of
// its process but not a power failure of the machine.
package wal

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"
)

// ErrFull is the error for a record that does not fit in the log.
var ErrFull = errors.New("the write-ahead log is full")

// ErrLimitTooSmall is the error for a limit that leaves no space for messages.
var ErrLimitTooSmall = errors.New("the write-ahead log's limit is too small")

// MaxRecentlyDone is the number of messages that are done whose IDs are remembered when the log is opened.
const MaxRecentlyDone = 4096

// Log is a write-ahead log that is open for appending until Close. It is not safe for concurrent use.
type Log struct {
	dir      string
	limit    int64       // maximum size of the folder in bytes
	segments []segment   // oldest first; records are appended to the last
	active   segmentFile // the last segment's file; nil if none could be created yet
	entries  map[uint64]*Entry
	pending  int // total size of entries in bytes
	nextSeq  uint64
	buf      []byte   // the record being written
	lock     *os.File // nil where the folder cannot be locked

	// unrecorded has the entries that are done but whose end could not be recorded. It maps an entry's sequence number to
	// the number of the segment that holds its latest record. Freeing that segment removes the entry from the map.
	unrecorded map[uint64]int

	recentlyDone []string // see TakeRecentlyDone

	// DroppedRecords is the number of unreadable records that Open skipped.
	DroppedRecords int
}

// Open opens the log in dir and reads the pending entries. The size of the folder is limited to limit bytes. If another
// process holds the folder, Open waits up to 1 s for it, because a killed process may hold the lock a little longer.
// Open returns a LockedError, ErrLimitTooSmall or a file system error. A folder that cannot be written to is not an
// error, as each later record tries again to create a segment.
func Open(dir string, limit int64) (*Log, error) {
	return OpenWhenFree(context.Background(), dir, limit, minLockWait)
}

// OpenWhenFree is like Open, but takes the maximum time to wait for a folder that another process holds. A time below
// 1 s counts as 1 s. In an upgrade, the successor uses OpenWhenFree to wait for its predecessor to end. OpenWhenFree
// returns the error of ctx if ctx is done first.
func OpenWhenFree(ctx context.Context, dir string, limit int64, wait time.Duration) (*Log, error) {
	l := &Log{dir: dir, limit: limit, entries: map[uint64]*Entry{}, nextSeq: 1, unrecorded: map[uint64]int{}}
	if l.Capacity() <= 0 {
		return nil, fmt.Errorf("%w: %d bytes", ErrLimitTooSmall, limit)
	}
	var err error
	if l.lock, err = lockFolder(ctx, dir, max(wait, minLockWait)); err != nil {
		return nil, err
	}
	if err := l.recover(); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	_ = l.rotate() // if this fails, the next record tries again
	return l, nil
}

// segmentFile is the file of the segment that records are appended to.
type segmentFile interface {
	io.Writer
	io.Closer
	Truncate(size int64) error
}

// Close records the ends that could not be recorded before, closes the log's files and releases the folder.
func (l *Log) Close() error {
	var errs []error
	if l.active != nil {
		errs = append(errs, l.RetryDone())
		errs = append(errs, l.active.Close())
	}
	if l.lock != nil {
		errs = append(errs, l.lock.Close())
	}
	return errors.Join(errs...)
}

// Capacity returns the maximum total size of pending entries in bytes. It is half of the space that compaction does not
// need for itself, so that recording entries again always frees more space than it takes.
func (l *Log) Capacity() int { return int((l.limit - 3*l.compactionReserve()) / 2) }

// Used returns the disk space that the log's files take up, in bytes.
func (l *Log) Used() int64 {
	used := int64(0)
	if l.lock != nil {
		used = diskBlock
	}
	for _, s := range l.segments {
		used += diskSize(s.size)
	}
	return used
}

// Pending returns the entries that are not done, in the order of their sequence numbers. The entries belong to the log.
func (l *Log) Pending() []*Entry { return sortedEntries(l.entries) }

// Entry returns the pending entry with the given sequence number, or nil if there is none. It belongs to the log.
func (l *Log) Entry(seq uint64) *Entry { return l.entries[seq] }

// TakeRecentlyDone returns the IDs of the messages that earlier processes recorded as done, as far as the segments still
// have them, in the order in which they were done. There are at most MaxRecentlyDone. A second call returns none.
func (l *Log) TakeRecentlyDone() []string {
	ids := l.recentlyDone[max(0, len(l.recentlyDone)-MaxRecentlyDone):]
	l.recentlyDone = nil
	return ids
}

// Reserve ensures that sequence numbers assigned later are greater than seq.
func (l *Log) Reserve(seq uint64) { l.nextSeq = max(l.nextSeq, seq+1) }

// NextSeq assigns the next sequence number, for a message that is stored in the backlog store instead of the log.
func (l *Log) NextSeq() uint64 {
	l.nextSeq++
	return l.nextSeq - 1
}

func sortedEntries(entries map[uint64]*Entry) []*Entry {
	return slices.SortedFunc(maps.Values(entries), compareSeq)
}

func compareSeq(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) }
