// Package wal keeps on disk what a forwarder owes: the messages that it has taken on, their attempts and
// ends. It is a row of files that are only appended to; the oldest is freed by writing what it still owes anew.
package wal

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	block     = 512      // a file counts in whole blocks
	parts     = 16       // the space is used in so many files
	mostEntry = 72 << 10 // the largest record
	overhead  = 104      // bytes that a message takes beside its body, mark and id
	header    = 9        // length, checksum, kind
	mostFront = 64       // bytes of a frontend's name
	suffix    = ".ledger"
)

const (
	kindEntry  = iota + 1 // a message with all that is known of it
	kindOut               // an attempt is about to begin
	kindBack              // an attempt has ended, the message has not
	kindOver              // nothing more is owed
	kindAnswer            // the final answer is about to be told
	kindFrom              // as kindEntry, with the frontend by which it came before it
)

// ErrFull says that the log holds as much as it may.
var ErrFull = errors.New("the ledger is full")

// Entry is a message that is owed its end; times are in microseconds of the wall clock, 0 for none.
type Entry struct {
	Seq            uint64 // the order of taking
	Key            uint64
	Destination    uint64
	Tenant         int
	Type           string
	ID             string
	IdempotencyKey string
	Expiry         int64
	Attempts       int   // attempts spent
	FirstRanAt     int64 // begin of the first attempt that may have run
	FirstRanZone   int
	AttemptBegan   int64 // begin of the attempt that is out
	AttemptZone    int
	Answer         Answer
	RetryAfter     int // with Rejected: milliseconds until the client may come again
	Body           []byte
	Frontend       string // by which it came; empty for the platform's own
	CallerWaits    bool   // its caller waited for the final answer

	file int // number of the file with its record
}

// RecordAnswer is the final answer of a message that is not delivered.
type Answer uint8

const (
	NoAnswer Answer = iota
	Rejected
	Failed
)

// Size is what an entry takes of the log's room.
func (e *Entry) Size() int {
	n := len(e.Body) + len(e.IdempotencyKey) + len(e.ID) + len(e.Type) + overhead
	if e.from() {
		n += 2 + len(e.Frontend)
	}
	return n
}

// from tells that an entry's record says by which frontend it came.
func (e *Entry) from() bool { return e.Frontend != "" || e.CallerWaits }

// Log is open until BlockUntil. It is not safe for use by several goroutines.
type Log struct {
	dir            string
	limit          int64
	files          []file // the last is written to
	head           *os.File
	entries        map[uint64]*Entry
	live           int
	next           uint64
	DroppedRecords int // records that could not be read at the start
	buf            []byte
	lock           *os.File // nil where the folder cannot be locked
}

type file struct {
	number   int
	size     int64
	recorded []uint64 // numbers of the entries recorded in it, some of them over or recorded anew since
}

func blocks(n int64) int64 { return (n + block - 1) / block * block }

// Open reads what is owed; limit bounds the bytes in the folder. A folder that another process has is waited for a
// moment, as one that was killed may still hold it.
func Open(dir string, limit int64) (*Log, error) {
	return OpenWhenFree(context.Background(), dir, limit, dyingFor)
}

// OpenWhenFree is Open that waits up to so long for a folder that another process has, as a process that replaces
// another does while the other ends. It waits no longer than ctx stands.
func OpenWhenFree(ctx context.Context, dir string, limit int64, wait time.Duration) (*Log, error) {
	l := &Log{dir: dir, limit: limit, entries: map[uint64]*Entry{}, next: 1}
	if l.Capacity() <= 0 {
		return nil, fmt.Errorf("a ledger of %d bytes is too small", limit)
	}
	var err error
	if l.lock, err = own(ctx, dir, max(wait, dyingFor)); err != nil {
		return nil, err
	}
	numbers, err := numbers(dir)
	if err != nil {
		l.Close()
		return nil, err
	}
	for _, n := range numbers {
		l.files = append(l.files, file{number: n})
	}
	for i := range l.files {
		text, err := os.ReadFile(path(dir, l.files[i].number))
		if err != nil {
			l.Close()
			return nil, err
		}
		l.files[i].size = int64(len(text))
		l.replay(text, l.files[i].number)
	}
	for _, e := range l.entries {
		l.live += e.Size()
		if i, found := slices.BinarySearchFunc(l.files, e.file, func(f file, number int) int { return f.number - number }); found {
			l.recordedIn(&l.files[i], e)
		}
	}
	_ = l.rotate() // a folder that cannot be written to now is tried again with each record
	return l, nil
}

// numbers are those of a folder's files, in order.
func numbers(dir string) ([]int, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var numbers []int
	for _, n := range names {
		var number int
		if base, ok := strings.CutSuffix(n.Name(), suffix); !ok || !n.Type().IsRegular() {
			continue
		} else if _, err := fmt.Sscanf(base, "%d", &number); err != nil {
			continue
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func path(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("%08d%s", number, suffix))
}

// QueueCapacity is how many bytes of entries the log holds at most: half of the space beside what compacting needs, so
// that writing anew always frees more than it takes.
func (l *Log) Capacity() int { return int((l.limit - 3*l.reserve()) / 2) }

func (l *Log) part() int64 { return l.limit / parts }

// reserve is the space for the file that is being freed to be written anew once more.
func (l *Log) reserve() int64 { return l.part() + mostEntry + 2*block }

// Pending is all that is owed, in the order of taking.
func (l *Log) Pending() []*Entry {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
}

// BlockUntil ends the writing.
func (l *Log) Close() error {
	if l.lock != nil {
		defer l.lock.Close()
	}
	if l.head == nil {
		return nil
	}
	return l.head.Close()
}

// Used is the space that the files take.
func (l *Log) Used() int64 {
	n := int64(0)
	if l.lock != nil {
		n = block
	}
	for _, f := range l.files {
		n += blocks(f.size)
	}
	return n
}

// Accept records a message and gives it its number.
func (l *Log) Append(e *Entry) error {
	if l.live+e.Size() > l.Capacity() || e.Size() > mostEntry || len(e.Frontend) > mostFront {
		return ErrFull
	}
	e.Seq = l.next
	if err := l.write(e); err != nil {
		return err
	}
	l.next++
	l.entries[e.Seq] = e
	l.live += e.Size()
	return nil
}

// Restore records an entry that has a number already, with its history: one that comes back from the backlog store. It
// may be recorded; the latest record counts. Next numbers are greater.
func (l *Log) Restore(e *Entry) error {
	before := 0
	if old := l.entries[e.Seq]; old != nil {
		before = old.Size()
	}
	if l.live-before+e.Size() > l.Capacity() || e.Size() > mostEntry || len(e.Frontend) > mostFront {
		return ErrFull
	}
	if err := l.write(e); err != nil {
		return err
	}
	l.entries[e.Seq] = e
	l.live += e.Size() - before
	l.Reserve(e.Seq)
	return nil
}

// Reserve makes sure that numbers given from now on are greater than one.
func (l *Log) Reserve(seq uint64) { l.next = max(l.next, seq+1) }

// NextSeq gives the next number to a message that goes to the backlog store and not here.
func (l *Log) NextSeq() uint64 {
	l.next++
	return l.next - 1
}

// Entry is what is recorded for a number, nil if nothing is owed for it.
func (l *Log) Entry(seq uint64) *Entry { return l.entries[seq] }

// RecordAttempt records that an attempt is about to begin.
func (l *Log) RecordAttempt(seq uint64, at int64, zone int) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	b := binary.LittleEndian.AppendUint64(l.begin(kindOut), seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(at))
	if err := l.append(binary.LittleEndian.AppendUint32(b, uint32(zone))); err != nil {
		return err
	}
	e.sent(at, zone)
	return nil
}

// RecordAttemptEnd records that an attempt has ended without ending the message.
func (l *Log) RecordAttemptEnd(seq uint64, ran bool) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	e.back(ran)
	b := binary.LittleEndian.AppendUint64(l.begin(kindBack), seq)
	if ran {
		return l.append(append(b, 1))
	}
	return l.append(append(b, 0))
}

// RecordAnswer records the final answer, before it is told.
func (l *Log) RecordAnswer(seq uint64, a Answer, after int) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	e.Answer, e.RetryAfter = a, after
	b := append(binary.LittleEndian.AppendUint64(l.begin(kindAnswer), seq), byte(a))
	return l.append(binary.LittleEndian.AppendUint32(b, uint32(after)))
}

// Finished records that nothing more is owed for a message.
func (l *Log) RecordDone(seq uint64) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	delete(l.entries, seq)
	l.live -= e.Size()
	return l.append(binary.LittleEndian.AppendUint64(l.begin(kindOver), seq))
}

func (e *Entry) sent(at int64, zone int) {
	e.Attempts++
	e.AttemptBegan, e.AttemptZone = at, zone
}

func (e *Entry) back(ran bool) {
	if ran && e.FirstRanAt == 0 {
		e.FirstRanAt, e.FirstRanZone = e.AttemptBegan, e.AttemptZone
	}
	e.AttemptBegan, e.AttemptZone = 0, 0
}

func (l *Log) begin(kind byte) []byte {
	return append(l.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0, kind)
}

// whole begins the record of an entry.
func (l *Log) whole(e *Entry) []byte {
	if !e.from() {
		return e.encode(l.begin(kindEntry))
	}
	held := byte(0)
	if e.CallerWaits {
		held = 1
	}
	b := append(l.begin(kindFrom), held, byte(len(e.Frontend)))
	return e.encode(append(b, e.Frontend...))
}

// write records an entry whole in the present file.
func (l *Log) write(e *Entry) error {
	if err := l.append(l.whole(e)); err != nil {
		return err
	}
	l.recordedIn(&l.files[len(l.files)-1], e)
	return nil
}

// recordedIn notes that an entry's latest record is in a file.
func (l *Log) recordedIn(f *file, e *Entry) {
	e.file = f.number
	f.recorded = append(f.recorded, e.Seq)
}

// owedBy is what is owed of the entries recorded in a file, in the order of taking.
func (l *Log) owedBy(f *file) []*Entry {
	var owed []*Entry
	for _, seq := range f.recorded {
		if e := l.entries[seq]; e != nil && e.file == f.number {
			owed = append(owed, e)
		}
	}
	slices.SortFunc(owed, func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return slices.Compact(owed)
}

// append closes a record and writes it, after making room.
func (l *Log) append(b []byte) error {
	l.buf = b
	binary.LittleEndian.PutUint32(b, uint32(len(b)-header))
	binary.LittleEndian.PutUint32(b[4:], crc32.ChecksumIEEE(b[8:]))
	if l.head == nil || l.files[len(l.files)-1].size >= l.part() {
		if err := l.rotate(); err != nil {
			return err
		}
		rec := slices.Clone(b)
		if err := l.makeRoom(len(rec), 2*l.reserve()); err != nil {
			return err
		}
		b = rec
	} else if l.Used()+int64(len(b))+l.reserve() > l.limit { // filled by the files of processes that wrote little
		rec := slices.Clone(b)
		_ = l.makeRoom(len(rec), l.reserve()) // put tells if there is none
		b = rec
	}
	return l.put(b)
}

// makeRoom frees the oldest files until a record of so many bytes has room, and so much is left beside it.
func (l *Log) makeRoom(record int, left int64) error {
	for range len(l.files) {
		if l.Used()+int64(record)+left <= l.limit {
			return nil
		}
		if err := l.free(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) put(b []byte) error {
	f := &l.files[len(l.files)-1]
	if blocks(f.size+int64(len(b)))-blocks(f.size)+l.Used() > l.limit {
		return ErrFull
	}
	n, err := l.head.Write(b)
	if err != nil {
		if n > 0 && l.head.Truncate(f.size) != nil {
			f.size += int64(n) // the torn record stays; what follows goes to a new file
			_ = l.rotate()
		}
		return err
	}
	f.size += int64(n)
	return nil
}

// free writes what the oldest file still owes anew and removes it. A process killed in between leaves records
// twice, which says the same.
func (l *Log) free() error {
	old := l.files[0]
	if len(l.files) == 1 {
		return ErrFull
	}
	for _, e := range l.owedBy(&old) {
		b := l.whole(e)
		l.buf = b
		binary.LittleEndian.PutUint32(b, uint32(len(b)-header))
		binary.LittleEndian.PutUint32(b[4:], crc32.ChecksumIEEE(b[8:]))
		if l.files[len(l.files)-1].size >= l.part() {
			if err := l.rotate(); err != nil {
				return err
			}
		}
		if err := l.put(b); err != nil {
			return err
		}
		l.recordedIn(&l.files[len(l.files)-1], e)
	}
	if err := os.Remove(path(l.dir, old.number)); err != nil {
		return err
	}
	l.files = l.files[1:]
	return nil
}

// rotate begins a new file.
func (l *Log) rotate() error {
	number := 1
	if n := len(l.files); n > 0 {
		number = l.files[n-1].number + 1
	}
	f, err := os.OpenFile(path(l.dir, number), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if l.head != nil {
		l.head.Close()
	}
	l.head = f
	l.files = append(l.files, file{number: number})
	return nil
}
