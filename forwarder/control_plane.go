package forwarder

import (
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/discovery"
	"spanflow/internal/notify"
	"spanflow/transport"
)

// controlPlane is a discovery service that also receives the notices, at the same address. It implements
// transport.EndpointSource, transport.Notifier and transport.Reconfigurable.
type controlPlane struct {
	endpoints *discovery.Client
	notices   *notify.Client
}

func newControlPlane(d *dial.Dialer, addr string, connectTimeout time.Duration, queue *eventQueue) *controlPlane {
	return &controlPlane{
		endpoints: discovery.New(d, addr, connectTimeout, queue),
		notices:   notify.New(d, addr, connectTimeout, queue),
	}
}

// Watch requests the changes since a revision from discovery.
func (c *controlPlane) Watch(revision int64) { c.endpoints.Watch(revision) }

// LastLine returns when the last line arrived on the open watch; see discovery.Client.
func (c *controlPlane) LastLine() time.Time { return c.endpoints.LastLine() }

// Notify queues a final answer to be sent as a notice.
func (c *controlPlane) Notify(notice transport.FinalAnswer) { c.notices.Notify(notice) }

// Reconfigure switches to another address. Unacknowledged notices are sent there, and the list is watched there from
// the given revision.
func (c *controlPlane) Reconfigure(addr string, revision int64) {
	c.notices.Reconfigure(addr, revision)
	c.endpoints.Reconfigure(addr, revision)
}

// Stop closes both connections.
func (c *controlPlane) Stop() {
	c.endpoints.Stop()
	c.notices.Stop()
}
