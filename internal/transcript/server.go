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

// eventTimeout is how long a test waits for an event before it fails.
const eventTimeout = 15 * time.Second

const (
	channelCapacity = 99 // maximum number of requests, or of ended connections, that a test has not received yet
	firstConnection = 1
)

// Server is an HTTP/1.1 server that records the exact bytes of each request and answers only when the test calls
// Answer.
type Server struct {
	Addr     string // listen address
	tb       testing.TB
	requests chan *Request
	ended    chan int // numbers of the connections that the peer has closed
}

// Request is one request with its exact bytes.
type Request struct {
	Connection int    // number of the connection, counted from 1 in the order of acceptance
	Raw        []byte // head and body
	conn       net.Conn
}

// NewServer listens on a free port of host, a loopback address, until the test ends. It fails the test if it cannot
// listen.
func NewServer(tb testing.TB, host string) *Server {
	tb.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		tb.Fatal(err)
	}
	s := &Server{Addr: listener.Addr().String(), tb: tb, requests: make(chan *Request, channelCapacity),
		ended: make(chan int, channelCapacity)}
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
		err := readRequest(bufio.NewReader(io.TeeReader(oneByteReader{conn}, &raw)))
		if err != nil {
			s.ended <- connection
			return
		}
		s.requests <- &Request{Connection: connection, Raw: raw.Bytes(), conn: conn}
	}
}

// oneByteReader reads one byte at a time, so that a buffered reader on top of it never reads bytes of the next request.
type oneByteReader struct{ io.Reader }

// Read reads one byte, or none if b is empty.
func (r oneByteReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

// readRequest reads one request with a body of the length given by Content-Length.
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

// Next waits for the next request on any connection. It fails the test if none arrives within 15 s.
func (s *Server) Next() *Request {
	s.tb.Helper()
	return await(s.tb, s.requests, "request")
}

// Ended waits until the peer closes a connection and returns the connection's number. It fails the test if none is
// closed within 15 s. The order relative to requests on other connections is undefined.
func (s *Server) Ended() int {
	s.tb.Helper()
	return await(s.tb, s.ended, "end of a connection")
}

func await[T any](tb testing.TB, from <-chan T, what string) T {
	tb.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(eventTimeout):
		tb.Fatalf("timed out waiting for the next %s", what)
		panic("unreachable")
	}
}

// Answer writes raw unchanged to the connection of the request.
func (r *Request) Answer(raw string) {
	_, _ = io.WriteString(r.conn, raw) // Server.Ended reports a connection closed by the peer
}

// Close closes the connection of the request.
func (r *Request) Close() { r.conn.Close() }
