// Package upstream sends calls to endpoints over HTTP/1.1 and reports how each call ended. It makes no decisions: the
// scheduler chooses the endpoint of each call and acts on its result.
//
// Each call has a connection of its own, which ends with the call. An HTTP/1.1 answer does not name the request that it
// belongs to. On a connection that carried another call before, a second copy of that call's answer, or other bytes that
// arrive late, cannot be told from the answer to the call in progress.
//
// A call is encoded and sent once its connection is established. Until then it can be cancelled, as a whole or by message,
// and what has expired meanwhile is left out of it. That a call is sent, and that a message is cancelled, are decided under
// one lock, so that no message is both.
//
// This lock, Client.mu, guards the client and all its connections. It must be taken before the lock of a dial.Conn.
package upstream

import (
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/internal/membudget"
	"spanflow/transport"
)

const (
	maxAnswerBytes    = 64 << 10         // limit of an answer's body
	unreadBufferBytes = 4 << 10          // size of a read from a connection whose call is about to time out
	dataDeliveryTime  = time.Millisecond // time allowed for bytes already read to reach connection.Data
)

// Settings are the client's connect timeout and the names of the load report fields that it reads.
type Settings struct {
	ConnectTimeout time.Duration // limit for establishing a connection
	LimitField     string        // load report field with the limit in calls per second
	ShareField     string        // load report field with the remaining share of the limit

	Memory *membudget.Account // of the bodies of answers; nil means unlimited
}

// Client manages the calls to all endpoints and their connections. It is safe for concurrent use.
type Client struct {
	dialer   *dial.Dialer
	results  transport.ResultListener
	settings Settings

	mu sync.Mutex
	// open is the set of connections with a call.
	open map[*connection]struct{}
}

// New returns a client without connections. It reports the end of each call to results. It dials through d, which the
// caller has to stop.
func New(d *dial.Dialer, results transport.ResultListener, settings Settings) *Client {
	return &Client{dialer: d, results: results, settings: settings, open: map[*connection]struct{}{}}
}

// Send starts a call on a new connection to its endpoint. The call belongs to the client until its result has been reported
// to the listener.
func (cl *Client) Send(call *transport.Call) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c := &connection{
		client:    cl,
		reader:    http1.Reader{MaxBody: maxAnswerBytes},
		answer:    answer{keepBody: len(call.Messages) > 1, memory: cl.settings.Memory},
		call:      call,
		startedAt: time.Now(),
	}
	c.conn = cl.dialer.Dial(call.Address, cl.settings.ConnectTimeout, c)
	c.timer = time.AfterFunc(call.Timeout, c.timedOut)
	cl.open[c] = struct{}{}
}

// CancelUnsent implements transport.Upstream.
func (cl *Client) CancelUnsent(endpointID uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for c := range cl.open {
		if c.call.EndpointID == endpointID && !c.begun {
			c.conn.Close()
			c.finish(c.sameCodes(transport.ResultCancelled), "")
		}
	}
}

// CancelMessage implements transport.Upstream.
func (cl *Client) CancelMessage(messageID uint64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for c := range cl.open {
		if !c.begun && c.removeMessage(messageID) {
			return true
		}
	}
	return false
}
