// Package transport defines the interfaces and types that connect frontends, upstreams, discovery, notifiers and
// metrics with the event loop.
//
// A Frontend converts requests of its protocol into submissions. It gives each caller the reply and, if the caller
// waits for it, the final answer. An Upstream carries out calls to endpoints and reports one result code for each
// message. An EndpointSource provides the list of endpoints. A Notifier delivers the final answers for which no caller
// waits. They do not depend on each other and make no decisions: the event loop leaves all decisions to the scheduler.
//
// A frontend, upstream, source or notifier reports to a listener (Submitter, ResultListener, EndpointListener,
// NoticeListener) from any goroutine. Methods that the event loop calls must not block.
package transport
