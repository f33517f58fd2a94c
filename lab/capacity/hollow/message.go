package hollow

import "time"

// Role is the task of a process that the coordinator starts.
type Role string

// The roles.
const (
	RoleServer Role = "server" // emulates discovery
	RoleWorker Role = "worker" // runs hollow forwarders
)

// request is a line of JSON from the coordinator to a process. Exactly one field is set.
type request struct {
	Serve   *serveRequest   `json:"serve,omitempty"`
	Publish *publishRequest `json:"publish,omitempty"`
	Reach   *reachRequest   `json:"reach,omitempty"`

	Start   *startRequest   `json:"start,omitempty"`
	Expect  *expectRequest  `json:"expect,omitempty"`
	Restart *restartRequest `json:"restart,omitempty"`
	Await   *awaitRequest   `json:"await,omitempty"`

	Usage  *usageRequest  `json:"usage,omitempty"`
	Memory *memoryRequest `json:"memory,omitempty"`
}

// serveRequest starts discovery.
type serveRequest struct {
	Destinations int    `json:"destinations"`
	Seed         uint64 `json:"seed"`
}

// publishRequest changes the list.
type publishRequest struct{}

// reach is a change of which forwarders can reach discovery.
type reach string

const (
	reachDown     reach = "down"     // no forwarder can reach discovery; all connections are closed
	reachUp       reach = "up"       // discovery can be reached again
	reachCut      reach = "cut"      // one zone cannot reach discovery; nothing is sent on its connections
	reachRestored reach = "restored" // that zone can reach discovery again; its open connections are reset
)

// reachRequest changes which forwarders can reach discovery.
type reachRequest struct {
	Reach reach `json:"reach"`
	Zone  int   `json:"zone"` // used with reachCut and reachRestored
}

// startRequest starts a worker's forwarders. They start with the first revision of the list if KnowsList is set,
// otherwise without a list.
type startRequest struct {
	Addresses    []string `json:"addresses"`   // addresses of discovery, by zone
	Fleet        int      `json:"fleet"`       // number of forwarders of all workers
	FirstIndex   int      `json:"first_index"` // index of the first forwarder within the fleet
	Forwarders   int      `json:"forwarders"`
	Destinations int      `json:"destinations"`
	KnowsList    bool     `json:"knows_list"`
	ListBytes    int      `json:"list_bytes"` // limit for one object of a watch; 0 means the forwarder's default
	Seed         uint64   `json:"seed"`
	MemoryLimit  int64    `json:"memory_limit"` // memory in bytes that the garbage collector aims at
}

// expectRequest makes a worker record when a revision, or a later one, comes into force at each of its forwarders.
type expectRequest struct {
	Revision int64 `json:"revision"`
}

// restartRequest stops forwarders without a drain and starts them again as startRequest did, which means with the first
// revision of the list if KnowsList was set.
type restartRequest struct {
	EveryNth int `json:"every_nth"` // every nth forwarder of the fleet restarts
}

// awaitRequest waits until the expected revision is in force at all forwarders of a worker.
type awaitRequest struct {
	Within time.Duration `json:"within_ns"`
}

// usageRequest asks for the resources that a process has used, memoryRequest for the memory of a worker's forwarders.
type (
	usageRequest  struct{}
	memoryRequest struct{}
)

// response answers a request.
type response struct {
	Error     string       `json:"error,omitempty"`
	Addresses []string     `json:"addresses,omitempty"` // answers serveRequest
	At        int64        `json:"at,omitempty"`        // Unix time in nanoseconds at which the request was carried out
	Revision  int64        `json:"revision,omitempty"`  // answers publishRequest
	InForce   []int64      `json:"in_force,omitempty"`  // answers awaitRequest; times by forwarder; 0 means not yet
	Endings   []ending     `json:"endings,omitempty"`   // answers awaitRequest; watches that ended since expectRequest
	SlowTurns int          `json:"late,omitempty"`      // answers awaitRequest; slow turns since expectRequest
	Usage     *usage       `json:"usage,omitempty"`
	Memory    *memoryUsage `json:"memory,omitempty"`
}

// ending is the number of watches that ended for one reason.
type ending struct {
	Why   string `json:"why"`
	Count int    `json:"count"`
}

// memoryUsage is memory in bytes. Live, Resident and Peak do not include the memory of the process before its
// forwarders started.
type memoryUsage struct {
	Live     int64 `json:"live"`     // heap and stacks after a collection
	Resident int64 `json:"resident"` // resident memory of the process
	Peak     int64 `json:"peak"`     // highest resident memory so far
	Before   int64 `json:"before"`   // resident memory of the process before its forwarders started
}
