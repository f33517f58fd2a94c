package transcript

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"testing"
	"time"
)

const patience = 15 * time.Second // a bound on what would otherwise hang

// Server is an HTTP/1.1 peer that keeps each request as it came, byte for byte, and answers at the test's word.
type Server struct {
	Addr     string
	tb       testing.TB
	requests chan *Request
	ended    chan int // connections that the other side has ended
}

// Request is one request as it came.
type Request struct {
	Connection int    // counted from 1 in the order of their coming
	Raw        []byte // head and body
	conn       net.Conn
}

// NewServer listens at a free port of a loopback host until the test ends.
func NewServer(tb testing.TB, host string) *Server {
	tb.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		tb.Fatal(err)
	}
	s := &Server{Addr: listener.Addr().String(), tb: tb, requests: make(chan *Request, 99), ended: make(chan int, 99)}
	tb.Cleanup(func() { listener.Close() })
	go func() {
		for connection := 1; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tb.Cleanup(func() { conn.Close() })
			go s.read(connection, conn)
		}
	}()
	return s
}

// read takes the requests of one connection.
func (s *Server) read(connection int, conn net.Conn) {
	for {
		var raw bytes.Buffer
		err := readRequest(bufio.NewReader(io.TeeReader(oneByte{conn}, &raw)))
		if err != nil {
			s.ended <- connection
			return
		}
		s.requests <- &Request{Connection: connection, Raw: raw.Bytes(), conn: conn}
	}
}

// oneByte reads no more than was asked for: a buffered reader above it never holds a part of the next request.
type oneByte struct{ io.Reader }

func (r oneByte) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

// readRequest reads one request with a body of a told length.
func readRequest(r *bufio.Reader) error {
	text := textproto.NewReader(r)
	if _, err := text.ReadLine(); err != nil {
		return err
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return err
	}
	length, _ := strconv.Atoi(strings.TrimSpace(fields.Get("Content-Length")))
	_, err = io.CopyN(io.Discard, r, int64(length))
	return err
}

// Next waits for the next request, on whichever connection it comes.
func (s *Server) Next() *Request {
	s.tb.Helper()
	return await(s.tb, s.requests, "request")
}

// AttemptEnded waits for the next end of a connection and returns its number. Reason ends and what comes on another connection
// have no order among them.
func (s *Server) Ended() int {
	s.tb.Helper()
	return await(s.tb, s.ended, "end of a connection")
}

func await[T any](tb testing.TB, from <-chan T, what string) T {
	tb.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		tb.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

// RecordAnswer writes bytes on the connection that the request came by.
func (r *Request) Answer(raw string) {
	_, _ = io.WriteString(r.conn, raw) // a peer that has gone is seen by what it does next
}

// BlockUntil ends the connection that the request came by.
func (r *Request) Close() { r.conn.Close() }
