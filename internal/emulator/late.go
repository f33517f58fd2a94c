package emulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// LateBytes describes bytes that a server sends on a connection some time after an answer, although nobody asked for
// them. The zero value sends nothing.
type LateBytes struct {
	After time.Duration // after the answer was written; 0 means that nothing is sent
	Bytes string        // if empty, the answer is sent a second time
	Sent  func()        // if not nil, called once the bytes are sent, even if the connection has ended
}

// lateConn is a server's connection that can send late bytes.
type lateConn struct {
	net.Conn

	mu   sync.Mutex
	late LateBytes // sent after the next Write
}

// Write writes an answer and starts the timer of its late bytes. An answer is written at once if it fits into the
// buffer of net/http.
func (c *lateConn) Write(answer []byte) (int, error) {
	c.mu.Lock()
	late := c.late
	c.late = LateBytes{}
	c.mu.Unlock()
	n, err := c.Conn.Write(answer)
	if late.After > 0 {
		if late.Bytes == "" {
			late.Bytes = string(answer)
		}
		time.AfterFunc(late.After, func() { c.sendLate(late) })
	}
	return n, err
}

func (c *lateConn) sendLate(late LateBytes) {
	_, _ = c.Conn.Write([]byte(late.Bytes)) // fails if the connection has ended
	if late.Sent != nil {
		late.Sent()
	}
}

// lateListener makes each accepted connection a lateConn.
type lateListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: conn}, nil
}

// connectionKey is the key of the request's lateConn in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection of a request.
func connectionOf(r *http.Request) *lateConn {
	return r.Context().Value(connectionKey{}).(*lateConn)
}

// sendAfterAnswer sends late bytes after the answer to a request. It must be called before the answer is written.
func sendAfterAnswer(r *http.Request, late LateBytes) {
	conn := connectionOf(r)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.late = late
}
