package forwarder

import (
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/discovery"
	"spanflow/internal/notify"
	"spanflow/transport"
)

// reconfigurableSource is a source of the endpoint list whose address can be changed.
type reconfigurableSource interface {
	transport.Reconfigurable
	// LastLine returns when the last line arrived on the open watch; it is zero if none is open.
	LastLine() time.Time
}

// discoveryState holds the source of the endpoint list and the state of the list received from it.
type discoveryState struct {
	source         transport.EndpointSource
	reconfigurable reconfigurableSource // the source, if it is a discovery service
	static         *staticEndpoints     // the source, if it is a list in the configuration
	revision       int64                // revision of the current list
	listReceived   bool                 // the source has sent a list since the start
	overdueSince   time.Time            // when the lease of the list expired; zero while it is in force
	leaseSaved     bool                 // the folder may have the lease of a watch that fell silent
}

// limitLists sets the limits of what discovery can make this process hold.
func (loop *eventLoop) limitLists(client *discovery.Client) {
	if loop.config.ListBytes > 0 { // the lists are trusted
		client.MaxObjectBytes = loop.config.ListBytes
		return
	}
	client.MaxObjectBytes = loop.memory.ListBytes()
	client.MaxEntries = loop.memory.MaxEndpoints()
	client.MaxBytesPerSecond = loop.memory.ListBytesPerSecond()
	client.Memory = loop.memory.EndpointLists
}

// openDiscovery opens the notifier and the source of the endpoint list, which is discovery or a list in the
// configuration.
func (loop *eventLoop) openDiscovery(dialer *dial.Dialer, connectTimeout time.Duration) {
	config := loop.config
	if config.Discovery != "" {
		client := newControlPlane(dialer, config.Discovery, connectTimeout, loop.queue)
		loop.limitLists(client.endpoints)
		loop.discovery.source, loop.discovery.reconfigurable = client, client
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
		loop.notices.notifier, loop.notices.reconfigurable = client, client
	}
}

// handleEndpointList applies an endpoint list from its source.
func (loop *eventLoop) handleEndpointList(list *transport.EndpointList) {
	defer loop.memory.EndpointLists.Release(list.Memory)
	awaited := loop.scheduler.AwaitsList()
	loop.discovery.listReceived = true
	loop.updateEndpoints(list, list.Complete)
	loop.removeSavedLease()
	if awaited && !loop.scheduler.AwaitsList() {
		loop.telemetry.log.Info().Dur("waited_ms", time.Since(loop.epoch)).Int64("revision", list.Revision).
			Int("held", len(loop.messages.byNumber)).Msg("endpoint list of the agent received, calls begin")
	}
}

// handleWatchEnd informs the scheduler that changes to the list no longer arrive.
func (loop *eventLoop) handleWatchEnd(end watchEnded) {
	if !end.lastLine.IsZero() {
		loop.scheduler.ListCurrentUntil(loop.schedulerTime(end.lastLine))
	}
	switch end.how {
	case transport.WatchSilent:
		loop.scheduler.WatchSilent()
	case transport.WatchTimeout:
		loop.scheduler.PollTimedOut()
	case transport.WatchFailed:
		loop.scheduler.WatchFailed()
	default:
		loop.scheduler.WatchBroken()
	}
	loop.telemetry.log.Warn().Str("reason", end.reason).Stringer("end", end.how).
		Float64("next_poll_s", loop.scheduler.NextPollIn()).Msg("watch ended")
	loop.saveLease()
}
