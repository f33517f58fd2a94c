// Package transport defines the interfaces and types by which frontends, upstreams, discovery, notifiers and metrics
// work with the event loop.
//
// A Frontend turns its protocol into submissions and gives each caller the reply and, where the caller waits for it,
// the final answer. An Upstream carries out calls to endpoints and reports one result code for each message. An
// EndpointSource brings the list of endpoints, a Notifier delivers the final answers for which no caller waits. None of
// them knows another, and none makes decisions: the event loop has the scheduler decide.
//
// What a frontend, upstream, source or notifier reports goes to a listener (Submitter, ResultListener,
// EndpointListener, NoticeListener), from any goroutine. What the event loop calls must not block.
package transport
