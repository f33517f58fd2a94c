package scenario

import "spanflow/internal/config"

// The kinds of Fault.
const (
	FaultRefuse  = "refuse"
	FaultHang    = "hang"
	FaultSilent  = "silent"
	FaultSlow    = "slow"
	FaultErr     = "err"
	FaultReset   = "reset"
	FaultLose    = "lose"
	FaultSpoil   = "spoil"
	FaultReap    = "reap"
	FaultCut     = "cut"
	FaultDrain   = "drain"
	FaultStall   = "stall"
	FaultRestart = "restart"
	FaultList    = "list"
	FaultMove    = "move"
)

// FaultKinds are the kinds of faults, each with what happens.
var FaultKinds = map[string]string{
	FaultRefuse:  "connections are refused; then it returns cold",
	FaultHang:    "calls are taken and none is worked on; then it returns cold",
	FaultSilent:  "nothing comes in or goes out",
	FaultSlow:    "service takes `by` times as long",
	FaultErr:     "a share of calls ends with an error",
	FaultReset:   "a share of connections breaks",
	FaultLose:    "a share of answers gets lost after running",
	FaultSpoil:   "a share of answers cannot be read",
	FaultReap:    "idle connections go dead unseen",
	FaultCut:     "the limit is a share of what it was",
	FaultDrain:   "targets drain and leave, then come back as others",
	FaultStall:   "a share of forwarders stands still, whichever process each has",
	FaultRestart: "a share of forwarders is killed and starts again, in a wave",
	FaultList:    "the list does not come",
	FaultMove:    "targets leave and come back at other addresses",
}

// fractionFaults are the kinds that need a fraction of calls, of the limit or of forwarders.
var fractionFaults = []string{FaultErr, FaultReset, FaultLose, FaultSpoil, FaultCut, FaultStall, FaultRestart}

// Fault is something that goes wrong with endpoints, forwarders or the endpoint list for a time.
type Fault struct {
	Kind          string          `toml:"kind"`
	At            config.Duration `toml:"at"`
	For           config.Duration `toml:"for"`
	Destinations  []int           `toml:"dest"`           // affected; empty: by Receiver, else all
	Receiver      string          `toml:"partner"`        // name of a group of destinations; empty: all
	Endpoints     []int           `toml:"target"`         // numbers at each destination; empty: all
	Zone          int             `toml:"zone"`           // endpoints of this zone only, if above 0: its number plus 1
	Fraction      float64         `toml:"share"`          // of calls, of the limit, or of forwarders
	By            float64         `toml:"by"`             // slow: factor of service times
	Every         int             `toml:"every"`          // gray failure: only one of so many calls
	OddForwarders bool            `toml:"odd_forwarders"` // gray failure: only calls of every second forwarder
	Tenant        string          `toml:"tenant"`         // slow: only calls of this tenant; empty: all
}
