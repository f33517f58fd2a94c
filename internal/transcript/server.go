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

// patience limits how long a test waits for an event before it fails.
const patience = 15 * time.Second

const (
	buffered        = 99 // requests and ended connections that a test need not have taken yet
	firstConnection = 1
)

// Server is an HTTP/1.1 server that keeps each request byte for byte as it came and answers only when the test calls
// Answer.
type Server struct {
	Addr     string // where it listens
	tb       testing.TB
	requests chan *Request
	ended    chan int // numbers of the connections that the other side has ended
}

// Request is one request as it came.
type Request struct {
	Connection int    // its number, from 1 in the order in which connections came
	Raw        []byte // head and body
	conn       net.Conn
}

// NewServer listens at a free port of host, a loopback address, until the test ends. It ends the test if it cannot.
func NewServer(tb testing.TB, host string) *Server {
	tb.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		tb.Fatal(err)
	}
	s := &Server{Addr: listener.Addr().String(), tb: tb, requests: make(chan *Request, buffered),
		ended: make(chan int, buffered)}
	tb.Cleanup(func() { listener.Close() })
	go func() {
		for connection := firstConnection; ; connection++ {
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

// read reads the requests of one connection until it ends.
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

// oneByte reads one byte at a time, so that a buffered reader on it never holds a part of the next request.
type oneByte struct{ io.Reader }

// Read reads at most one byte.
func (r oneByte) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

// readRequest reads one request, whose body is as long as Content-Length says.
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

// Next waits for the next request on any connection. It ends the test if none comes within 15 s.
func (s *Server) Next() *Request {
	s.tb.Helper()
	return await(s.tb, s.requests, "request")
}

// Ended waits for the next end of a connection and returns its number. It ends the test if none comes within 15 s. Ends
// and the requests on other connections have no order among them.
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

// Answer writes raw as it is on the connection by which the request came.
func (r *Request) Answer(raw string) {
	_, _ = io.WriteString(r.conn, raw) // that the peer has closed the connection shows in Ended
}

// Close closes the connection by which the request came.
func (r *Request) Close() { r.conn.Close() }
