// Package intake serves clients: it reads their commands and writes the answers. It chooses nothing.
package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
	"spanflow/seam"
)

// Client is one connection.
type Client struct {
	intake  *Intake
	conn    *nbio.Conn
	reading sync.Mutex // held while something is read: what is closed meanwhile may have been read and never answered
	reader  resp.Reader
	asked   atomic.Int32 // commands without an answer
	partial atomic.Bool  // a command is read in part
	gone    atomic.Bool
	mute    atomic.Bool // what came could not be understood: nothing more is read
	spilled int         // bytes that came after that

	// Under the intake's lock:
	spoke bool      // a whole command has come
	born  time.Time // when the connection came
	last  time.Time // when something came last, or the connection
	since time.Time // when the command that is read in part began
	ends  time.Time // told its last answer: closed from then on
}

// quiet tells that closing the connection takes no answer from anybody, as long as nothing is read meanwhile.
func (c *Client) quiet() bool { return c.asked.Load() == 0 && !c.partial.Load() }

// end closes the connection if it is quiet still and nothing is being read from it. Guards against a command that is
// read between the question and the close, whose caller would never be answered; one that waits unread in the socket
// is the client's to send once more. A connection that is read from just then is asked about again by its reader.
func (c *Client) end() bool {
	if !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	if !c.quiet() {
		return false
	}
	c.conn.Close()
	return true
}

// awaitReader returns once nothing is being read from the connection.
func (c *Client) awaitReader() {
	c.reading.Lock()
	defer c.reading.Unlock()
}

// Patience is how long connections without an open command are kept, in seconds.
type Patience struct {
	Silent float64 // without a whole command, or with one that does not go on
	Quiet  float64 // between commands
}

// Intake holds the clients' connections.
type Intake struct {
	engine   *nbio.Engine
	desk     seam.Desk
	patience Patience
	most     int // from here on one without a command, else the longest quiet one, is closed for each new one
	hard     int // from here on new ones are turned away unread, so that descriptors do not run out
	mu       sync.Mutex
	clients  map[*Client]struct{}
	leaving  bool
	halted   bool // nothing more is read
	stop     chan struct{}
	counts   seam.Tally
	ln       net.Listener
}

// door is the listener; it turns connections away before nbio knows of them.
type door struct {
	net.Listener
	intake *Intake
}

const (
	acceptPause = 20 * time.Millisecond // after a failed accept, for want of descriptors say
	stopWithin  = 200 * time.Millisecond
	sweepEvery  = 100 * time.Millisecond
	lingers     = 200 * time.Millisecond // after the last answer, so that it is read before the connection ends
	mostSpilled = 1 << 20                // bytes that are passed over while it lingers
	readBuffer  = 72 << 10
	readsATime  = 8 // of one connection, while others wait
	haltedPause = 5 * time.Millisecond
)

func (d door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				<-d.intake.stop // shut: the connections that there are go on
			}
			time.Sleep(acceptPause)
			return nil, err
		}
		if d.intake.welcome() {
			return c, nil
		}
		c.Close()
	}
}

// Open listens at an address; most and hard bound the connections.
func Open(addr string, most, hard int, patience Patience, desk seam.Desk) (*Intake, error) {
	return open(addr, net.Listen, most, hard, patience, desk)
}

// OpenOn takes connections by a socket that listens already, such as one handed down by the platform, which other
// processes may share: the connections are taken from the time of the call on.
func OpenOn(l net.Listener, most, hard int, patience Patience, desk seam.Desk) (*Intake, error) {
	return open(l.Addr().String(), func(string, string) (net.Listener, error) { return l, nil }, most, hard, patience, desk)
}

func open(addr string, listen func(network, addr string) (net.Listener, error), most, hard int, patience Patience,
	desk seam.Desk) (*Intake, error) {
	in := &Intake{desk: desk, patience: patience, most: most, hard: hard, clients: map[*Client]struct{}{},
		stop: make(chan struct{})}
	in.engine = nbio.NewEngine(nbio.Config{Name: "intake", Network: "tcp", Addrs: []string{addr}, NPoller: 1,
		ReadBufferSize: 1, MaxWriteBufferSize: 256 << 10,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := listen(network, addr)
			in.ln = l
			return door{l, in}, err
		}})
	in.engine.OnOpen(in.opened)
	in.engine.OnClose(func(c *nbio.Conn, _ error) {
		if cl, ok := c.Session().(*Client); ok {
			in.closed(cl)
		}
	})
	buffer := make([]byte, readBuffer) // there is one poller
	in.engine.OnRead(func(c *nbio.Conn) {
		if cl, ok := c.Session().(*Client); ok {
			in.read(cl, buffer)
		}
	})
	if err := in.engine.Start(); err != nil {
		return nil, err
	}
	go in.watch()
	return in, nil
}

// Addr is where the intake listens.
func (in *Intake) Addr() string { return in.engine.Addrs[0] }

// Shut takes no new connections; those that there are go on.
func (in *Intake) Shut() { in.ln.Close() }

// Stop ends all connections and stops listening.
func (in *Intake) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	close(in.stop)
	in.engine.Shutdown(ctx)
}

func (in *Intake) watch() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-in.stop:
			return
		case now := <-tick.C:
			in.sweep(now)
		}
	}
}

// sweep ends connections that have had their last answer or have been without an open command for too long, and says
// so to those that stopped within one.
func (in *Intake) sweep(now time.Time) {
	var over, late []*Client
	before := func(t time.Time, seconds float64) bool { return now.Sub(t).Seconds() > seconds }
	stuck := func(c *Client) bool {
		return c.partial.Load() && (before(c.since, in.patience.Silent) || !c.spoke && before(c.born, in.patience.Silent))
	}
	in.mu.Lock()
	for c := range in.clients {
		switch {
		case !c.ends.IsZero():
			if now.After(c.ends) {
				over = append(over, c)
			}
		case c.mute.Load() || c.asked.Load() > 0:
		case in.leaving && c.spoke && !c.partial.Load(): // its answer and its reader each left the close to the other
			over = append(over, c)
		case c.partial.Load():
			if stuck(c) {
				late = append(late, c)
			}
		case !c.spoke && before(c.last, in.patience.Silent):
			in.counts.Silent++
			over = append(over, c)
		case before(c.last, in.patience.Quiet):
			in.counts.Quiet++
			over = append(over, c)
		}
	}
	in.mu.Unlock()
	for _, c := range over {
		if c.mute.Load() { // it has had its last answer
			c.conn.Close()
		} else {
			c.end()
		}
	}
	for _, c := range late {
		// Guards against a command whose rest is being read just now: it would be refused and then taken on as well.
		if !c.reading.TryLock() {
			continue
		}
		in.mu.Lock()
		still := c.asked.Load() == 0 && stuck(c)
		if still {
			in.counts.Stuck++
		}
		in.mu.Unlock()
		if still {
			c.refuse("ERR the command did not go on in time")
		}
		c.reading.Unlock()
	}
}

// refuse leaves a connection's last answer at the desk and reads nothing more.
func (c *Client) refuse(why string) {
	if c.mute.CompareAndSwap(false, true) {
		c.asked.Add(1)
		c.intake.desk.Ask(seam.Asked{From: c, Why: why, Last: true})
	}
}

// Leave closes each connection as soon as it has no command without an answer, so that clients go elsewhere.
func (in *Intake) Leave() {
	in.mu.Lock()
	in.leaving = true
	all := slices.Collect(maps.Keys(in.clients))
	in.mu.Unlock()
	for _, c := range all {
		c.end()
	}
}

// Halt reads nothing more, from any connection. When it returns, whatever was read is at the desk; what is not read is
// its client's to send once more.
func (in *Intake) Halt() {
	in.mu.Lock()
	in.halted = true
	all := slices.Collect(maps.Keys(in.clients))
	in.mu.Unlock()
	for _, c := range all {
		c.awaitReader()
	}
}

// Stay keeps connections again after Leave, as they were before.
func (in *Intake) Stay() {
	in.mu.Lock()
	in.leaving = false
	in.mu.Unlock()
}

// Clients tells how many connections there are.
func (in *Intake) Clients() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.clients)
}

// Tally tells what became of connections.
func (in *Intake) Tally() seam.Tally {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counts.Now = len(in.clients)
	return in.counts
}

// welcome counts a connection that comes and tells if there is room for it.
func (in *Intake) welcome() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counts.Came++
	if len(in.clients) < in.hard {
		return true
	}
	in.counts.Turned++
	return false
}

// What closes first to make room. One that was served comes before one that was not yet: its client takes the end of an
// idle connection as such, while the first command of the other, which may be slow to come, would be lost.
const (
	told   = iota // it has had its last answer
	quiet         // between commands
	silent        // no whole command since it came
	busy          // never
)

func (c *Client) rank() int {
	switch {
	case !c.ends.IsZero():
		return told
	case c.asked.Load() > 0 || c.spoke && c.partial.Load():
		return busy
	case c.spoke:
		return quiet
	}
	return silent
}

// opened makes room for a connection over the bound by closing another: the one first by rank, then the one from which
// nothing has come for the longest.
func (in *Intake) opened(conn *nbio.Conn) {
	now := time.Now()
	c := &Client{intake: in, conn: conn, born: now, last: now}
	conn.SetSession(c)
	in.mu.Lock()
	var oldest *Client
	if len(in.clients) >= in.most {
		for o := range in.clients {
			if oldest == nil || o.rank() < oldest.rank() ||
				o.rank() == oldest.rank() && o.last.Before(oldest.last) {
				oldest = o
			}
		}
		if rank := oldest.rank(); rank == busy {
			oldest = nil
		} else {
			in.counts.ForRoom[rank]++
		}
	}
	in.mu.Unlock()
	if oldest != nil && oldest.mute.Load() {
		oldest.conn.Close()
	} else if oldest != nil && !oldest.end() { // a command came just now: it stays, over the bound
		oldest = nil
	}
	in.mu.Lock()
	delete(in.clients, oldest) // only now: Halt waits for all that may still be read from
	in.clients[c] = struct{}{}
	in.counts.Most = max(in.counts.Most, len(in.clients))
	in.mu.Unlock()
}

func (in *Intake) closed(c *Client) {
	c.gone.Store(true)
	in.mu.Lock()
	delete(in.clients, c)
	in.mu.Unlock()
}

// read takes what a connection has; while it does, nobody else closes it.
func (in *Intake) read(c *Client, buffer []byte) {
	_, halted := in.state()
	if halted { // the process ends within moments
		time.Sleep(haltedPause)
		return
	}
	c.reading.Lock()
	_, halted = in.state() // asked again: Halt may have passed between the two lines
	var err error
	for n, i := len(buffer), 0; i < readsATime && n == len(buffer) && !halted; i++ {
		for n, err = c.conn.Read(buffer); errors.Is(err, syscall.EINTR); {
			n, err = c.conn.Read(buffer)
		}
		if n == 0 && err == nil {
			err = io.EOF
		}
		if n > 0 {
			in.data(c, buffer[:n])
		}
	}
	c.reading.Unlock()
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		c.conn.CloseWithError(err)
		return
	}
	if leaving, _ := in.state(); leaving {
		c.end()
	}
}

func (in *Intake) state() (leaving, halted bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.leaving, in.halted
}

func (in *Intake) data(c *Client, b []byte) {
	if c.mute.Load() {
		if c.spilled += len(b); c.spilled > mostSpilled {
			c.conn.Close()
		}
		return
	}
	now, whole := time.Now(), false
	err := c.reader.Feed(b, func(args [][]byte) error {
		whole = true
		c.asked.Add(1)
		in.desk.Ask(command(c, args))
		return nil
	})
	in.mu.Lock()
	c.last, c.spoke = now, c.spoke || whole
	if whole || !c.partial.Load() {
		c.since = now
	}
	in.mu.Unlock()
	c.partial.Store(c.reader.Waiting() > 0)
	if err != nil {
		c.refuse("ERR " + err.Error())
	}
}

func command(c *Client, args [][]byte) seam.Asked {
	a := seam.Asked{From: c}
	switch name := strings.ToUpper(string(args[0])); name {
	case "PING":
		a.Alive = true
	case "MSG.PUT":
		p, err := put(args)
		if a.Paper = p; err != nil {
			a.Paper, a.Why = nil, "ERR "+err.Error()
		}
	default:
		a.Why = "ERR unknown command"
	}
	return a
}

const mostLeft = 86_400_000 // milliseconds

// plain tells that a word can travel in the head of a call.
func plain(word string) bool {
	for i := range len(word) {
		if word[i] <= ' ' || word[i] >= 0x7f {
			return false
		}
	}
	return true
}

var errPut = errors.New("MSG.PUT takes a key, an id, names with values, and a body")

func put(args [][]byte) (*seam.Handed, error) {
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
	if !plain(string(args[2])) {
		return nil, errors.New("the id holds bytes that it may not")
	}
	p := &seam.Handed{Key: key, ID: string(args[2]), Body: bytes.Clone(args[4]), Left: -1, Came: time.Now()}
	dest := false
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			p.Type = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0 && ms < mostLeft) || strings.Trim(value, "0123456789.") != "" {
				return nil, errors.New("d is not a time in milliseconds")
			}
			p.Left = ms / 1000
		case "dest":
			if p.Dest, err = strconv.ParseUint(value, 10, 32); err != nil {
				return nil, errors.New("dest is not a number")
			}
			dest = true
		case "k":
			if p.Mark = value; !plain(value) || len(value) > 128 {
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
func (c *Client) Answer(r seam.Reply) bool {
	_, err := c.conn.Write(line(r))
	c.asked.Add(-1)
	c.intake.mu.Lock()
	leaving := c.intake.leaving
	if r.Last {
		c.ends = time.Now().Add(lingers)
	}
	c.intake.mu.Unlock()
	if leaving && !r.Last {
		c.end()
	}
	return err == nil
}

var (
	taken = resp.Simple("OK")
	alive = resp.Simple("PONG")
)

// line is an answer as it goes over the wire.
func line(r seam.Reply) []byte {
	switch r.Word {
	case seam.Taken:
		return taken
	case seam.Alive:
		return alive
	case seam.Busy:
		return resp.Busy(r.Wait)
	case seam.Declined:
		return resp.Failure("ERR " + r.Why)
	default:
		return resp.Failure(r.Why)
	}
}
