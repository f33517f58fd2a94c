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

// ErrPause is returned by a handler to end Feed after its command. The reader keeps the rest of the data, and a later
// call of Feed, also with no data, continues with it.
var ErrPause = errors.New("pause")

// Reader parses commands. Between two calls of Feed it keeps the data that was not handled: an incomplete command, and
// after a pause also complete ones. The zero value is ready for use.
type Reader struct {
	unhandled []byte
	missing   int // bytes that the first command in unhandled lacks at least; 0 if that is not known
}

// Feed calls handle for each complete command. The arguments are slices of data or of the reader's buffer and are valid
// until handle returns. Feed returns ErrFraming, ErrSize or the error of handle. After an error other than ErrPause the
// reader must not be used again.
func (r *Reader) Feed(data []byte, handle func(args [][]byte) error) error {
	kept := len(r.unhandled) > 0
	if kept {
		r.unhandled = appendWithin(r.unhandled, data)
		data = r.unhandled
	}
	rest, err := r.handleCommands(data, handle)
	if err != nil && !errors.Is(err, ErrPause) {
		return err
	}
	if kept {
		r.unhandled = shrink(r.unhandled, rest)
	} else {
		r.unhandled = appendWithin(nil, rest)
	}
	return err
}

// handleCommands calls handle for the complete commands in data and returns what was not handled.
func (r *Reader) handleCommands(data []byte, handle func(args [][]byte) error) (rest []byte, err error) {
	var array [MaxArgs][]byte
	r.missing = 0
	for len(data) > 0 {
		args, n, err := parseCommand(data, array[:0])
		if err != nil {
			return nil, err
		}
		if n <= 0 {
			r.missing = -n
			break
		}
		data = data[n:]
		if err := handle(args); err != nil {
			return data, err
		}
	}
	return data, nil
}

// Buffered returns the number of bytes kept.
func (r *Reader) Buffered() int { return len(r.unhandled) }

// Held returns the memory that the reader takes for the bytes kept.
func (r *Reader) Held() int { return cap(r.unhandled) }

// Missing returns how many bytes the current command lacks at least, or 0 if that is not known.
func (r *Reader) Missing() int { return r.missing }

// CommandEnd returns how many bytes of data belong to the current command, if data is fed next: those up to its end, or all if
// it does not end in data. complete reports whether it ends there or is known to be malformed. After a pause, the current
// command may be complete without data.
func (r *Reader) CommandEnd(data []byte) (n int, complete bool) {
	if len(data) < r.missing {
		return len(data), false
	}
	joined := data
	if len(r.unhandled) > 0 {
		joined = append(append(make([]byte, 0, len(r.unhandled)+len(data)), r.unhandled...), data...)
	}
	var array [MaxArgs][]byte
	_, end, err := parseCommand(joined, array[:0])
	switch {
	case err != nil:
		return len(data), true
	case end <= 0:
		return len(data), false
	}
	return max(0, end-len(r.unhandled)), true
}

// Drop discards the bytes kept.
func (r *Reader) Drop() {
	releaseBuffer(r.unhandled)
	*r = Reader{}
}

// parseCommand appends the arguments of one command to args. It also returns the command's length in bytes. If the command
// is incomplete, the length is the negative of the number of bytes that it lacks at least, or 0 if that is not known.
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
		if end := next + size + crlfBytes; len(b) < end {
			return nil, len(b) - end, nil
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
