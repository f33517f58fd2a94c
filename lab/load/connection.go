package load

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// connection is one connection to a forwarder, made when it is needed.
type connection struct {
	dial    func() (net.Conn, error)
	timeout time.Duration
	conn    net.Conn // nil: none is open
	reader  *bufio.Reader
}

func (c *connection) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit submits one message and returns how it was answered. A connection that the forwarder closed between requests
// is made anew once.
func (c *connection) submit(r Run, j job, body string) string {
	left := or(j.message.TimeToLive, r.TimeToLive) - time.Since(j.intended).Seconds()
	if left <= 0 {
		return answerExpired
	}
	request := requestOf(j, left, body[:min(or(j.message.Bytes, r.Bytes), len(body))])
	for range 2 {
		answer, again := c.exchange(request)
		if !again {
			return answer
		}
	}
	return answerNone
}

// exchange sends a request and reads its answer; again tells that the connection had been closed before.
func (c *connection) exchange(request string) (answer string, again bool) {
	fresh := c.conn == nil
	if fresh {
		conn, err := c.dial()
		if err != nil {
			return answerNone, false
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(c.timeout))
	_, err := io.WriteString(c.conn, request)
	line := ""
	if err == nil {
		line, err = c.reader.ReadString('\n')
	}
	if err != nil {
		c.close()
		var netError net.Error
		timedOut := errors.As(err, &netError) && netError.Timeout()
		return answerNone, !fresh && !timedOut
	}
	switch {
	case strings.HasPrefix(line, "+"):
		return answerOK, false
	case strings.HasPrefix(line, "-BUSY"):
		return answerBusy, false
	}
	return answerError, false
}

// requestOf is a message as a RESP command; left is how many seconds it has.
func requestOf(j job, left float64, body string) string {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", j.message.Type, int(left*1000), j.message.Destination)
	if j.message.IdempotencyKey != "" {
		fields += ",k=" + j.message.IdempotencyKey
	}
	if j.message.Tenant != "" {
		fields += ",t=" + j.message.Tenant
	}
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, argument := range []string{"MSG.PUT", or(j.message.Key, "0"), j.id, fields, body} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return b.String()
}

// or is a value, or another if it is the zero value.
func or[T comparable](value, other T) T {
	if value == *new(T) {
		return other
	}
	return value
}
