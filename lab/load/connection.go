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

// connection is one connection to a forwarder, established when it is first needed.
type connection struct {
	dial    func() (net.Conn, error)
	timeout time.Duration
	conn    net.Conn // nil while none is open
	reader  *bufio.Reader
}

func (c *connection) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// submit submits one message and returns the kind of answer. If the forwarder closed the connection between two
// requests, submit reconnects once.
func (c *connection) submit(r Run, j job, body string) string {
	left := orDefault(j.message.TimeToLive, r.TimeToLive) - time.Since(j.intended).Seconds()
	if left <= 0 {
		return answerExpired
	}
	request := formatRequest(j, left, body[:min(orDefault(j.message.Bytes, r.Bytes), len(body))])
	for range 2 {
		answer, retry := c.exchange(request)
		if !retry {
			return answer
		}
	}
	return answerNone
}

// exchange sends a request and reads its answer. retry is true if the forwarder closed a connection that had been
// used before.
func (c *connection) exchange(request string) (answer string, retry bool) {
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

// formatRequest returns a message as a RESP command; left is its remaining time to live in seconds.
func formatRequest(j job, left float64, body string) string {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", j.message.Type, int(left*1000), j.message.Destination)
	if j.message.IdempotencyKey != "" {
		fields += ",k=" + j.message.IdempotencyKey
	}
	if j.message.Tenant != "" {
		fields += ",t=" + j.message.Tenant
	}
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, argument := range []string{"MSG.PUT", orDefault(j.message.Key, "0"), j.id, fields, body} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return b.String()
}

// orDefault returns value, or fallback if value is the zero value.
func orDefault[T comparable](value, fallback T) T {
	if value == *new(T) {
		return fallback
	}
	return value
}
