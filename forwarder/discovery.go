package forwarder

import (
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/discovery"
	"spanflow/internal/notify"
	"spanflow/transport"
)

// discoveryState is the source of the endpoint list, and how much of the list has been received.
type discoveryState struct {
	source       transport.EndpointSource
	movable      transport.Reconfigurable // the source, if it is a discovery service
	static       *staticEndpoints         // the source, if it is a list of the configuration
	revision     int64                    // of the present list
	listReceived bool                     // a list has come from the source since the start
}

// listMemoryFraction is the fraction of the memory that one object of the list may take as text: what an endpoint takes
// in memory is some eight times its text, so that a longer list would not fit.
const listMemoryFraction = 16

// maxListBytes is the bound of one object of the watch, in bytes.
func (c *Config) maxListBytes() int {
	if c.ListBytes > 0 {
		return c.ListBytes
	}
	return max(discovery.DefaultMaxObjectBytes, c.MemoryMB<<20/listMemoryFraction)
}

// openDiscovery opens the source of the list, discovery or a list of the configuration, and the notifier.
func (loop *eventLoop) openDiscovery(dialer *dial.Dialer, connectTimeout time.Duration) {
	config := loop.config
	if config.Discovery != "" {
		client := newControlPlane(dialer, config.Discovery, connectTimeout, loop.queue)
		client.endpoints.MaxObjectBytes = config.maxListBytes()
		loop.discovery.source, loop.discovery.movable = client, client
		if config.noticeAddress == "" {
			loop.notices.notifier = client
		}
	} else {
		loop.discovery.static = &staticEndpoints{listener: loop.queue}
		if config.StaticEndpoints != nil {
			loop.discovery.static.list = *config.StaticEndpoints
		}
		config.LastEndpoints = loop.discovery.static.list
		loop.discovery.source = loop.discovery.static
	}
	if config.noticeAddress != "" {
		client := notify.New(dialer, config.noticeAddress, connectTimeout, loop.queue)
		loop.notices.notifier, loop.notices.movable = client, client
	}
}

// handleWatchEnd informs the scheduler that changes of the list no longer arrive.
func (loop *eventLoop) handleWatchEnd(end watchEnded) {
	loop.telemetry.log.Warn().Str("reason", end.reason).Msg("watch ended")
	switch end.how {
	case transport.WatchSilent:
		loop.scheduler.WatchSilent()
	case transport.WatchTimeout:
		loop.scheduler.PollTimedOut()
	default:
		loop.scheduler.WatchBroken()
	}
}
