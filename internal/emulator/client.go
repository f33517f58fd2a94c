package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// replyTimeout is the maximum time to wait for a forwarder's answer.
const replyTimeout = 10 * time.Second

// Client is a client's connection to a forwarder. It is not safe for concurrent use, except that one goroutine may
// write while another one reads.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// NewClient connects to the forwarder that listens at addr. The caller closes the connection.
func NewClient(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Command encodes a RESP2 command as an array of bulk strings.
func Command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// Send writes raw unchanged and returns the next line of the answer like ReadReply.
func (c *Client) Send(raw string) (string, error) {
	if _, err := io.WriteString(c, raw); err != nil {
		return "", err
	}
	return c.ReadReply()
}

// ReadReply returns the next line from the forwarder without its line end. It fails if no line arrives within 10 s.
func (c *Client) ReadReply() (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(replyTimeout)); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// Put submits a message with MSG.PUT and returns the answer. The options are names and values in the command's format,
// such as "c=status,d=8000,dest=7".
func (c *Client) Put(key, id, options, body string) (string, error) {
	return c.Send(Command("MSG.PUT", key, id, options, body))
}
