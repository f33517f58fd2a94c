// Package resp parses RESP2 commands (arrays of bulk strings) incrementally and formats replies. It does no I/O.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	// MaxArgs limits the number of a command's arguments, including its name.
	MaxArgs = 16
	// MaxBytes limits the size of a command, including its framing.
	MaxBytes = 64<<10 + 4096

	maxLengthLine = 20 // bytes of a line with a length, including its type byte
	crlfBytes     = 2
)

// ErrFraming means that the received bytes are not a command. The rest of the connection's data cannot be parsed.
var ErrFraming = errors.New("not an array of bulk strings")

// ErrSize means that a command has more than MaxArgs arguments or exceeds MaxBytes.
var ErrSize = errors.New("command over the limit")

// Reader parses commands. It keeps an incomplete command between two calls of Feed. The zero value is ready for use.
type Reader struct{ unfinished []byte }

// Feed calls handle for each complete command. The arguments are slices of data or of the reader's buffer and are valid
// until handle returns. Feed returns ErrFraming, ErrSize or the error of handle. After an error the reader must not be
// used again.
func (r *Reader) Feed(data []byte, handle func(args [][]byte) error) error {
	kept := len(r.unfinished) > 0
	if kept {
		r.unfinished = append(r.unfinished, data...)
		data = r.unfinished
	}
	var array [MaxArgs][]byte
	for len(data) > 0 {
		args, n, err := parseCommand(data, array[:0])
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		if err := handle(args); err != nil {
			return err
		}
		data = data[n:]
	}
	switch {
	case len(data) == 0:
		r.unfinished = nil
	case kept:
		r.unfinished = r.unfinished[:copy(r.unfinished, data)]
	default:
		r.unfinished = bytes.Clone(data)
	}
	return nil
}

// Buffered returns the number of bytes kept of an incomplete command.
func (r *Reader) Buffered() int { return len(r.unfinished) }

// parseCommand appends the arguments of one command to args. It also returns the command's length in bytes, or 0 if the
// command is incomplete.
func parseCommand(b []byte, args [][]byte) ([][]byte, int, error) {
	count, at, err := parseLength(b, 0, '*')
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
		size, next, err := parseLength(b, at, '$')
		if err != nil || next == 0 {
			return nil, 0, err
		}
		if size < 0 {
			return nil, 0, ErrFraming
		}
		if next+size+crlfBytes > MaxBytes {
			return nil, 0, ErrSize
		}
		if len(b) < next+size+crlfBytes {
			return nil, 0, nil
		}
		if b[next+size] != '\r' || b[next+size+1] != '\n' {
			return nil, 0, ErrFraming
		}
		args = append(args, b[next:next+size])
		at = next + size + crlfBytes
	}
	return args, at, nil
}

// parseLength parses a type byte, a number and a line ending, starting at b[at]. next is the index after them, or 0 if
// they are incomplete.
func parseLength(b []byte, at int, typeByte byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != typeByte {
		return 0, 0, ErrFraming
	}
	line := b[at+1 : min(len(b), at+maxLengthLine)]
	end := bytes.IndexByte(line, '\n')
	if end < 0 {
		if len(line) >= maxLengthLine-1 {
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
