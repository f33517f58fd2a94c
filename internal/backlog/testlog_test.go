package backlog

import (
	"encoding/binary"
	"io"
)

const (
	testDir         = "backlog"
	testLogName     = "log/log"
	kindTestPending = 200
	kindTestDone    = 201
)

// testLog is a minimal write-ahead log, on the same filesystem as the store.
type testLog struct {
	fs      *memFS
	file    File
	size    int64
	torn    bool // a failed write may have left bytes at the end
	pending map[uint64]*Message
}

func openTestLog(files *memFS) (*testLog, error) {
	l := &testLog{fs: files, pending: map[uint64]*Message{}}
	if _, has := files.files[testLogName]; !has {
		f, err := files.Create(testLogName)
		l.file = f
		return l, err
	}
	f, err := files.Open(testLogName)
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	scan := scanner{file: f, name: testLogName, end: size, mayBeTorn: true, buf: make([]byte, 1<<12)}
	l.size, err = scan.scan(0, func(r scannedRecord) error {
		if r.payload[0] == kindTestPending {
			m, _ := decodeMessage(r.payload[1:])
			l.pending[m.Seq] = m
		} else {
			delete(l.pending, binary.LittleEndian.Uint64(r.payload[1:]))
		}
		return nil
	})
	if err == nil && l.size < size {
		err = f.Truncate(l.size)
	}
	l.file = f
	return l, err
}

func (l *testLog) write(b []byte) error {
	endRecord(b, 0)
	if l.torn {
		if err := l.file.Truncate(l.size); err != nil {
			return err
		}
		l.torn = false
	}
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		l.torn = l.file.Truncate(l.size) != nil
		return err
	}
	l.size += int64(n)
	return nil
}

func (l *testLog) Restore(m *Message) error {
	if err := l.write(m.encode(beginRecord(nil, kindTestPending))); err != nil {
		return err
	}
	l.pending[m.Seq] = m
	return nil
}

func (l *testLog) Forget(seq uint64) error {
	if err := l.write(binary.LittleEndian.AppendUint64(beginRecord(nil, kindTestDone), seq)); err != nil {
		return err
	}
	delete(l.pending, seq)
	return nil
}
