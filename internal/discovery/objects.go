package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// objectTooLongError reports that an object of the list exceeds the client's limit.
type objectTooLongError struct{ maxBytes int }

// Error returns a text with the limit.
func (e *objectTooLongError) Error() string {
	return fmt.Sprintf("a line of the list is over %d bytes: nothing of it is applied", e.maxBytes)
}

// tooManyEntriesError reports that an object of the list has more entries than the client's limit.
type tooManyEntriesError struct{ maxEntries int }

// Error returns a text with the limit.
func (e *tooManyEntriesError) Error() string {
	return fmt.Sprintf("a line of the list has over %d entries: nothing of it is applied", e.maxEntries)
}

// maxReusedBytes is the largest buffer that is kept for the next object.
const maxReusedBytes = 64 << 10

// objectReader splits the body of a watch into JSON objects. Each object ends at the end of a line and may span several
// lines. An empty line is returned as an empty object.
type objectReader struct {
	maxBytes   int // limit of one object
	maxEntries int // limit of the JSON objects within it; 0 means unlimited

	buffer   []byte // the part of the current object received so far
	complete bool   // the current object is complete; the next byte starts another
	depth    int    // number of open brackets and braces
	entries  int    // number of braces that were opened, without the outermost one
	inString bool
	escaped  bool // the next byte follows a backslash in a string

	firstLineChecked bool
	searched         int // number of bytes of the first line already searched for its end
}

// next consumes piece up to the end of the current object. It returns the object, which is valid until the next call,
// and the rest of piece. complete is false if the object continues in a later piece.
func (r *objectReader) next(piece []byte) (object, rest []byte, complete bool, err error) {
	if r.complete {
		*r = objectReader{maxBytes: r.maxBytes, maxEntries: r.maxEntries, buffer: r.reusableBuffer()}
	}
	n, complete := r.scan(piece)
	r.buffer = append(r.buffer, piece[:n]...)
	if len(r.buffer) > r.maxBytes {
		return nil, nil, false, &objectTooLongError{r.maxBytes}
	}
	if r.maxEntries > 0 && r.entries > r.maxEntries {
		return nil, nil, false, &tooManyEntriesError{r.maxEntries}
	}
	if !complete {
		return nil, nil, false, r.checkFirstLine()
	}
	r.complete = true
	return bytes.TrimSpace(r.buffer), piece[n:], true, nil
}

// reusableBuffer returns the buffer for the next object, unless it is large.
func (r *objectReader) reusableBuffer() []byte {
	if cap(r.buffer) > maxReusedBytes {
		return nil
	}
	return r.buffer[:0]
}

// scan returns the number of bytes of b that belong to the current object, and whether it ends within b.
func (r *objectReader) scan(b []byte) (n int, complete bool) {
	for i, c := range b {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.escaped = c == '\\'
			r.inString = c != '"' && c != '\n' // a string cannot contain a newline; an unterminated one ends there
		case c == '"':
			r.inString = true
		case c == '{' || c == '[':
			if c == '{' && r.depth > 0 {
				r.entries++
			}
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

// checkFirstLine returns an error if the first line of an incomplete object has been received and is not the start of
// valid JSON.
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
		return &malformedObjectError{err}
	}
	return nil
}
