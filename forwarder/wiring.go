package forwarder

import (
	"fmt"
	"net"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/respserver"
	"spanflow/internal/upstream"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Frontend is what an order says of one frontend.
type Frontend struct {
	Name         string // as the write-ahead log and the log have it; "resp" and "" are the platform's own
	Protocol     string
	Listen       string
	Listener     net.Listener // handed down, taken in place of Listen; nil: Listen is opened
	Connections  int          // at most; 0: an even part of what the descriptors leave
	Waiting      int          // requests that may wait for the event loop; 0: the usual
	WaitingBytes int          // of messages among them; 0: the usual
}

// Upstream is what an order says of one upstream.
type Upstream struct {
	Name     string
	Protocol string  // of a carriage
	Connect  float64 // seconds in which a connection comes up or never does; 0: the order's
}

// FrontendProtocol opens a frontend that leaves what its callers want at the desk. most is the bound of its
// connections.
type FrontendProtocol func(f Frontend, most int, desk transport.Submitter) (transport.Frontend, error)

// UpstreamProtocol makes an upstream that reports to the counter.
type UpstreamProtocol func(d *dial.Dialer, t UpstreamSettings, counter transport.ResultListener) transport.Upstream

// UpstreamSettings is what an upstream is told.
type UpstreamSettings struct {
	Connect            time.Duration // a connection that takes longer never comes up
	KeepIdle           time.Duration // an idle connection is closed after so long
	ReportedLimitField string        // the field of a load report that tells a limit
	ReportedShareField string        // and the one that tells the share of it that is left
}

// The protocols and carriages that come with the program. A further one is a package of its own and a line here, or,
// for a program that embeds this one, in its Config.
var (
	protocols = map[string]FrontendProtocol{"resp": openRESP}
	carriages = map[string]UpstreamProtocol{"http": newHTTP}
)

func openRESP(f Frontend, most int, desk transport.Submitter) (transport.Frontend, error) {
	if f.Listener != nil {
		return respserver.OpenOn(f.Listener, most-spareClients, most, respserver.Timeouts{FirstCommand: scheduler.CommandTimeout, Idle: scheduler.ClientIdleTimeout}, desk)
	}
	return respserver.Open(f.Listen, most-spareClients, most, respserver.Timeouts{FirstCommand: scheduler.CommandTimeout, Idle: scheduler.ClientIdleTimeout}, desk)
}

func newHTTP(d *dial.Dialer, t UpstreamSettings, counter transport.ResultListener) transport.Upstream {
	return upstream.New(d, counter, upstream.Settings{Connect: t.Connect, KeepIdle: t.KeepIdle, LimitField: t.ReportedLimitField, ShareField: t.ReportedShareField})
}

// FrontendProtocols and UpstreamProtocols name what an order may ask for.
func (o *Config) protocol(name string) FrontendProtocol {
	if p := o.FrontendProtocols[name]; p != nil {
		return p
	}
	return protocols[name]
}

func (o *Config) carriage(name string) UpstreamProtocol {
	if c := o.UpstreamProtocols[name]; c != nil {
		return c
	}
	return carriages[name]
}

// HasFrontendProtocol tells if an order may name a frontend's protocol, HasUpstreamProtocol an upstream's.
func HasFrontendProtocol(name string) bool { return protocols[name] != nil }
func HasUpstreamProtocol(name string) bool { return carriages[name] != nil }

const (
	descriptors  = 32 // for files, pollers and the like
	spareClients = 4  // connections that are closed to make room while as many come
)

// MaxClients is how many connections of clients an order's descriptors allow, all frontends together.
func MaxClients(descriptorsInAll int) int {
	room := descriptorsInAll - descriptors
	return room - room/3
}

// shares is how many connections each frontend gets.
func shares(fronts []Frontend, total int) ([]int, error) {
	even, left := 0, total
	for _, f := range fronts {
		if left -= f.Connections; f.Connections == 0 {
			even++
		}
	}
	if left < even*2*spareClients {
		return nil, fmt.Errorf("fronts: their connections are more than the %d that the descriptors allow", total)
	}
	most := make([]int, len(fronts))
	for i, f := range fronts {
		if most[i] = f.Connections; most[i] == 0 {
			most[i] = left / even
		} else if most[i] <= spareClients {
			return nil, fmt.Errorf("fronts: %s: %d connections are under the least, %d", f.Name, most[i], spareClients+1)
		}
	}
	return most, nil
}

// ConnectionShares is how many connections each of an order's frontends gets, nil if they do not fit.
func (o *Config) ConnectionShares() []int {
	most, _ := shares(o.Frontends, MaxClients(o.Sockets))
	return most
}

// listener is an open frontend with its way in.
type listener struct {
	terms Frontend
	transport.Frontend
	gate *admissionQueue
}

// label is how the write-ahead log names a frontend. The platform's own has no name there, as in folders of earlier
// programs.
func (f Frontend) label() string {
	if f.Name == "resp" {
		return ""
	}
	return f.Name
}

// open opens frontends with so many connections at most each, all or none.
func (loop *eventLoop) openFrontends(fronts []Frontend, most []int) ([]*listener, error) {
	var open []*listener
	for i, f := range fronts {
		g := loop.queue.newAdmissionQueue(f.Name, f.label(), f.Waiting, f.WaitingBytes)
		front, err := loop.config.protocol(f.Protocol)(f, most[i], g)
		if err != nil {
			g.close()
			for _, l := range open {
				loop.closeFrontend(l)
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		open = append(open, &listener{f, front, g})
	}
	return open, nil
}

// openFronts opens the order's frontends.
func (loop *eventLoop) openConfiguredFrontends() error {
	most, err := shares(loop.config.Frontends, MaxClients(loop.config.Sockets))
	if err != nil {
		return err
	}
	loop.frontends.open, err = loop.openFrontends(loop.config.Frontends, most)
	return err
}

// closeFronts closes all frontends, also those that have gone from the order.
func (loop *eventLoop) closeAllFrontends() {
	for _, l := range append(loop.frontends.open, loop.frontends.leaving...) {
		loop.closeFrontend(l)
	}
}

func (loop *eventLoop) closeFrontend(l *listener) {
	l.Stop()
	l.gate.close()
}

// static is a list that an order has itself: nothing is watched.
type static struct {
	board transport.EndpointListener
	list  transport.EndpointList
}

// WatchEndpoints tells the whole list.
func (s *static) Watch(int64) {
	list := s.list
	s.board.EndpointsUpdated(&list)
}

func (s *static) Stop() {}
