package wal

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
)

// View is what a folder holds, read without altering it or hindering the process that has it.
type View struct {
	Dir            string
	HolderPID      int // the process that has it, 0 if none
	Files          []FileView
	Pending        []*Entry // in the order of taking
	DamagedRecords []DamagedRecord
	Bytes          int64 // that the files take on disk
}

// FileView tells of one file.
type FileView struct {
	Number  int            `json:"number"`
	Bytes   int64          `json:"bytes"`
	Records map[string]int `json:"records"` // by kind
	Pending int            `json:"owed"`    // entries whose latest whole record is here
}

// DamagedRecord is a place that cannot be read.
type DamagedRecord struct {
	File   int    `json:"file"`
	Offset int64  `json:"at"`    // bytes from the file's begin
	Bytes  int64  `json:"bytes"` // that cannot be read from there on
	Reason string `json:"what"`
	Torn   bool   `json:"torn"` // the end of a file that was being written when its process ended, or is still: no damage
}

func (f DamagedRecord) String() string {
	return fmt.Sprintf("%08d%s: byte %d: %s, %d bytes", f.File, suffix, f.Offset, f.Reason, f.Bytes)
}

// Damaged tells if anything is wrong beyond torn ends.
func (v *View) Damaged() bool {
	return slices.ContainsFunc(v.DamagedRecords, func(f DamagedRecord) bool { return !f.Torn })
}

var kindNames = [...]string{kindEntry: "document", kindOut: "transmission", kindBack: "end", kindOver: "over",
	kindAnswer: "answer", kindFrom: "document with front"}

const mostLooks = 20 // files may be freed while they are read

// Inspect reads a folder, in use or not. If a file was freed before it was read it begins anew, as what it owed has been
// written to later ones.
func Inspect(dir string) (*View, error) {
	for range mostLooks {
		v, err := look(dir)
		if !errors.Is(err, fs.ErrNotExist) {
			return v, err
		}
		if _, err := os.Stat(dir); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%s: files are freed faster than they can be read", dir)
}

func look(dir string) (*View, error) {
	all, err := numbers(dir)
	if err != nil {
		return nil, err
	}
	v := &View{Dir: dir, HolderPID: LockHolder(dir)}
	l := &Log{dir: dir, entries: map[uint64]*Entry{}, next: 1}
	for i, n := range all {
		text, err := os.ReadFile(path(dir, n))
		if err != nil {
			return nil, err
		}
		f := FileView{Number: n, Bytes: int64(len(text)), Records: map[string]int{}}
		v.Bytes += blocks(f.Bytes)
		v.read(l, &f, text, i == len(all)-1)
		v.Files = append(v.Files, f)
	}
	v.Pending = slices.SortedFunc(maps.Values(l.entries), func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, e := range v.Pending {
		i := slices.IndexFunc(v.Files, func(f FileView) bool { return f.Number == e.file })
		v.Files[i].Pending++
	}
	return v, nil
}

// read applies a file's records as replay does and notes each fault.
func (v *View) read(l *Log, f *FileView, text []byte, last bool) {
	for rest := text; len(rest) > 0; {
		at := int64(len(text) - len(rest))
		kind, body, after, ok := record(rest)
		if !ok {
			fault := DamagedRecord{File: f.Number, Offset: at, Bytes: int64(len(rest) - len(after)), Reason: "a record fails its checksum"}
			_, _, _, follows := record(after)
			if !follows {
				fault.Bytes, fault.Reason = int64(len(rest)), "what follows is no record"
				if last || !anyRecord(rest[1:]) {
					fault.Torn, fault.Reason = true, "a torn end"
				}
				v.DamagedRecords = append(v.DamagedRecords, fault)
				return
			}
			v.DamagedRecords = append(v.DamagedRecords, fault)
			rest = after
			continue
		}
		if dropped := l.DroppedRecords; int(kind) < len(kindNames) && kindNames[kind] != "" {
			f.Records[kindNames[kind]]++
			if l.apply(kind, body, f.Number); l.DroppedRecords > dropped {
				v.DamagedRecords = append(v.DamagedRecords, DamagedRecord{File: f.Number, Offset: at, Bytes: int64(len(body)), Reason: "a record of a wrong form"})
			}
		} else {
			v.DamagedRecords = append(v.DamagedRecords, DamagedRecord{File: f.Number, Offset: at, Bytes: int64(len(body)),
				Reason: fmt.Sprintf("a record of the unknown kind %d", kind)})
		}
		rest = after
	}
}

// anyRecord tells if a whole record lies anywhere in b: then what comes before it is damage, not a torn end.
func anyRecord(b []byte) bool {
	for i := range min(len(b), mostEntry+header) {
		if _, body, _, ok := record(b[i:]); ok && len(body) > 0 {
			return true
		}
	}
	return false
}

// Filter picks entries; empty fields pick all.
type Filter struct {
	ID          string
	Destination *uint64
	Tenant      *int
	Key         *uint64
	Frontend    *string
	Type        string
	OlderThan   int64 // microseconds of the wall clock: expiry before it
	State       string
}

// Matches tells if an entry passes.
func (f *Filter) Matches(e *Entry) bool {
	return (f.ID == "" || e.ID == f.ID) && (f.Destination == nil || e.Destination == *f.Destination) && (f.Tenant == nil || e.Tenant == *f.Tenant) &&
		(f.Key == nil || e.Key == *f.Key) && (f.Frontend == nil || e.Frontend == *f.Frontend) && (f.Type == "" || e.Type == f.Type) &&
		(f.OlderThan == 0 || e.Expiry < f.OlderThan) && (f.State == "" || strings.EqualFold(e.State(), f.State))
}

// State is what an entry waits for, in a word.
func (e *Entry) State() string {
	switch {
	case e.Answer == Rejected:
		return "returned"
	case e.Answer == Failed:
		return "abandoned"
	case e.AttemptBegan > 0:
		return "out"
	case e.FirstRanAt > 0:
		return "may-have-run"
	case e.Attempts > 0:
		return "tried"
	}
	return "held"
}

// States are the words of State.
func States() []string {
	return []string{"held", "tried", "out", "may-have-run", "returned", "abandoned"}
}
