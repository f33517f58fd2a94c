// Package intake serves clients: it reads their commands and writes the answers. It chooses nothing.
package intake

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
)

// Desk is where clients' commands go, in the order of each connection. It may block while too much waits there.
type Desk interface {
	Ask(Asked)
}

// Asked is one command of a client.
type Asked struct {
	Client *Client
	Paper  *Paper // a document handed in
	Ping   bool
	Error  string // what else came, as the answer that it gets
	Last   bool   // after the answer the connection ends
}

// Paper is a document handed in. It holds a copy of what was read: it outlives the buffer.
type Paper struct {
	Key   uint64
	ID    string
	Type  string
	Mark  string
	Dest  uint64
	Left  float64 // seconds
	Body  []byte
	Again bool // a forwarder that died or did not answer had it
}

// Client is one connection.
type Client struct {
	intake  *Intake
	conn    *nbio.Conn
	reader  resp.Reader
	asked   atomic.Int32 // commands without an answer
	gone    atomic.Bool
	turn    int64 // of its latest command, under the intake's lock
	refused bool  // over the bound
}

// Intake holds the clients' connections.
type Intake struct {
	engine  *nbio.Engine
	desk    Desk
	most    int
	mu      sync.Mutex
	clients map[*Client]struct{}
	clock   int64
	leaving bool
	Peak    int
}

// Open listens at an address; most bounds the connections.
func Open(addr string, most int, desk Desk) (*Intake, error) {
	in := &Intake{desk: desk, most: most, clients: map[*Client]struct{}{}}
	in.engine = nbio.NewEngine(nbio.Config{Name: "intake", Network: "tcp", Addrs: []string{addr}, NPoller: 1,
		ReadBufferSize: 72 << 10, MaxWriteBufferSize: 256 << 10, MaxConnReadTimesPerEventLoop: 8})
	in.engine.OnOpen(in.opened)
	in.engine.OnClose(func(c *nbio.Conn, _ error) {
		if cl, ok := c.Session().(*Client); ok {
			in.closed(cl)
		}
	})
	in.engine.OnData(func(c *nbio.Conn, b []byte) {
		if cl, ok := c.Session().(*Client); ok {
			in.data(cl, b)
		}
	})
	if err := in.engine.Start(); err != nil {
		return nil, err
	}
	return in, nil
}

// Addr is where the intake listens.
func (in *Intake) Addr() string { return in.engine.Addrs[0] }

// Stop ends all connections and stops listening.
func (in *Intake) Stop() { in.engine.Stop() }

// Leave closes each connection as soon as it has no command without an answer, so that clients go elsewhere.
func (in *Intake) Leave() {
	in.mu.Lock()
	in.leaving = true
	var quiet []*Client
	for c := range in.clients {
		if c.asked.Load() == 0 {
			quiet = append(quiet, c)
		}
	}
	in.mu.Unlock()
	for _, c := range quiet {
		c.conn.Close()
	}
}

// Clients tells how many connections there are.
func (in *Intake) Clients() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.clients)
}

// opened makes room for a connection over the bound by closing the one that has been quiet for the longest, which a
// client takes for an idle connection's end.
func (in *Intake) opened(conn *nbio.Conn) {
	c := &Client{intake: in, conn: conn}
	conn.SetSession(c)
	conn.SetNoDelay(true)
	in.mu.Lock()
	var oldest *Client
	if len(in.clients) >= in.most {
		for o := range in.clients {
			if o.asked.Load() == 0 && o.reader.Waiting() == 0 && (oldest == nil || o.turn < oldest.turn) {
				oldest = o
			}
		}
		c.refused = oldest == nil
	}
	if oldest != nil {
		delete(in.clients, oldest)
	}
	in.clock++
	c.turn = in.clock
	in.clients[c] = struct{}{}
	in.Peak = max(in.Peak, len(in.clients))
	in.mu.Unlock()
	if oldest != nil {
		oldest.conn.Close()
	}
	if c.refused {
		conn.Write(resp.Failure("ERR too many connections"))
		conn.Close()
	}
}

func (in *Intake) closed(c *Client) {
	c.gone.Store(true)
	in.mu.Lock()
	delete(in.clients, c)
	in.mu.Unlock()
}

func (in *Intake) data(c *Client, b []byte) {
	if c.gone.Load() || c.refused {
		return
	}
	in.mu.Lock()
	in.clock++
	c.turn = in.clock
	in.mu.Unlock()
	err := c.reader.Feed(b, func(args [][]byte) error {
		c.asked.Add(1)
		in.desk.Ask(command(c, args))
		return nil
	})
	if err != nil {
		c.gone.Store(true) // nothing more is read
		c.asked.Add(1)
		in.desk.Ask(Asked{Client: c, Error: "ERR " + err.Error(), Last: true})
	}
}

func command(c *Client, args [][]byte) Asked {
	a := Asked{Client: c}
	switch name := strings.ToUpper(string(args[0])); name {
	case "PING":
		a.Ping = true
	case "MSG.PUT":
		p, err := put(args)
		if a.Paper = p; err != nil {
			a.Paper, a.Error = nil, "ERR "+err.Error()
		}
	default:
		a.Error = "ERR unknown command"
	}
	return a
}

var errPut = errors.New("MSG.PUT takes a key, an id, names with values, and a body")

func put(args [][]byte) (*Paper, error) {
	if len(args) != 5 || len(args[2]) == 0 || len(args[2]) > 128 {
		return nil, errPut
	}
	key, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err != nil {
		return nil, errors.New("the key is not a hexadecimal number")
	}
	if len(args[4]) > 64<<10 {
		return nil, errors.New("the body is over 64 KiB")
	}
	for _, b := range args[2] {
		if b <= ' ' || b >= 0x7f {
			return nil, errors.New("the id holds bytes that it may not")
		}
	}
	p := &Paper{Key: key, ID: string(args[2]), Body: bytes.Clone(args[4]), Left: -1}
	dest := false
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			p.Type = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < 1e12) {
				return nil, errors.New("d is not a time in milliseconds")
			}
			p.Left = ms / 1000
		case "dest":
			if p.Dest, err = strconv.ParseUint(value, 10, 32); err != nil {
				return nil, errors.New("dest is not a number")
			}
			dest = true
		case "k":
			if p.Mark = value; strings.ContainsAny(value, "\r\n") || len(value) > 128 {
				return nil, errors.New("k holds bytes that it may not")
			}
		case "again":
			p.Again = value == "1"
		}
	}
	if p.Left < 0 || !dest {
		return nil, errors.New("d or dest is missing")
	}
	return p, nil
}

// Gone tells if the client does not hear an answer any more.
func (c *Client) Gone() bool { return c.gone.Load() }

// Answer writes the answer to the oldest command without one. It tells if the connection stood.
func (c *Client) Answer(b []byte, last bool) bool {
	_, err := c.conn.Write(b)
	left := c.asked.Add(-1)
	c.intake.mu.Lock()
	leaving := c.intake.leaving
	c.intake.mu.Unlock()
	if last || leaving && left == 0 {
		c.conn.Close()
	}
	return err == nil
}
