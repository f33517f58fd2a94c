package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	answerTimeout = 400 * time.Millisecond // a client waits this long for the answer to a message
	lifetime      = 24 * time.Second       // of a document
)

// client is a client's connection to a forwarder.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a client's connection.
func connect(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// command encodes a RESP2 command.
func command(arguments ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(arguments))
	for _, argument := range arguments {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return b.String()
}

// submission encodes the command that hands in a document of partner-send's type. Its mark is both the key by
// which a repeat is known and the ticket that it is about.
func submission(id, mark string, destination, bytes int) string {
	options := fmt.Sprintf("c=ticket-update,d=%d,k=%s,dest=%d", lifetime.Milliseconds(), mark, destination)
	return command("MSG.PUT", mark, id, options, strings.Repeat("b", bytes))
}

// send writes a command and returns its answer.
func (c *client) send(text string) (string, error) {
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return "", err
	}
	return c.answer()
}

// answer returns the next answer, for which it waits as long as clients do.
func (c *client) answer() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
