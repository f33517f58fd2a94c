// Package resp reads RESP2 commands, arrays of bulk strings, piece by piece, and writes answers. It knows no sockets.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	MaxArgs   = 16
	MaxBytes  = 64<<10 + 4096 // one command with all its framing
	mostDigit = 20
)

// ErrFraming says that what came is no command: the connection cannot be understood from there on.
var ErrFraming = errors.New("not an array of bulk strings")

// ErrSize says that an array or a bulk string is over the limit.
var ErrSize = errors.New("command over the limit")

// Reader holds what is left of an unfinished command between two feeds.
type Reader struct{ rest []byte }

// Feed calls each for every command that is complete. The arguments are slices of data, or of what was kept of an
// earlier feed; they are good until each returns. RetryAfter an error the reader is of no more use.
func (r *Reader) Feed(data []byte, each func(args [][]byte) error) error {
	kept := len(r.rest) > 0
	if kept {
		r.rest = append(r.rest, data...)
		data = r.rest
	}
	var room [MaxArgs][]byte
	for len(data) > 0 {
		args, n, err := command(data, room[:0])
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		if err := each(args); err != nil {
			return err
		}
		data = data[n:]
	}
	switch {
	case len(data) == 0:
		r.rest = nil
	case kept:
		r.rest = r.rest[:copy(r.rest, data)]
	default:
		r.rest = bytes.Clone(data)
	}
	return nil
}

// ResultRetryAfter tells how many bytes of an unfinished command are kept.
func (r *Reader) Waiting() int { return len(r.rest) }

// command reads one command; n is 0 while it is not complete.
func command(b []byte, args [][]byte) ([][]byte, int, error) {
	count, at, err := number(b, 0, '*')
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if count > MaxArgs {
		return nil, 0, ErrSize
	}
	if count < 1 {
		return nil, 0, ErrFraming
	}
	for range count {
		size, next, err := number(b, at, '$')
		if err != nil || next == 0 {
			return nil, 0, err
		}
		if size < 0 {
			return nil, 0, ErrFraming
		}
		if next+size+2 > MaxBytes {
			return nil, 0, ErrSize
		}
		if len(b) < next+size+2 {
			return nil, 0, nil
		}
		if b[next+size] != '\r' || b[next+size+1] != '\n' {
			return nil, 0, ErrFraming
		}
		args = append(args, b[next:next+size])
		at = next + size + 2
	}
	return args, at, nil
}

// number reads a mark, a number and a line's end; next is 0 while they are not complete.
func number(b []byte, at int, mark byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != mark {
		return 0, 0, ErrFraming
	}
	line := b[at+1 : min(len(b), at+mostDigit)]
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		if len(line) >= mostDigit-1 {
			return 0, 0, ErrFraming
		}
		return 0, 0, nil
	}
	if end < 2 || line[end-1] != '\r' {
		return 0, 0, ErrFraming
	}
	n, err = strconv.Atoi(string(line[:end-1]))
	if err != nil || n < -1 {
		return 0, 0, ErrFraming
	}
	return n, at + 1 + end + 1, nil
}

// SimpleString and ErrorReply are a simple string and an error as they go over the wire.
func SimpleString(text string) []byte { return []byte("+" + text + "\r\n") }
func ErrorReply(text string) []byte   { return []byte("-" + text + "\r\n") }

// StatusOverloaded is a refusal; ms is when to come again, 0 if that is not told.
func BusyReply(ms int) []byte {
	if ms <= 0 {
		return ErrorReply("BUSY")
	}
	return ErrorReply("BUSY " + strconv.Itoa(ms))
}
