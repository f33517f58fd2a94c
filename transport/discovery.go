package transport

// EndpointList is what a source reports: all endpoints, or those that changed.
type EndpointList struct {
	Revision  int64      `json:"rev"`
	Complete  bool       `json:"all"` // all endpoints; else only those that changed
	Endpoints []Endpoint `json:"targets"`
}

// Endpoint is one entry of the list, in the form that discovery gives it.
type Endpoint struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Destination uint64  `json:"pod_group"`
	State       string  `json:"state"`
	Rate        float64 `json:"capacity_hint"`
}

// EndpointListener receives the list and the end of each watch. It must not block.
type EndpointListener interface {
	// EndpointsUpdated reports the list or changes of it.
	EndpointsUpdated(*EndpointList)
	// WatchEnded reports the end of a watch, with the reason for the log.
	WatchEnded(why string, how WatchEnd)
}

// WatchEnd is how a watch on the list ended.
type WatchEnd int

// The ends of a watch.
const (
	WatchTimeout WatchEnd = iota // no answer in time: the source has more requests than it can answer
	WatchSilent                  // it had sent something, and fell silent
	WatchBroken                  // any other end: the source is down, unreachable, or what it sent is malformed
)

// EndpointSource brings the list of endpoints.
type EndpointSource interface {
	// Watch asks for the changes since a revision, and from then on for each change.
	Watch(rev int64)
	// Stop ends the watch and the source.
	Stop()
}

// Reconfigurable is a source or notifier that can change the address that it uses.
type Reconfigurable interface {
	// Reconfigure uses the address from now on; rev is the revision of the list held.
	Reconfigure(addr string, rev int64)
}
