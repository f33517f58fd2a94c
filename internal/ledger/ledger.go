// Package ledger keeps on disk what a forwarder owes: the documents that it has taken on, their transmissions and
// ends. It is a row of files that are only appended to; the oldest is freed by writing what it still owes anew.
package ledger

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	block     = 512      // a file counts in whole blocks
	parts     = 16       // the space is used in so many files
	mostEntry = 72 << 10 // the largest record
	overhead  = 104      // bytes that a document takes beside its body, mark and id
	header    = 9        // length, checksum, kind
	suffix    = ".ledger"
)

const (
	kindEntry  = iota + 1 // a document with all that is known of it
	kindOut               // a transmission is about to begin
	kindBack              // a transmission has ended, the document has not
	kindOver              // nothing more is owed
	kindAnswer            // the final answer is about to be told
)

// ErrFull says that the ledger holds as much as it may.
var ErrFull = errors.New("the ledger is full")

// Entry is a document that is owed its end; times are in microseconds of the wall clock, 0 for none.
type Entry struct {
	Seq     uint64 // the order of taking
	Key     uint64
	Dest    uint64
	Tenant  int
	Type    string
	ID      string
	Mark    string
	Expiry  int64
	Sent    int   // transmissions spent
	Ran     int64 // begin of the first transmission that may have run
	RanZone int
	Out     int64 // begin of the transmission that is out
	OutZone int
	Answer  Answer
	After   int // with Returned: milliseconds until the client may come again
	Body    []byte

	file int // number of the file with its record
}

// Answer is the final answer of a document that is not delivered.
type Answer uint8

const (
	None Answer = iota
	Returned
	Abandoned
)

// Size is what an entry takes of the ledger's room.
func (e *Entry) Size() int { return len(e.Body) + len(e.Mark) + len(e.ID) + len(e.Type) + overhead }

// Ledger is open until Close. It is not safe for use by several goroutines.
type Ledger struct {
	dir     string
	limit   int64
	files   []file // the last is written to
	head    *os.File
	entries map[uint64]*Entry
	live    int
	next    uint64
	Dropped int // records that could not be read at the start
	buf     []byte
}

type file struct {
	number int
	size   int64
}

func blocks(n int64) int64 { return (n + block - 1) / block * block }

// Open reads what is owed; limit bounds the bytes in the folder.
func Open(dir string, limit int64) (*Ledger, error) {
	l := &Ledger{dir: dir, limit: limit, entries: map[uint64]*Entry{}, next: 1}
	if l.Room() <= 0 {
		return nil, fmt.Errorf("a ledger of %d bytes is too small", limit)
	}
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, n := range names {
		var number int
		if base, ok := strings.CutSuffix(n.Name(), suffix); !ok || !n.Type().IsRegular() {
			continue
		} else if _, err := fmt.Sscanf(base, "%d", &number); err != nil {
			continue
		}
		l.files = append(l.files, file{number: number})
	}
	slices.SortFunc(l.files, func(a, b file) int { return cmp.Compare(a.number, b.number) })
	for i := range l.files {
		text, err := os.ReadFile(l.path(l.files[i].number))
		if err != nil {
			return nil, err
		}
		l.files[i].size = int64(len(text))
		l.replay(text, l.files[i].number)
	}
	for _, e := range l.entries {
		l.live += e.Size()
	}
	_ = l.rotate() // a folder that cannot be written to now is tried again with each record
	return l, nil
}

func (l *Ledger) path(number int) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08d%s", number, suffix))
}

// Room is how many bytes of entries the ledger holds at most: half of the space beside what compacting needs, so
// that writing anew always frees more than it takes.
func (l *Ledger) Room() int { return int((l.limit - 3*l.reserve()) / 2) }

func (l *Ledger) part() int64 { return l.limit / parts }

// reserve is the space for the file that is being freed to be written anew once more.
func (l *Ledger) reserve() int64 { return l.part() + mostEntry + 2*block }

// Owed is all that is owed, in the order of taking.
func (l *Ledger) Owed() []*Entry {
	return slices.SortedFunc(maps.Values(l.entries), func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
}

// Close ends the writing.
func (l *Ledger) Close() error {
	if l.head == nil {
		return nil
	}
	return l.head.Close()
}

// Used is the space that the files take.
func (l *Ledger) Used() int64 {
	n := int64(0)
	for _, f := range l.files {
		n += blocks(f.size)
	}
	return n
}

// Take records a document and gives it its number.
func (l *Ledger) Take(e *Entry) error {
	if l.live+e.Size() > l.Room() || e.Size() > mostEntry {
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

// Out records that a transmission is about to begin.
func (l *Ledger) Out(seq uint64, at int64, zone int) error {
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

// Back records that a transmission has ended without ending the document.
func (l *Ledger) Back(seq uint64, ran bool) error {
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

// Answer records the final answer, before it is told.
func (l *Ledger) Answer(seq uint64, a Answer, after int) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	e.Answer, e.After = a, after
	b := append(binary.LittleEndian.AppendUint64(l.begin(kindAnswer), seq), byte(a))
	return l.append(binary.LittleEndian.AppendUint32(b, uint32(after)))
}

// Over records that nothing more is owed for a document.
func (l *Ledger) Over(seq uint64) error {
	e := l.entries[seq]
	if e == nil {
		return nil
	}
	delete(l.entries, seq)
	l.live -= e.Size()
	return l.append(binary.LittleEndian.AppendUint64(l.begin(kindOver), seq))
}

func (e *Entry) sent(at int64, zone int) {
	e.Sent++
	e.Out, e.OutZone = at, zone
}

func (e *Entry) back(ran bool) {
	if ran && e.Ran == 0 {
		e.Ran, e.RanZone = e.Out, e.OutZone
	}
	e.Out, e.OutZone = 0, 0
}

func (l *Ledger) begin(kind byte) []byte {
	return append(l.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0, kind)
}

// write records an entry whole in the present file.
func (l *Ledger) write(e *Entry) error {
	if err := l.append(e.encode(l.begin(kindEntry))); err != nil {
		return err
	}
	e.file = l.files[len(l.files)-1].number
	return nil
}

// append closes a record and writes it, after making room.
func (l *Ledger) append(b []byte) error {
	l.buf = b
	binary.LittleEndian.PutUint32(b, uint32(len(b)-header))
	binary.LittleEndian.PutUint32(b[4:], crc32.ChecksumIEEE(b[8:]))
	if l.head == nil || l.files[len(l.files)-1].size >= l.part() {
		if err := l.rotate(); err != nil {
			return err
		}
		rec := slices.Clone(b)
		for range len(l.files) {
			if l.Used()+int64(len(rec))+2*l.reserve() <= l.limit {
				break
			}
			if err := l.free(); err != nil {
				return err
			}
		}
		b = rec
	}
	return l.put(b)
}

func (l *Ledger) put(b []byte) error {
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
func (l *Ledger) free() error {
	old := l.files[0]
	if len(l.files) == 1 {
		return ErrFull
	}
	for _, e := range l.Owed() {
		if e.file != old.number {
			continue
		}
		b := e.encode(l.begin(kindEntry))
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
		e.file = l.files[len(l.files)-1].number
	}
	if err := os.Remove(l.path(old.number)); err != nil {
		return err
	}
	l.files = l.files[1:]
	return nil
}

// rotate begins a new file.
func (l *Ledger) rotate() error {
	number := 1
	if n := len(l.files); n > 0 {
		number = l.files[n-1].number + 1
	}
	f, err := os.OpenFile(l.path(number), os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_EXCL, 0o600)
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
