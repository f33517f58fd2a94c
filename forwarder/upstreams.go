package forwarder

import (
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/membudget"
	"spanflow/internal/upstream"
	"spanflow/transport"
)

// Upstream configures one upstream: a way to call endpoints.
type Upstream struct {
	Name           string
	Protocol       string  // see Config.UpstreamProtocols
	ConnectTimeout float64 // seconds; 0 means the default
}

// UpstreamProtocol creates an upstream that reports the results of calls to the listener.
type UpstreamProtocol func(d *dial.Dialer, s UpstreamSettings, listener transport.ResultListener) transport.Upstream

// UpstreamSettings are the settings common to upstreams of all protocols.
type UpstreamSettings struct {
	ConnectTimeout     time.Duration // limit on the time to establish a connection
	ReportedLimitField string        // the field of a load report with the endpoint's limit
	ReportedShareField string        // the field with the share of that limit that is left

	memory *membudget.Budget // has the account of what endpoints answer
}

// upstreamProtocols are the protocols built into this package. To add one, write a package for it and add a line here
// or, in a program that embeds this package, an entry in its Config.
var upstreamProtocols = map[string]UpstreamProtocol{"http": newHTTP}

// HasUpstreamProtocol reports whether an upstream protocol is built into this package.
func HasUpstreamProtocol(name string) bool { return upstreamProtocols[name] != nil }

// upstreamProtocol returns the protocol with a name, or nil if it is unknown. Protocols of an embedding program take
// precedence.
func (c *Config) upstreamProtocol(name string) UpstreamProtocol {
	if p := c.UpstreamProtocols[name]; p != nil {
		return p
	}
	return upstreamProtocols[name]
}

func newHTTP(d *dial.Dialer, s UpstreamSettings, listener transport.ResultListener) transport.Upstream {
	return upstream.New(d, listener, upstream.Settings{
		ConnectTimeout: s.ConnectTimeout,
		LimitField:     s.ReportedLimitField,
		ShareField:     s.ReportedShareField,
		Memory:         s.memory.EndpointAnswers,
	})
}
