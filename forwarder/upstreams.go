package forwarder

import (
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/upstream"
	"spanflow/transport"
)

// Upstream configures one upstream: a way to call endpoints.
type Upstream struct {
	Name           string
	Protocol       string  // see Config.UpstreamProtocols
	ConnectTimeout float64 // seconds after which a connection that has not come up is given up; 0: the default
}

// UpstreamProtocol makes an upstream that reports to the listener.
type UpstreamProtocol func(d *dial.Dialer, s UpstreamSettings, listener transport.ResultListener) transport.Upstream

// UpstreamSettings are the settings that every upstream gets, whatever its protocol.
type UpstreamSettings struct {
	ConnectTimeout     time.Duration // a connection that takes longer is given up
	KeepIdle           time.Duration // an idle connection is closed after so long
	ReportedLimitField string        // the field of a load report with the endpoint's limit
	ReportedShareField string        // the field with the part of that limit that is left
}

// upstreamProtocols come with the program. One more is a package of its own and a line here, or, for a program that
// embeds this one, an entry in its Config.
var upstreamProtocols = map[string]UpstreamProtocol{"http": newHTTP}

// HasUpstreamProtocol reports whether the package itself has an upstream protocol.
func HasUpstreamProtocol(name string) bool { return upstreamProtocols[name] != nil }

// upstreamProtocol is the protocol of a name, an embedding program's own first; nil: unknown.
func (c *Config) upstreamProtocol(name string) UpstreamProtocol {
	if p := c.UpstreamProtocols[name]; p != nil {
		return p
	}
	return upstreamProtocols[name]
}

func newHTTP(d *dial.Dialer, s UpstreamSettings, listener transport.ResultListener) transport.Upstream {
	return upstream.New(d, listener, upstream.Settings{
		ConnectTimeout: s.ConnectTimeout,
		IdleTimeout:    s.KeepIdle,
		LimitField:     s.ReportedLimitField,
		ShareField:     s.ReportedShareField,
	})
}
