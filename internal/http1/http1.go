// Package http1 reads HTTP/1.1 answers piece by piece and writes requests. It knows no sockets.
package http1

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	mostLine   = 8 << 10
	mostFields = 100
	mostNumber = 16
)

// Errors of an answer that cannot be read.
var (
	ErrMalformed = errors.New("not an HTTP/1.1 answer")
	ErrSize      = errors.New("answer over the limit")
)

type stage uint8

const (
	atStatus stage = iota
	atFields
	inSized
	inOpen // until the connection ends
	atChunk
	inChunk
	afterChunk
	atTrailer
	done
)

// Handler gets the parts of an answer as they come; the slices are good until the call returns.
type Handler interface {
	Status(code int)
	Field(name, value []byte)
	Body(piece []byte) error
}

// Reader reads one answer after another. Interim answers (1xx) are passed over.
type Reader struct {
	MaxBody int // bytes of a body; 0: no bound, the handler is to mind it
	Close   bool
	at      stage
	code    int
	line    []byte // an unfinished line
	fields  int
	sized   bool
	chunked bool
	left    int
	got     int
}

// Reset makes the reader ready for the next answer.
func (r *Reader) Reset() {
	*r = Reader{MaxBody: r.MaxBody, line: r.line[:0]}
}

// Feed takes what has come and returns how much of it belongs to this answer, and if that is complete.
func (r *Reader) Feed(data []byte, h Handler) (used int, whole bool, err error) {
	b := data
	for r.at != done {
		switch r.at {
		case inSized, inOpen, inChunk:
			if len(b) == 0 {
				return len(data), false, nil
			}
			piece := b
			if r.at != inOpen {
				piece = b[:min(len(b), r.left)]
				r.left -= len(piece)
			}
			if r.got += len(piece); r.MaxBody > 0 && r.got > r.MaxBody {
				return 0, false, ErrSize
			}
			if err := h.Body(piece); err != nil {
				return 0, false, err
			}
			b = b[len(piece):]
			if r.at == inSized && r.left == 0 {
				r.at = done
			} else if r.at == inChunk && r.left == 0 {
				r.at = afterChunk
			}
		default:
			line, n, err := r.take(b)
			if err != nil {
				return 0, false, err
			}
			b = b[n:]
			if line == nil {
				return len(data), false, nil
			}
			err = r.read(line, h)
			r.line = r.line[:0]
			if err != nil {
				return 0, false, err
			}
		}
	}
	return len(data) - len(b), true, nil
}

// AttemptEnded tells if the end of the connection completes the answer.
func (r *Reader) Ended() bool { return r.at == inOpen }

// Started tells if anything of an answer has come, interim ones aside.
func (r *Reader) Started() bool { return r.at != atStatus || len(r.line) > 0 }

// take returns the next line without its end, nil while it is not complete.
func (r *Reader) take(b []byte) ([]byte, int, error) {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	if len(r.line)+len(part) > mostLine {
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

func (r *Reader) read(line []byte, h Handler) error {
	switch r.at {
	case atStatus:
		return r.status(line, h)
	case atFields:
		if len(line) == 0 {
			r.body()
			return nil
		}
		return r.field(line, h)
	case atChunk:
		if cut := bytes.IndexByte(line, ';'); cut >= 0 {
			line = line[:cut]
		}
		line = bytes.TrimSpace(line)
		n, err := strconv.ParseUint(string(line), 16, 31)
		if err != nil || len(line) > mostNumber {
			return ErrMalformed
		}
		if r.left, r.at = int(n), inChunk; n == 0 {
			r.at = atTrailer
		}
	case afterChunk:
		if len(line) > 0 {
			return ErrMalformed
		}
		r.at = atChunk
	case atTrailer:
		if r.fields++; r.fields > mostFields {
			return ErrSize
		}
		if len(line) == 0 {
			r.at = done
		}
	}
	return nil
}

func (r *Reader) status(line []byte, h Handler) error {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return ErrMalformed
	}
	code, err := strconv.Atoi(string(line[9:12]))
	if err != nil || code < 100 || code > 999 {
		return ErrMalformed
	}
	r.code, r.at, r.Close = code, atFields, line[7] == '0'
	if code >= 200 {
		h.Status(code)
	}
	return nil
}

func (r *Reader) field(line []byte, h Handler) error {
	if r.fields++; r.fields > mostFields {
		return ErrSize
	}
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return ErrMalformed
	}
	name, value := line[:colon], bytes.TrimSpace(line[colon+1:])
	switch {
	case HasToken(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || len(value) > mostNumber || r.sized && int(n) != r.left {
			return ErrMalformed
		}
		if r.MaxBody > 0 && int(n) > r.MaxBody {
			return ErrSize
		}
		r.left, r.sized = int(n), true
	case HasToken(name, "transfer-encoding"):
		r.chunked = HasToken(value, "chunked")
		if !r.chunked {
			return ErrMalformed
		}
	case HasToken(name, "connection"):
		r.Close = r.Close || HasToken(value, "close")
	}
	if r.code >= 200 {
		h.Field(name, value)
	}
	return nil
}

// body decides by the head how the body ends.
func (r *Reader) body() {
	switch {
	case r.code < 200:
		r.Reset()
	case r.code == 204 || r.code == 304:
		r.at = done
	case r.chunked:
		r.at = atChunk
	case r.sized && r.left == 0:
		r.at = done
	case r.sized:
		r.at = inSized
	default:
		r.at, r.Close = inOpen, true
	}
}

// HasToken compares a field's name or word without regard to case; word is in small letters.
func HasToken(b []byte, word string) bool {
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

// AppendRequestLine starts a request; Name adds fields; End closes the head and adds the body.
func AppendRequestLine(b []byte, method, path, host string) []byte {
	b = append(append(append(b, method...), ' '), path...)
	return AppendField(append(b, " HTTP/1.1\r\n"...), "Host", host)
}

// AppendField adds a field to a head.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(append(b, name...), ": "...), value...)
	return append(b, "\r\n"...)
}

// AppendBody closes the head and adds the body.
func AppendBody(b []byte, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
