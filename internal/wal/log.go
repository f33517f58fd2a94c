// Package wal is the write-ahead log of a forwarder: the messages that it has accepted, their attempts and final
// answers, until they are done. It is a sequence of segments, files that are only appended to; the oldest is freed by
// recording what is still pending in it anew. Writes are left to the kernel and not synced: the log outlives the end of
// its process by any signal, and does not outlive a machine's loss of power.
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

// ErrFull is the error for a record that the log has no space for.
var ErrFull = errors.New("the write-ahead log is full")

// ErrLimitTooSmall is the error for a limit that leaves no space for messages.
var ErrLimitTooSmall = errors.New("the write-ahead log's limit is too small")

// Log is a write-ahead log that is open for appending until Close. It is not safe for concurrent use.
type Log struct {
	dir      string
	limit    int64       // bytes in the folder
	segments []segment   // oldest first; the last is written to
	head     segmentFile // the last segment; nil if none could be made yet
	entries  map[uint64]*Entry
	pending  int // bytes of the entries
	nextSeq  uint64
	buf      []byte   // of the record that is being written
	lock     *os.File // nil where the folder cannot be locked

	// unrecorded are the numbers of entries that are done and whose end could not be recorded, with the segment that has
	// their latest record: with it they go.
	unrecorded map[uint64]int

	// DroppedRecords is the number of records that Open could not read.
	DroppedRecords int
}

// Open opens the log in dir and reads what is pending; limit bounds the bytes in the folder. It waits a moment for a
// folder that another process holds, as one that was killed may hold it a little longer. Errors: a LockedError,
// ErrLimitTooSmall, or one of the filesystem. A folder that cannot be written to is no error: each record tries again.
func Open(dir string, limit int64) (*Log, error) {
	return OpenWhenFree(context.Background(), dir, limit, minLockWait)
}

// OpenWhenFree is Open that waits longer, up to wait, for a folder that another process holds, as a process that
// replaces another does while the other ends. It returns the error of ctx if that ends first.
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
	_ = l.rotate() // a folder that cannot be written to now is tried again with each record
	return l, nil
}

// segmentFile is the file of a segment that is written to.
type segmentFile interface {
	io.Writer
	io.Closer
	Truncate(size int64) error
}

// Close closes the log's files and releases the folder.
func (l *Log) Close() error {
	var errs []error
	if l.head != nil {
		errs = append(errs, l.RetryDone())
		errs = append(errs, l.head.Close())
	}
	if l.lock != nil {
		errs = append(errs, l.lock.Close())
	}
	return errors.Join(errs...)
}

// Capacity is how many bytes of entries the log holds at most: half of the space beside what compaction needs, so that
// recording entries anew always frees more than it takes.
func (l *Log) Capacity() int { return int((l.limit - 3*l.reserve()) / 2) }

// Used is the space that the files of the log take on disk, in bytes.
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

// Pending are the entries that are not done, in the order of their numbers. They belong to the log.
func (l *Log) Pending() []*Entry { return sortedEntries(l.entries) }

// Entry is the pending entry of a number, nil if there is none. It belongs to the log.
func (l *Log) Entry(seq uint64) *Entry { return l.entries[seq] }

// Reserve makes sure that numbers given from now on are greater than seq.
func (l *Log) Reserve(seq uint64) { l.nextSeq = max(l.nextSeq, seq+1) }

// NextSeq gives the next number to a message that goes to the backlog store and not into the log.
func (l *Log) NextSeq() uint64 {
	l.nextSeq++
	return l.nextSeq - 1
}

func sortedEntries(entries map[uint64]*Entry) []*Entry {
	return slices.SortedFunc(maps.Values(entries), compareSeq)
}

func compareSeq(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) }
