// Package intake serves clients: it reads their commands and writes the answers. It chooses nothing.
package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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
	Key  uint64
	ID   string
	Type string
	Mark string
	Dest uint64
	Left float64 // seconds, at the time of coming
	Came time.Time
	Body []byte

	Tenant string // empty if none is told

	Unknown string // a name among those with values that is not known here
}

// Client is one connection.
type Client struct {
	intake  *Intake
	conn    *nbio.Conn
	reader  resp.Reader
	asked   atomic.Int32 // commands without an answer
	partial atomic.Bool  // a command is read in part
	gone    atomic.Bool
	mute    bool  // what came could not be understood: nothing more is read
	turn    int64 // of its latest command, under the intake's lock
}

// quiet tells that closing the connection takes no answer from anybody.
func (c *Client) quiet() bool { return c.asked.Load() == 0 && !c.partial.Load() }

// Intake holds the clients' connections.
type Intake struct {
	engine  *nbio.Engine
	desk    Desk
	most    int // from here on the connection that has been quiet for the longest is closed for each new one
	hard    int // from here on new ones are turned away unread, so that descriptors do not run out
	mu      sync.Mutex
	clients map[*Client]struct{}
	clock   int64
	leaving bool
	peak    int
}

// door is the listener; it turns connections away before nbio knows of them.
type door struct {
	net.Listener
	intake *Intake
}

const (
	acceptPause = 20 * time.Millisecond // after a failed accept, for want of descriptors say
	stopWithin  = 200 * time.Millisecond
)

func (d door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				time.Sleep(acceptPause)
			}
			return nil, err
		}
		if n, _ := d.intake.Clients(); n < d.intake.hard {
			return c, nil
		}
		c.Close()
	}
}

// Open listens at an address; most and hard bound the connections.
func Open(addr string, most, hard int, desk Desk) (*Intake, error) {
	in := &Intake{desk: desk, most: most, hard: hard, clients: map[*Client]struct{}{}}
	in.engine = nbio.NewEngine(nbio.Config{Name: "intake", Network: "tcp", Addrs: []string{addr}, NPoller: 1,
		ReadBufferSize: 72 << 10, MaxWriteBufferSize: 256 << 10, MaxConnReadTimesPerEventLoop: 8,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := net.Listen(network, addr)
			return door{l, in}, err
		}})
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
func (in *Intake) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	in.engine.Shutdown(ctx)
}

// Leave closes each connection as soon as it has no command without an answer, so that clients go elsewhere.
func (in *Intake) Leave() {
	in.mu.Lock()
	in.leaving = true
	var quiet []*Client
	for c := range in.clients {
		if c.quiet() {
			quiet = append(quiet, c)
		}
	}
	in.mu.Unlock()
	for _, c := range quiet {
		c.conn.Close()
	}
}

// Clients tells how many connections there are, and how many there were at most.
func (in *Intake) Clients() (now, peak int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.clients), in.peak
}

// opened makes room for a connection over the bound by closing the one that has been quiet for the longest, which a
// client takes for an idle connection's end.
func (in *Intake) opened(conn *nbio.Conn) {
	c := &Client{intake: in, conn: conn}
	conn.SetSession(c)
	in.mu.Lock()
	var oldest *Client
	if len(in.clients) >= in.most {
		for o := range in.clients {
			if o.quiet() && (oldest == nil || o.turn < oldest.turn) {
				oldest = o
			}
		}
		delete(in.clients, oldest)
	}
	in.clock++
	c.turn = in.clock
	in.clients[c] = struct{}{}
	in.peak = max(in.peak, len(in.clients))
	in.mu.Unlock()
	if oldest != nil {
		oldest.conn.Close()
	}
}

func (in *Intake) closed(c *Client) {
	c.gone.Store(true)
	in.mu.Lock()
	delete(in.clients, c)
	in.mu.Unlock()
}

func (in *Intake) data(c *Client, b []byte) {
	in.mu.Lock()
	in.clock++
	c.turn = in.clock
	in.mu.Unlock()
	if c.mute {
		return
	}
	err := c.reader.Feed(b, func(args [][]byte) error {
		c.asked.Add(1)
		in.desk.Ask(command(c, args))
		return nil
	})
	c.partial.Store(c.reader.Waiting() > 0)
	if err != nil {
		c.mute = true
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
	p := &Paper{Key: key, ID: string(args[2]), Body: bytes.Clone(args[4]), Left: -1, Came: time.Now()}
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
		case "t":
			p.Tenant = value
		case "r", "again", "":
		default:
			p.Unknown = name
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
	c.asked.Add(-1)
	c.intake.mu.Lock()
	leaving := c.intake.leaving
	c.intake.mu.Unlock()
	if last || leaving && c.quiet() {
		c.conn.Close()
	}
	return err == nil
}
