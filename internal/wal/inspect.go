package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
)

// View is what a folder holds, read without altering it or hindering the process that holds it.
type View struct {
	Dir            string
	HolderPID      int // the process that holds it, 0 if none
	Files          []FileView
	Pending        []*Entry // in the order of acceptance
	DamagedRecords []DamagedRecord
	Bytes          int64 // that the files take on disk
}

// FileView describes one file.
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

// The reasons in a DamagedRecord, as commands print them.
const (
	reasonChecksum = "a record fails its checksum"
	reasonNoRecord = "what follows is no record"
	reasonTorn     = "a torn end"
	reasonForm     = "a record of a wrong form"
	reasonKind     = "a record of the unknown kind %d"
)

// String says what is wrong where.
func (d DamagedRecord) String() string {
	return fmt.Sprintf("%08d%s: byte %d: %s, %d bytes", d.File, segmentSuffix, d.Offset, d.Reason, d.Bytes)
}

// Damaged reports whether anything is wrong beyond torn ends.
func (v *View) Damaged() bool {
	return slices.ContainsFunc(v.DamagedRecords, func(d DamagedRecord) bool { return !d.Torn })
}

// kindNames are the kinds of records as commands print them.
var kindNames = [...]string{
	kindEntry:             "document",
	kindAttempt:           "transmission",
	kindAttemptEnd:        "end",
	kindDone:              "over",
	kindAnswer:            "answer",
	kindEntryWithFrontend: "document with front",
}

const maxInspections = 20 // files may be freed while they are read

// ErrFreedWhileRead is the error of Inspect if files are freed faster than they can be read.
var ErrFreedWhileRead = errors.New("files are freed faster than they can be read")

// Inspect reads a folder, in use or not. If a file was freed before it was read it begins anew, as what was pending in
// it has been recorded in later ones.
func Inspect(dir string) (*View, error) {
	for range maxInspections {
		v, err := inspectOnce(dir)
		if !errors.Is(err, fs.ErrNotExist) {
			return v, err
		}
		if _, err := os.Stat(dir); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%s: %w", dir, ErrFreedWhileRead)
}

func inspectOnce(dir string) (*View, error) {
	numbers, err := segmentNumbers(dir)
	if err != nil {
		return nil, err
	}
	v := &View{Dir: dir, HolderPID: LockHolder(dir)}
	l := &Log{dir: dir, entries: map[uint64]*Entry{}, nextSeq: 1}
	for i, number := range numbers {
		text, err := os.ReadFile(segmentPath(dir, number))
		if err != nil {
			return nil, err
		}
		file := inspection{log: l, number: number, last: i == len(numbers)-1, records: map[string]int{}}
		file.read(text)
		size := int64(len(text))
		v.Bytes += diskSize(size)
		v.Files = append(v.Files, FileView{Number: number, Bytes: size, Records: file.records})
		v.DamagedRecords = append(v.DamagedRecords, file.damaged...)
	}
	v.Pending = l.Pending()
	for _, e := range v.Pending {
		i := slices.IndexFunc(v.Files, func(f FileView) bool { return f.Number == e.segment })
		v.Files[i].Pending++
	}
	return v, nil
}

// inspection is what is found in one file.
type inspection struct {
	log     *Log // takes the records
	number  int
	last    bool // of the folder's files: it may be written to
	records map[string]int
	damaged []DamagedRecord
}

// read applies the file's records as replay does and notes what is wrong with any.
func (f *inspection) read(text []byte) {
	for rest := text; len(rest) > 0; {
		offset := len(text) - len(rest)
		kind, payload, after, ok := cutRecord(rest)
		if ok {
			f.apply(kind, payload, offset)
			rest = after
			continue
		}
		if _, _, _, follows := cutRecord(after); !follows {
			f.noteEnd(rest, offset)
			return
		}
		f.note(DamagedRecord{Offset: int64(offset), Bytes: int64(len(rest) - len(after)), Reason: reasonChecksum})
		rest = after
	}
}

// noteEnd notes that no record can be found in the rest of the file.
func (f *inspection) noteEnd(rest []byte, offset int) {
	d := DamagedRecord{Offset: int64(offset), Bytes: int64(len(rest)), Reason: reasonNoRecord}
	if f.last || !containsRecord(rest[1:]) {
		d.Torn, d.Reason = true, reasonTorn
	}
	f.note(d)
}

// apply applies a record whose checksum is right.
func (f *inspection) apply(kind byte, payload []byte, offset int) {
	d := DamagedRecord{Offset: int64(offset), Bytes: int64(len(payload))}
	if int(kind) >= len(kindNames) || kindNames[kind] == "" {
		d.Reason = fmt.Sprintf(reasonKind, kind)
		f.note(d)
		return
	}
	f.records[kindNames[kind]]++
	dropped := f.log.DroppedRecords
	f.log.apply(kind, payload, f.number)
	if f.log.DroppedRecords > dropped {
		d.Reason = reasonForm
		f.note(d)
	}
}

func (f *inspection) note(d DamagedRecord) {
	d.File = f.number
	f.damaged = append(f.damaged, d)
}

// containsRecord reports whether a whole record lies anywhere in b: then what comes before it is damage, not a torn
// end.
func containsRecord(b []byte) bool {
	for i := range min(len(b), maxPayload+frameHeader) {
		if _, payload, _, ok := cutRecord(b[i:]); ok && len(payload) > 0 {
			return true
		}
	}
	return false
}
