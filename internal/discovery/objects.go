package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// lineTooLongError is the error for an object of the list that is longer than the client allows.
type lineTooLongError struct{ maxBytes int }

// Error names the bound, and what follows from it.
func (e *lineTooLongError) Error() string {
	return fmt.Sprintf("a line of the list is over %d bytes: nothing of it is applied", e.maxBytes)
}

// objectReader cuts the body of a watch into JSON objects. Each ends with its line; it may be indented over several. An
// empty line counts as an empty object.
type objectReader struct {
	maxBytes int // of one object

	buffer   []byte // the present object as far as it has come
	complete bool   // the present object has arrived whole; the next byte begins another
	depth    int    // of open brackets
	inString bool
	escaped  bool // the next byte follows a backslash in a string

	firstLineChecked bool
	searched         int // bytes of the first line that were searched for its end
}

// next takes bytes up to the end of the present object. It returns the object, valid until the next call, and the bytes
// behind it, or complete as false if the object goes on in a later piece.
func (r *objectReader) next(piece []byte) (object, rest []byte, complete bool, err error) {
	if r.complete {
		*r = objectReader{maxBytes: r.maxBytes, buffer: r.buffer[:0]}
	}
	n, complete := r.scan(piece)
	r.buffer = append(r.buffer, piece[:n]...)
	if len(r.buffer) > r.maxBytes {
		return nil, nil, false, &lineTooLongError{r.maxBytes}
	}
	if !complete {
		return nil, nil, false, r.checkFirstLine()
	}
	r.complete = true
	return bytes.TrimSpace(r.buffer), piece[n:], true, nil
}

// scan finds the end of the present object in b.
func (r *objectReader) scan(b []byte) (n int, complete bool) {
	for i, c := range b {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.escaped = c == '\\'
			r.inString = c != '"' && c != '\n' // a string holds no line's end: a malformed one ends there
		case c == '"':
			r.inString = true
		case c == '{' || c == '[':
			r.depth++
		case c == '}' || c == ']':
			r.depth--
		}
		if c == '\n' && r.depth <= 0 {
			return i + 1, true
		}
	}
	return len(b), false
}

// checkFirstLine returns an error, once the first line of an unfinished object is whole, if no JSON begins with it.
func (r *objectReader) checkFirstLine() error {
	if r.firstLineChecked {
		return nil
	}
	end := bytes.IndexByte(r.buffer[r.searched:], '\n')
	if end < 0 {
		r.searched = len(r.buffer)
		return nil
	}
	r.firstLineChecked = true
	var value json.RawMessage
	err := json.NewDecoder(bytes.NewReader(r.buffer[:r.searched+end])).Decode(&value)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return &malformedLineError{err}
	}
	return nil
}
