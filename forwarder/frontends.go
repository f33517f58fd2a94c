package forwarder

import (
	"fmt"
	"net"

	"spanflow/internal/respserver"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Frontend configures one frontend: an address where clients are served.
type Frontend struct {
	Name               string // as the write-ahead log and log lines have it; "resp" and "" are the platform's own
	Protocol           string // see Config.FrontendProtocols
	Listen             string
	Listener           net.Listener // taken in place of Listen; nil: Listen is opened
	Connections        int          // at most; 0: an even part of what the descriptors leave
	MaxWaitingRequests int          // requests that may wait for the event loop; 0: the default
	MaxWaitingBytes    int          // of messages among those requests; 0: the default
}

// FrontendProtocol opens a frontend that passes its clients' requests to the submitter. connections is the most that it
// may hold.
type FrontendProtocol func(f Frontend, connections int, submitter transport.Submitter) (transport.Frontend, error)

// frontendProtocols come with the program. One more is a package of its own and a line here, or, for a program that
// embeds this one, an entry in its Config.
var frontendProtocols = map[string]FrontendProtocol{"resp": openRESP}

// HasFrontendProtocol reports whether the package itself has a frontend protocol.
func HasFrontendProtocol(name string) bool { return frontendProtocols[name] != nil }

// frontendProtocol is the protocol of a name, an embedding program's own first; nil: unknown.
func (c *Config) frontendProtocol(name string) FrontendProtocol {
	if p := c.FrontendProtocols[name]; p != nil {
		return p
	}
	return frontendProtocols[name]
}

func openRESP(f Frontend, connections int, submitter transport.Submitter) (transport.Frontend, error) {
	timeouts := respserver.Timeouts{FirstCommand: scheduler.CommandTimeout, Idle: scheduler.ClientIdleTimeout}
	if f.Listener != nil {
		return respserver.OpenOn(f.Listener, connections-spareConnections, connections, timeouts, submitter)
	}
	return respserver.Open(f.Listen, connections-spareConnections, connections, timeouts, submitter)
}

const (
	reservedDescriptors = 32 // for files, pollers and the like
	spareConnections    = 4  // of a frontend: left for new ones, for which old ones are closed
)

// MaxClients is how many client connections a number of descriptors allows, for all frontends together: two thirds of
// those that are not reserved. Upstreams have the others.
func MaxClients(descriptors int) int {
	available := descriptors - reservedDescriptors
	return available - available/3
}

// divideConnections divides total connections among the frontends. Those without a number of their own get even parts
// of what the others leave.
func divideConnections(frontends []Frontend, total int) ([]int, error) {
	unset, left := 0, total
	for _, f := range frontends {
		left -= f.Connections
		if f.Connections == 0 {
			unset++
		}
	}
	if left < unset*2*spareConnections {
		return nil, fmt.Errorf("fronts: their connections are more than the %d that the descriptors allow", total)
	}
	connections := make([]int, len(frontends))
	for i, f := range frontends {
		switch {
		case f.Connections == 0:
			connections[i] = left / unset
		case f.Connections <= spareConnections:
			return nil, fmt.Errorf("fronts: %s: %d connections are under the least, %d",
				f.Name, f.Connections, spareConnections+1)
		default:
			connections[i] = f.Connections
		}
	}
	return connections, nil
}

// FrontendConnections is how many connections each frontend gets; nil if their numbers do not fit the descriptors.
func (c *Config) FrontendConnections() []int {
	connections, err := divideConnections(c.Frontends, MaxClients(c.Descriptors))
	if err != nil {
		return nil
	}
	return connections
}

// frontendState holds the frontends of the event loop.
type frontendState struct {
	open    []*openFrontend // of the configuration
	leaving []*openFrontend // removed by a reload, closed once their clients have gone
}

// openFrontend is a frontend that listens, with the queue by which its requests reach the event loop.
type openFrontend struct {
	config Frontend
	transport.Frontend
	queue *admissionQueue
}

// walName is the frontend's name in the write-ahead log. The platform's own has none there, as in folders of earlier
// versions.
func (f Frontend) walName() string {
	if f.Name == "resp" {
		return ""
	}
	return f.Name
}

// openFrontends opens frontends with so many connections each, all or none.
func (loop *eventLoop) openFrontends(frontends []Frontend, connections []int) ([]*openFrontend, error) {
	var opened []*openFrontend
	for i, config := range frontends {
		queue := loop.queue.newAdmissionQueue(config.Name, config.walName(), config.MaxWaitingRequests, config.MaxWaitingBytes)
		f, err := loop.config.frontendProtocol(config.Protocol)(config, connections[i], queue)
		if err != nil {
			queue.close()
			for _, f := range opened {
				loop.closeFrontend(f)
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		opened = append(opened, &openFrontend{config, f, queue})
	}
	return opened, nil
}

// openConfiguredFrontends opens the frontends that the configuration names.
func (loop *eventLoop) openConfiguredFrontends() error {
	connections, err := divideConnections(loop.config.Frontends, MaxClients(loop.config.Descriptors))
	if err != nil {
		return err
	}
	loop.frontends.open, err = loop.openFrontends(loop.config.Frontends, connections)
	return err
}

// closeFrontends closes all frontends, also those that a reload has removed.
func (loop *eventLoop) closeFrontends() {
	for _, f := range append(loop.frontends.open, loop.frontends.leaving...) {
		loop.closeFrontend(f)
	}
}

func (loop *eventLoop) closeFrontend(f *openFrontend) {
	f.Stop()
	f.queue.close()
}

// closeDrainedFrontends closes the frontends that a reload has removed, once their clients have gone.
func (loop *eventLoop) closeDrainedFrontends() {
	kept := loop.frontends.leaving[:0]
	for _, f := range loop.frontends.leaving {
		if f.Clients() > 0 {
			kept = append(kept, f)
			continue
		}
		loop.closeFrontend(f)
	}
	loop.frontends.leaving = kept
}

// frontendAddresses are the addresses at which the configured frontends listen.
func (loop *eventLoop) frontendAddresses() []string {
	var addresses []string
	for _, f := range loop.frontends.open {
		addresses = append(addresses, f.Addr())
	}
	return addresses
}
