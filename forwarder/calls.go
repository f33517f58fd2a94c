package forwarder

import (
	"fmt"
	"slices"
	"time"

	"spanflow/internal/dial"
	"spanflow/scheduler"
	"spanflow/transport"
)

// callBatch holds the upstreams, and the calls of the current turn until they are sent.
type callBatch struct {
	upstreams map[string]transport.Upstream // upstreams by name
	pending   []pendingCall
	cancelled []*trackedMessage // taken out of their calls in this turn
}

// pendingCall is a call that has not been sent yet, so messages can still be added to it.
type pendingCall struct {
	upstream transport.Upstream
	first    *scheduler.Message // its first message
	call     *transport.Call
}

const (
	maxConnectTimeout = 30 * time.Second
	defaultUpstream   = "http" // both its name and its protocol
)

// add adds a message to the pending call in which the scheduler has put it, or begins that call. The timeout is that of the
// call.
func (b *callBatch) add(m *trackedMessage, to *trackedEndpoint, timeout time.Duration) {
	for i := range b.pending {
		if pending := &b.pending[i]; m.scheduled.InCallWith(pending.first) {
			pending.call.Messages = append(pending.call.Messages, m.Message)
			return
		}
	}
	call := newCall(m, to)
	call.Timeout = timeout
	b.pending = append(b.pending, pendingCall{to.upstream, m.scheduled, call})
}

// newCall returns a call to an endpoint with one message.
func newCall(m *trackedMessage, to *trackedEndpoint) *transport.Call {
	return &transport.Call{EndpointID: to.scheduled.ID, Address: to.address, Messages: []transport.Message{m.Message}}
}

func (b *callBatch) send() {
	for i := range b.pending {
		b.pending[i].upstream.Send(b.pending[i].call)
	}
	clear(b.pending)
	b.pending = b.pending[:0]
}

// upstreamOf returns the upstream for endpoints of a kind.
func (loop *eventLoop) upstreamOf(kind string) transport.Upstream {
	if upstream := loop.calls.upstreams[loop.config.KindUpstream[kind]]; upstream != nil {
		return upstream
	}
	return loop.calls.upstreams[defaultUpstream]
}

// connect opens the configured upstreams, the source of the endpoint list and the notifier.
func (loop *eventLoop) connect(dialer *dial.Dialer) error {
	timeout := time.Duration(loop.config.Names.Connect * float64(time.Second))
	if timeout <= 0 {
		timeout = maxConnectTimeout
	}
	if err := loop.openUpstreams(dialer, timeout); err != nil {
		return err
	}
	loop.openDiscovery(dialer, timeout)
	return nil
}

// openUpstreams opens the configured upstreams, and the default upstream unless one of its name is configured.
func (loop *eventLoop) openUpstreams(dialer *dial.Dialer, connectTimeout time.Duration) error {
	config := loop.config
	loop.calls.upstreams = map[string]transport.Upstream{}
	fallback := Upstream{Name: defaultUpstream, Protocol: defaultUpstream}
	for _, u := range append(slices.Clone(config.Upstreams), fallback) {
		if loop.calls.upstreams[u.Name] != nil { // a configured upstream replaces the default one
			continue
		}
		open := config.upstreamProtocol(u.Protocol)
		if open == nil {
			return fmt.Errorf("outlets: %s: unknown protocol %q", u.Name, u.Protocol)
		}
		loop.calls.upstreams[u.Name] = open(dialer, loop.upstreamSettings(u, connectTimeout), loop.queue)
	}
	for kind, name := range config.KindUpstream {
		if loop.calls.upstreams[name] == nil {
			return fmt.Errorf("kinds: %s: unknown outlet %q", kind, name)
		}
	}
	return nil
}

func (loop *eventLoop) upstreamSettings(u Upstream, connectTimeout time.Duration) UpstreamSettings {
	if u.ConnectTimeout > 0 {
		connectTimeout = time.Duration(u.ConnectTimeout * float64(time.Second))
	}
	return UpstreamSettings{
		ConnectTimeout:     connectTimeout,
		ReportedLimitField: loop.config.Names.LimitField,
		ReportedShareField: loop.config.Names.ShareField,
		memory:             loop.memory,
	}
}
