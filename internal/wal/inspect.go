package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
)

// View describes the contents of a folder. Reading them neither changes the folder nor disturbs the process that holds
// it.
type View struct {
	Dir            string
	HolderPID      int // pid of the process that holds the folder, 0 if none
	Files          []FileView
	Pending        []*Entry // in the order of acceptance
	DamagedRecords []DamagedRecord
	Bytes          int64 // disk space of the files
}

// FileView describes one segment file.
type FileView struct {
	Number  int            `json:"number"`
	Bytes   int64          `json:"bytes"`
	Records map[string]int `json:"records"` // number of records by kind
	Pending int            `json:"owed"`    // number of pending entries whose latest full record is in this file
}

// DamagedRecord is a part of a file that cannot be read.
type DamagedRecord struct {
	File   int    `json:"file"`
	Offset int64  `json:"at"`    // in bytes from the start of the file
	Bytes  int64  `json:"bytes"` // number of unreadable bytes from there
	Reason string `json:"what"`
	Torn   bool   `json:"torn"` // an incomplete write at the end by a killed or running process, not damage
}

// The reasons in a DamagedRecord, as commands print them.
const (
	reasonChecksum    = "a record fails its checksum"
	reasonNoRecord    = "not a valid record"
	reasonTorn        = "a torn end"
	reasonMalformed   = "a malformed record"
	reasonUnknownKind = "a record of unknown kind %d"
)

// String returns the file, the offset, the reason and the number of bytes as one line.
func (d DamagedRecord) String() string {
	return fmt.Sprintf("%08d%s: byte %d: %s, %d bytes", d.File, segmentSuffix, d.Offset, d.Reason, d.Bytes)
}

// Damaged reports whether there is any damage apart from torn ends.
func (v *View) Damaged() bool {
	return slices.ContainsFunc(v.DamagedRecords, func(d DamagedRecord) bool { return !d.Torn })
}

// kindNames are the names of the kinds of records as commands print them.
var kindNames = [...]string{
	kindEntry:             "document",
	kindAttempt:           "transmission",
	kindAttemptEnd:        "end",
	kindDone:              "over",
	kindAnswer:            "answer",
	kindEntryWithFrontend: "document with front",
}

const maxInspections = 20 // maximum number of attempts, as files may be freed while they are read

// ErrFreedWhileRead is returned by Inspect if files are freed faster than it can read them.
var ErrFreedWhileRead = errors.New("files are freed faster than they can be read")

// Inspect reads a folder, which may be in use. If a file is freed before it is read, Inspect starts again, as the
// file's pending entries have been recorded again in later files.
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

// inspection collects the results for one file.
type inspection struct {
	log     *Log // receives the records
	number  int
	last    bool // whether this is the folder's last file, which a process may be writing
	records map[string]int
	damaged []DamagedRecord
}

// read applies the file's records as replay does and reports the damaged ones.
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
			f.addUnreadableEnd(rest, offset)
			return
		}
		f.addDamage(DamagedRecord{Offset: int64(offset), Bytes: int64(len(rest) - len(after)), Reason: reasonChecksum})
		rest = after
	}
}

// addUnreadableEnd reports that no record can be found in the rest of the file.
func (f *inspection) addUnreadableEnd(rest []byte, offset int) {
	d := DamagedRecord{Offset: int64(offset), Bytes: int64(len(rest)), Reason: reasonNoRecord}
	if f.last || !containsRecord(rest[1:]) {
		d.Torn, d.Reason = true, reasonTorn
	}
	f.addDamage(d)
}

// apply applies a record whose checksum is valid.
func (f *inspection) apply(kind byte, payload []byte, offset int) {
	d := DamagedRecord{Offset: int64(offset), Bytes: int64(len(payload))}
	if int(kind) >= len(kindNames) || kindNames[kind] == "" {
		d.Reason = fmt.Sprintf(reasonUnknownKind, kind)
		f.addDamage(d)
		return
	}
	f.records[kindNames[kind]]++
	dropped := f.log.DroppedRecords
	f.log.apply(kind, payload, f.number)
	if f.log.DroppedRecords > dropped {
		d.Reason = reasonMalformed
		f.addDamage(d)
	}
}

func (f *inspection) addDamage(d DamagedRecord) {
	d.File = f.number
	f.damaged = append(f.damaged, d)
}

// containsRecord reports whether there is a complete record anywhere in b. If so, the unreadable bytes before it are
// damage and not a torn end.
func containsRecord(b []byte) bool {
	for i := range min(len(b), maxPayload+frameHeader) {
		if _, payload, _, ok := cutRecord(b[i:]); ok && len(payload) > 0 {
			return true
		}
	}
	return false
}
