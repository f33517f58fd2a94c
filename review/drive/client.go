package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// clientPatience is how long a client waits for an answer.
const clientPatience = 400 * time.Millisecond

// client is a client's connection to a forwarder.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialForwarder(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, clientPatience)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// command sends a command and returns the line of its answer.
func (c *client) command(args ...string) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	if err := c.conn.SetDeadline(time.Now().Add(clientPatience)); err != nil {
		return "", err
	}
	if _, err := c.conn.Write([]byte(b.String())); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// message is what a client hands in.
type message struct {
	id, class, key string
	dest, ms       int
	at             time.Time // when it was handed in
	reply          string    // the forwarder's answer; empty if there was none
}

func (m *message) taken() bool { return strings.HasPrefix(m.reply, "+") }

// put hands a message in on a connection of its own and records the answer.
func (f *forwarder) put(m *message) {
	m.at = time.Now()
	options := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class, m.ms, m.dest)
	if m.key != "" {
		options += ",k=" + m.key
	}
	c, err := dialForwarder(f.listen)
	if err == nil {
		defer c.close()
		m.reply, err = c.command("MSG.PUT", "0", m.id, options, "body of "+m.id)
	}
	if err != nil {
		f.stage.record("client to %s: %s for destination %d: no answer: %v", f.name, m.id, m.dest, err)
		return
	}
	f.stage.record("client to %s: %s for destination %d: %s", f.name, m.id, m.dest, m.reply)
}
