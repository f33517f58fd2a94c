package transport

import "time"

// EndpointList is the list that a source reports, or a change of it.
type EndpointList struct {
	Revision  int64      `json:"rev"`
	Complete  bool       `json:"all"` // whether Endpoints has all endpoints; otherwise it has only those that changed
	Endpoints []Endpoint `json:"targets"`

	Memory int `json:"-"` // bytes counted for the list in the receiver's account, which releases them
}

// Endpoint is one entry of the list in the format of the discovery service.
type Endpoint struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Destination uint64  `json:"pod_group"`
	State       string  `json:"state"`
	Rate        float64 `json:"capacity_hint"`
	StartedMs   int64   `json:"boot_ms"` // Unix time in milliseconds when its process was started; 0 means long ago
}

// EndpointListener receives the list and the end of each watch. It must not block.
type EndpointListener interface {
	// EndpointsUpdated reports the list or changes of it.
	EndpointsUpdated(*EndpointList)
	// WatchEnded reports the end of a watch; reason is for the log. lastLine is when the last line arrived that told
	// changes or that there are none or, if none did, when the watch was requested.
	WatchEnded(reason string, end WatchEnd, lastLine time.Time)
}

// WatchEnd says how a watch on the list ended.
type WatchEnd int

// The ends of a watch.
const (
	WatchTimeout WatchEnd = iota // no answer in time, because the source has more requests than it can answer
	WatchSilent                  // the source had sent something, but nothing more arrived
	WatchBroken                  // the source has ended the watch or turned the request away, or its data is malformed
	WatchFailed                  // no connection was established, or the end does not come from the source
)

// String returns the name of the end in log lines.
func (e WatchEnd) String() string { return [...]string{"timeout", "silent", "broken", "failed"}[e] }

// EndpointSource provides the list of endpoints.
type EndpointSource interface {
	// Watch requests the changes since a revision and all later changes.
	Watch(rev int64)
	// Stop ends the watch and stops the source.
	Stop()
}

// Reconfigurable is an endpoint source or notifier whose address can be changed.
type Reconfigurable interface {
	// Reconfigure changes the address; rev is the revision of the current endpoint list.
	Reconfigure(addr string, rev int64)
}
