package hollow

import (
	"encoding/json"
	"fmt"

	"spanflow/transport"
)

const (
	zoneCount       = 6 // zones of a fleet: two regions with three zones each
	firstRevision   = 1 // revision of the list that a fleet starts with
	destinationKind = "partner"
	uidMultiplier   = 2654435761 // odd, so that different endpoints get different ids
)

// entry is one endpoint of the list, in the format of discovery's protocol.
type entry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Kind         string  `json:"model"`
	Destination  int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// The states of an endpoint.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
)

// object is one line of a watch. It contains the full list if All is set, and otherwise changes.
type object struct {
	Revision int64   `json:"rev"`
	All      bool    `json:"all"`
	Entries  []entry `json:"targets"`
}

func (o object) encode() ([]byte, error) {
	text, err := json.Marshal(o)
	return append(text, '\n'), err
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone+1) }

// makeList returns a list with one endpoint for each destination. The endpoints are never called.
func makeList(destinations int) []entry {
	list := make([]entry, destinations)
	for i := range list {
		list[i] = entry{UID: fmt.Sprintf("s-%08x", uint32(i*uidMultiplier)), Zone: zoneName(i % zoneCount),
			Endpoint: fmt.Sprintf("127.%d.%d.%d:8080", 1+i>>16, i>>8&255, i&255), Kind: destinationKind,
			Destination: i + 1, State: stateActive, CapacityHint: 1}
	}
	return list
}

// knownList returns the first revision of the list in the form in which a forwarder keeps it.
func knownList(destinations int) transport.EndpointList {
	list := transport.EndpointList{Revision: firstRevision, Complete: true}
	for _, e := range makeList(destinations) {
		list.Endpoints = append(list.Endpoints, transport.Endpoint{UID: e.UID, Address: e.Endpoint, Zone: e.Zone, Kind: e.Kind,
			Destination: uint64(e.Destination), State: e.State, Rate: e.CapacityHint})
	}
	return list
}
