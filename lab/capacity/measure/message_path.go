package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"spanflow/lab/load"
)

var (
	pathCPU       = quantity{"processor time in a second", "messages a second", "s"}
	pathBodyCPU   = quantity{"processor time of a message", "bytes of body", "s"}
	pathBytesIn   = quantity{"bytes between client and forwarder for a message", "bytes of body", "bytes"}
	pathBytesOut  = quantity{"bytes between forwarder and target for a message", "bytes of body", "bytes"}
	pathBodySizes = []int{100, 300, 1000, 3000, 10_000, 30_000}
)

const (
	pathEndpoints     = 8
	pathClients       = 32
	pathSeconds       = 2.0 // duration of the load in seconds
	quickSeconds      = 0.1
	pathDisk          = 512_000_000
	pathBody          = 400  // bytes of a body while rates are varied
	pathRate          = 300  // messages a second while body sizes are varied
	deliveredFraction = 0.98 // minimum fraction of the submitted messages that must be delivered
	answerTimeout     = 5 * time.Second
	deliveryTimeout   = 10 * time.Second
)

// measureMessagePath measures the path of a message through a forwarder, from a client through the write-ahead log to
// an endpoint that answers at once.
func measureMessagePath(t *trial) error {
	err := t.sweep("rates", 0.5, constantTime, sizes(t.Largest), func(rate int) error { return t.path(rate, pathBody, t.recordRate) })
	if err != nil {
		return err
	}
	return t.sweep("bodies", 0.5, constantTime, pathBodySizes, func(body int) error { return t.path(pathRate, body, t.recordBody) })
}

// traffic describes the messages of one load and their cost for the forwarder.
type traffic struct {
	body      int     // bytes of each message's body
	delivered float64 // number of messages
	seconds   float64
	cpu       float64 // the forwarder's processor time in seconds
	in, out   float64 // bytes between clients and forwarder, and between forwarder and endpoints
	slowest   float64 // longest time in seconds from the intended submission of a message to its answer
}

func (t *trial) recordRate(w traffic) {
	t.record(pathCPU, w.delivered/w.seconds, w.cpu/w.seconds)
}

func (t *trial) recordBody(w traffic) {
	t.record(pathBodyCPU, float64(w.body), w.cpu/w.delivered)
	t.record(pathBytesIn, float64(w.body), w.in/w.delivered)
	t.record(pathBytesOut, float64(w.body), w.out/w.delivered)
}

// path starts a forwarder, loads it a few times and records the load that took the least processor time per message.
func (t *trial) path(rate, body int, record func(traffic)) error {
	endpoints, err := newEndpointServers(pathEndpoints)
	if err != nil {
		return err
	}
	defer endpoints.close()
	p, err := t.start(&configuration{destinations: pathEndpoints, endpoints: endpoints.addresses, disk: pathDisk})
	if err != nil {
		return err
	}
	defer p.kill()
	var least traffic
	_, err = t.bestOf(func() (float64, error) {
		w, err := t.load(p, endpoints, rate, body)
		if err != nil {
			return 0, err
		}
		if perMessage := w.cpu / w.delivered; least.delivered == 0 || perMessage < least.cpu/least.delivered {
			least = w
		}
		return w.cpu, nil
	})
	if err == nil {
		record(least)
	}
	return err
}

// load submits messages at a rate for the usual duration and waits until they are delivered.
func (t *trial) load(p *process, endpoints *endpointServers, rate, body int) (traffic, error) {
	if t.quick {
		return t.loadFor(p, endpoints, rate, body, quickSeconds)
	}
	return t.loadFor(p, endpoints, rate, body, pathSeconds)
}

// loadFor is load with a duration in seconds.
func (t *trial) loadFor(p *process, endpoints *endpointServers, rate, body int, duration float64) (w traffic, err error) {
	var in atomic.Int64
	run := load.Run{Addr: p.listen, Connections: pathClients, Timeout: answerTimeout, TimeToLive: 60, Bytes: body,
		Prefix: fmt.Sprintf("%x-", time.Now().UnixNano()),
		Dial: func() (net.Conn, error) {
			c, err := net.DialTimeout("tcp", p.listen, answerTimeout)
			return &countedConn{c, &in}, err
		}}
	random := rand.New(rand.NewPCG(t.Seed, 1))
	source := &load.Generator{Arrivals: load.Even(load.Shape{{Rate: float64(rate)}}, duration), Random: random, DestinationPicker: load.Zipf(pathEndpoints, 0),
		Types: []string{heldType}}
	for i := range pathEndpoints {
		source.Destinations = append(source.Destinations, uint64(i+1))
	}
	cpu, err := processorTimeOf(p.pid())
	if err != nil {
		return w, err
	}
	calls, out, began := endpoints.calls.Load(), endpoints.bytes.Load(), time.Now()
	report, err := run.Do(t.ctx, source)
	if err != nil {
		return w, err
	}
	accepted := int64(report.Answers["ok"])
	for deadline := time.Now().Add(deliveryTimeout); endpoints.calls.Load()-calls < accepted && time.Now().Before(deadline); {
		if err := t.pause(pollInterval); err != nil {
			return w, err
		}
	}
	w = traffic{body: body, delivered: float64(endpoints.calls.Load() - calls), seconds: time.Since(began).Seconds(),
		in: float64(in.Load()), out: float64(endpoints.bytes.Load() - out), slowest: report.Intended.Max}
	after, err := processorTimeOf(p.pid())
	w.cpu = after - cpu
	if err == nil && w.delivered < deliveredFraction*float64(report.Sent) {
		err = fmt.Errorf("%d messages were submitted at %d a second and %.0f delivered; answers %v", report.Sent, rate, w.delivered, report.Answers)
	}
	return w, err
}

// endpointServers are the servers of several endpoints, which answer each call at once.
type endpointServers struct {
	addresses []string
	servers   []*http.Server
	calls     atomic.Int64
	bytes     atomic.Int64 // in both directions
}

func newEndpointServers(number int) (*endpointServers, error) {
	t := &endpointServers{}
	for range number {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.close()
			return nil, err
		}
		s := &http.Server{Handler: http.HandlerFunc(t.answer)}
		t.addresses, t.servers = append(t.addresses, l.Addr().String()), append(t.servers, s)
		go s.Serve(countedListener{l, &t.bytes})
	}
	return t, nil
}

func (t *endpointServers) answer(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.WriteHeader(http.StatusOK)
	t.calls.Add(1)
}

func (t *endpointServers) close() {
	for _, s := range t.servers {
		s.Close()
	}
}

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection, which counts its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.bytes}, nil
}

// countedConn counts the bytes of one connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes that it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes that it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
