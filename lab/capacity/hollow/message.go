package hollow

import "time"

// Role is what a process that the coordinator starts does.
type Role string

// The roles.
const (
	RoleServer Role = "server" // emulates discovery
	RoleWorker Role = "worker" // hollow forwarders
)

// request is a line from the coordinator to a process. Exactly one field is set.
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

// publishRequest makes a change of the list.
type publishRequest struct{}

// Reach says who can reach discovery.
type reach string

const (
	reachDown     reach = "down"     // nobody; all connections end
	reachUp       reach = "up"       // again
	reachCut      reach = "cut"      // not one zone; its connections fall silent
	reachRestored reach = "restored" // that zone again; its connections of before are reset
)

// reachRequest changes who can reach discovery.
type reachRequest struct {
	Reach reach `json:"reach"`
	Zone  int   `json:"zone"` // of reachCut and reachRestored
}

// startRequest starts a worker's forwarders. Each has in force, when it starts, the first revision if KnowsList, else
// nothing; FirstIndex numbers them within the fleet.
type startRequest struct {
	Addresses    []string `json:"addresses"` // of discovery, by zone
	Fleet        int      `json:"fleet"`     // forwarders in all
	FirstIndex   int      `json:"first_index"`
	Forwarders   int      `json:"forwarders"`
	Destinations int      `json:"destinations"`
	KnowsList    bool     `json:"knows_list"`
	ListBytes    int      `json:"list_bytes"` // one object of a watch at most; 0: the forwarder's own limit
	Seed         uint64   `json:"seed"`
	MemoryLimit  int64    `json:"memory_limit"` // that the garbage collector aims at, in bytes
}

// expectRequest has a worker note when each of its forwarders has a revision, or a later one, in force.
type expectRequest struct {
	Revision int64 `json:"revision"`
}

// restartRequest ends forwarders without a graceful stop and starts them anew, with the first revision of the list
// known.
type restartRequest struct {
	EveryNth int `json:"every_nth"` // of the fleet
}

// awaitRequest waits until all forwarders of a worker have the expected revision in force.
type awaitRequest struct {
	Within time.Duration `json:"within_ns"`
}

// usageRequest asks what a process has used, memoryRequest what memory a worker's forwarders take.
type (
	usageRequest  struct{}
	memoryRequest struct{}
)

// response answers a request.
type response struct {
	Error     string       `json:"error,omitempty"`
	Addresses []string     `json:"addresses,omitempty"` // to serveRequest
	At        int64        `json:"at,omitempty"`        // when it was done, Unix time in nanoseconds
	Revision  int64        `json:"revision,omitempty"`  // to publishRequest
	InForce   []int64      `json:"in_force,omitempty"`  // to awaitRequest: when, by forwarder; 0: not yet
	Endings   []ending     `json:"endings,omitempty"`   // to awaitRequest: since the expectation
	Late      int          `json:"late,omitempty"`      // to awaitRequest: "late" lines in the forwarders' logs since
	Usage     *usage       `json:"usage,omitempty"`
	Memory    *memoryUsage `json:"memory,omitempty"`
}

// ending counts watches that ended for one reason.
type ending struct {
	Why   string `json:"why"`
	Count int    `json:"count"`
}

// memoryUsage is what a worker's forwarders take, in bytes beyond what it took before they started.
type memoryUsage struct {
	Live     int64 `json:"live"`     // heap and stacks after a collection
	Resident int64 `json:"resident"` // memory of the process
	Peak     int64 `json:"peak"`     // the same, at most so far
	Before   int64 `json:"before"`   // memory of the process before they started
}
