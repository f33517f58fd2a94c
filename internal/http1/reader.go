// Package http1 parses HTTP/1.1 answers incrementally and formats requests. It does no I/O.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	maxLineBytes    = 8 << 10
	maxFields       = 100 // of the head and the trailer together
	maxInterim      = 16  // interim answers before the final one
	maxNumberDigits = 16
)

// firstFinalStatus is the lowest status of a final answer. Lower ones are interim (1xx).
const firstFinalStatus = 200

// Statuses without a body.
const (
	statusNoContent   = 204
	statusNotModified = 304
)

// Errors of an answer that cannot be parsed.
var (
	// ErrMalformed means that the received bytes are not a valid HTTP/1.1 answer.
	ErrMalformed = errors.New("not an HTTP/1.1 answer")
	// ErrSize means that a line, the number of fields or of interim answers, or the body exceeds its limit.
	ErrSize = errors.New("answer over the limit")
)

// state is the part of an answer that is parsed next.
type state uint8

const (
	readingStatusLine state = iota
	readingFields
	readingSizedBody
	readingUntilClose // the body ends with the connection
	readingChunkSize
	readingChunk
	readingChunkEnd // the empty line after a chunk
	readingTrailer
	complete
)

// Handler receives the parts of an answer as they are parsed. The slices passed to it are valid until the call returns.
// The fields of a trailer are not passed.
type Handler interface {
	Status(code int)
	Field(name, value []byte)
	Body(piece []byte) error // an error stops parsing and is returned by Feed
}

// Reader parses one answer at a time. Reset must be called before the next answer and after an error. Interim answers
// (1xx) are skipped.
type Reader struct {
	MaxBody int  // limit of a body in bytes; 0 means unlimited
	Close   bool // the connection closes after the answer; valid once the head is parsed

	state     state
	code      int
	line      []byte // an incomplete line
	fields    int    // number of fields parsed so far
	interim   int    // number of interim answers skipped so far
	hasLength bool   // the head has a Content-Length
	chunked   bool
	bodyLeft  int // remaining bytes of the body or chunk
	bodyBytes int // bytes of the body parsed so far
}

// Reset prepares the reader for the next answer and keeps MaxBody.
func (r *Reader) Reset() {
	*r = Reader{MaxBody: r.MaxBody, line: r.line[:0]}
}

// Feed parses the next bytes received. It returns how many of them belong to the current answer, and whether the answer
// is complete.
func (r *Reader) Feed(data []byte, h Handler) (used int, done bool, err error) {
	b := data
	for r.state != complete {
		switch r.state {
		case readingSizedBody, readingUntilClose, readingChunk:
			if len(b) == 0 {
				return len(data), false, nil
			}
			n, err := r.feedBody(b, h)
			if err != nil {
				return 0, false, err
			}
			b = b[n:]
		default:
			line, n, err := r.takeLine(b)
			if err != nil {
				return 0, false, err
			}
			b = b[n:]
			if line == nil {
				return len(data), false, nil
			}
			err = r.handleLine(line, h)
			r.line = r.line[:0]
			if err != nil {
				return 0, false, err
			}
		}
	}
	return len(data) - len(b), true, nil
}

// feedBody passes the part of b that belongs to the body or chunk to h and returns its length.
func (r *Reader) feedBody(b []byte, h Handler) (int, error) {
	piece := b
	if r.state != readingUntilClose {
		piece = b[:min(len(b), r.bodyLeft)]
		r.bodyLeft -= len(piece)
	}
	if r.bodyBytes += len(piece); r.MaxBody > 0 && r.bodyBytes > r.MaxBody {
		return 0, ErrSize
	}
	if err := h.Body(piece); err != nil {
		return 0, err
	}
	if r.state == readingSizedBody && r.bodyLeft == 0 {
		r.state = complete
	} else if r.state == readingChunk && r.bodyLeft == 0 {
		r.state = readingChunkEnd
	}
	return len(piece), nil
}

// EndsAtClose reports whether the answer's body ends with the connection, so that a close completes the answer.
func (r *Reader) EndsAtClose() bool { return r.state == readingUntilClose }

// Started reports whether part of an answer has been received. Complete interim answers do not count.
func (r *Reader) Started() bool { return r.state != readingStatusLine || len(r.line) > 0 }

// takeLine returns the next line without its line ending, or nil if it is incomplete, and the number of bytes of b that
// it consumed.
func (r *Reader) takeLine(b []byte) ([]byte, int, error) {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	if len(r.line)+len(part) > maxLineBytes {
		return nil, 0, ErrSize
	}
	if end < 0 {
		r.line = append(r.line, part...)
		return nil, len(b), nil
	}
	if len(r.line) > 0 {
		r.line = append(r.line, part...)
		part = r.line
	}
	part = bytes.TrimSuffix(part, []byte{'\r'})
	if part == nil {
		part = []byte{}
	}
	return part, end + 1, nil
}

// handleLine parses one line of the head, the chunk framing or the trailer.
func (r *Reader) handleLine(line []byte, h Handler) error {
	switch r.state {
	case readingStatusLine:
		return r.handleStatusLine(line, h)
	case readingFields:
		if len(line) == 0 {
			return r.startBody()
		}
		return r.handleField(line, h)
	case readingChunkSize:
		return r.handleChunkSize(line)
	case readingChunkEnd:
		if len(line) > 0 {
			return ErrMalformed
		}
		r.state = readingChunkSize
	case readingTrailer:
		if r.fields++; r.fields > maxFields {
			return ErrSize
		}
		if len(line) == 0 {
			r.state = complete
		}
	}
	return nil
}

// handleChunkSize parses the line before a chunk. Extensions after a semicolon are ignored.
func (r *Reader) handleChunkSize(line []byte) error {
	if semicolon := bytes.IndexByte(line, ';'); semicolon >= 0 {
		line = line[:semicolon]
	}
	line = bytes.TrimSpace(line)
	n, err := strconv.ParseUint(string(line), 16, 31)
	if err != nil || len(line) > maxNumberDigits {
		return ErrMalformed
	}
	if r.bodyLeft, r.state = int(n), readingChunk; n == 0 {
		r.state = readingTrailer
	}
	return nil
}

// handleStatusLine parses a status line such as "HTTP/1.1 200 OK".
func (r *Reader) handleStatusLine(line []byte, h Handler) error {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return ErrMalformed
	}
	code, err := strconv.Atoi(string(line[9:12]))
	if err != nil || code < 100 || code > 999 {
		return ErrMalformed
	}
	r.code, r.state, r.Close = code, readingFields, line[7] == '0'
	if code >= firstFinalStatus {
		h.Status(code)
	}
	return nil
}

// handleField parses a field of the head, and passes it to h unless the answer is interim.
func (r *Reader) handleField(line []byte, h Handler) error {
	if r.fields++; r.fields > maxFields {
		return ErrSize
	}
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return ErrMalformed
	}
	name, value := line[:colon], bytes.TrimSpace(line[colon+1:])
	switch {
	case EqualFold(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || len(value) > maxNumberDigits || r.hasLength && int(n) != r.bodyLeft {
			return ErrMalformed
		}
		if r.MaxBody > 0 && int(n) > r.MaxBody {
			return ErrSize
		}
		r.bodyLeft, r.hasLength = int(n), true
	case EqualFold(name, "transfer-encoding"):
		r.chunked = EqualFold(value, "chunked")
		if !r.chunked {
			return ErrMalformed
		}
	case EqualFold(name, "connection"):
		r.Close = r.Close || EqualFold(value, "close")
	}
	if r.code >= firstFinalStatus {
		h.Field(name, value)
	}
	return nil
}

// startBody sets the state after the head, according to how the body ends.
func (r *Reader) startBody() error {
	switch {
	case r.code < firstFinalStatus:
		interim := r.interim + 1
		if interim > maxInterim {
			return ErrSize
		}
		r.Reset()
		r.interim = interim
	case r.code == statusNoContent || r.code == statusNotModified:
		r.state = complete
	case r.chunked:
		r.state = readingChunkSize
	case r.hasLength && r.bodyLeft == 0:
		r.state = complete
	case r.hasLength:
		r.state = readingSizedBody
	default:
		r.state, r.Close = readingUntilClose, true
	}
	return nil
}

// EqualFold reports whether b, the name or value of a field, equals word regardless of ASCII case. word must be in
// lower case.
func EqualFold(b []byte, word string) bool {
	if len(b) != len(word) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != word[i] {
			return false
		}
	}
	return true
}
