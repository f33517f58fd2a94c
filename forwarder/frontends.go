package forwarder

import (
	"fmt"
	"net"

	"spanflow/internal/membudget"
	"spanflow/internal/respserver"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Frontend configures one frontend: an address where clients are served.
type Frontend struct {
	Name               string // name in the write-ahead log and log lines; "resp" and "" are the platform's own frontend
	Protocol           string // see Config.FrontendProtocols
	Listen             string
	Listener           net.Listener // used instead of Listen; if nil, Listen is opened
	Connections        int          // limit; 0 means an equal share of what the descriptors leave
	MaxWaitingRequests int          // limit of requests queued for the event loop; 0 means the default
	MaxWaitingBytes    int          // limit of message bodies in those requests; 0 means the default

	memory *membudget.Budget // has the accounts of what the frontend keeps for its clients
}

// FrontendProtocol opens a frontend that passes its clients' requests to the submitter. connections is the limit on its
// connections.
type FrontendProtocol func(f Frontend, connections int, submitter transport.Submitter) (transport.Frontend, error)

// frontendProtocols are the protocols built into this package. To add one, write a package for it and add a line here
// or, in a program that embeds this package, an entry in its Config.
var frontendProtocols = map[string]FrontendProtocol{"resp": openRESP}

// HasFrontendProtocol reports whether a frontend protocol is built into this package.
func HasFrontendProtocol(name string) bool { return frontendProtocols[name] != nil }

// frontendProtocol returns the protocol with a name, or nil if it is unknown. Protocols of an embedding program take
// precedence.
func (c *Config) frontendProtocol(name string) FrontendProtocol {
	if p := c.FrontendProtocols[name]; p != nil {
		return p
	}
	return frontendProtocols[name]
}

func openRESP(f Frontend, connections int, submitter transport.Submitter) (transport.Frontend, error) {
	limits := respserver.Limits{
		Soft:     connections - spareConnections,
		Hard:     connections,
		Timeouts: respserver.Timeouts{FirstCommand: scheduler.CommandTimeout, Idle: scheduler.ClientIdleTimeout},
		Memory:   respserver.Memory{Partial: f.memory.PartialCommands, Unsent: f.memory.UnsentReplies},
	}
	if f.Listener != nil {
		return respserver.OpenOn(f.Listener, limits, submitter)
	}
	return respserver.Open(f.Listen, limits, submitter)
}

const (
	reservedDescriptors = 32 // descriptors for files, pollers and the like
	spareConnections    = 4  // connections per frontend that are kept free for new clients by closing old ones
)

// MaxClients returns the limit on client connections of all frontends together for a number of descriptors: two thirds
// of those that are not reserved. The others are left to upstreams.
func MaxClients(descriptors int) int {
	available := descriptors - reservedDescriptors
	return available - available/3
}

// divideConnections divides total connections among the frontends. Those without a configured number get equal shares
// of what the others leave.
func divideConnections(frontends []Frontend, total int) ([]int, error) {
	unset, remaining := 0, total
	for _, f := range frontends {
		remaining -= f.Connections
		if f.Connections == 0 {
			unset++
		}
	}
	if remaining < unset*2*spareConnections {
		return nil, fmt.Errorf("fronts: their connections add up to more than the %d that the descriptors allow", total)
	}
	connections := make([]int, len(frontends))
	for i, f := range frontends {
		switch {
		case f.Connections == 0:
			connections[i] = remaining / unset
		case f.Connections <= spareConnections:
			return nil, fmt.Errorf("fronts: %s: %d connections are below the minimum, %d",
				f.Name, f.Connections, spareConnections+1)
		default:
			connections[i] = f.Connections
		}
	}
	return connections, nil
}

// FrontendConnections returns the limit on connections of each frontend, or nil if the configured numbers are invalid
// or exceed what the descriptors allow.
func (c *Config) FrontendConnections() []int {
	connections, err := divideConnections(c.Frontends, MaxClients(c.Descriptors))
	if err != nil {
		return nil
	}
	return connections
}

// frontendState holds the frontends of the event loop.
type frontendState struct {
	open     []*openFrontend // those that are configured
	draining []*openFrontend // removed by a reload, closed once their clients have disconnected
}

// openFrontend is a listening frontend with the queue that passes its requests to the event loop.
type openFrontend struct {
	config Frontend
	transport.Frontend
	queue *admissionQueue
}

// walName returns the frontend's name in the write-ahead log. The name of the platform's own frontend is empty there,
// as in folders of earlier versions.
func (f Frontend) walName() string {
	if f.Name == "resp" {
		return ""
	}
	return f.Name
}

// openFrontends opens frontends with the given limits on connections, either all or none.
func (loop *eventLoop) openFrontends(frontends []Frontend, connections []int) ([]*openFrontend, error) {
	var opened []*openFrontend
	for i, config := range frontends {
		queue := loop.queue.newAdmissionQueue(
			config.Name, config.walName(), config.MaxWaitingRequests, config.MaxWaitingBytes)
		opening := config
		opening.memory = loop.memory
		f, err := loop.config.frontendProtocol(config.Protocol)(opening, connections[i], queue)
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

func (loop *eventLoop) openConfiguredFrontends() error {
	connections, err := divideConnections(loop.config.Frontends, MaxClients(loop.config.Descriptors))
	if err != nil {
		return err
	}
	loop.frontends.open, err = loop.openFrontends(loop.config.Frontends, connections)
	return err
}

// closeFrontends closes all frontends, including those that a reload has removed.
func (loop *eventLoop) closeFrontends() {
	for _, f := range append(loop.frontends.open, loop.frontends.draining...) {
		loop.closeFrontend(f)
	}
}

func (loop *eventLoop) closeFrontend(f *openFrontend) {
	f.Stop()
	f.queue.close()
}

// closeDrainedFrontends closes the frontends that a reload has removed and that have no more clients.
func (loop *eventLoop) closeDrainedFrontends() {
	kept := loop.frontends.draining[:0]
	for _, f := range loop.frontends.draining {
		if f.Clients() > 0 {
			kept = append(kept, f)
			continue
		}
		loop.closeFrontend(f)
	}
	loop.frontends.draining = kept
}

// frontendAddresses returns the addresses on which the configured frontends listen.
func (loop *eventLoop) frontendAddresses() []string {
	var addresses []string
	for _, f := range loop.frontends.open {
		addresses = append(addresses, f.Addr())
	}
	return addresses
}
