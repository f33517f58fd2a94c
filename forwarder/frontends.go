package forwarder

// frontendState holds the frontends that are open.
type frontendState struct {
	open    []*listener // of the configuration
	leaving []*listener // no longer of the configuration, closed once their callers have gone
}
