package scenario

import "spanflow/internal/config"

// The values of Fault.Kind, described by FaultKinds.
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

// FaultKinds describes each kind of fault.
var FaultKinds = map[string]string{
	FaultRefuse:  "connections are refused; a slow start follows",
	FaultHang:    "calls are accepted but not executed until the end; a slow start follows",
	FaultSilent:  "nothing is received or sent",
	FaultSlow:    "service times are multiplied by `by`",
	FaultErr:     "a share of calls ends with an error",
	FaultReset:   "a share of connections breaks",
	FaultLose:    "a share of answers is lost after the execution",
	FaultSpoil:   "a share of answers is malformed",
	FaultReap:    "idle connections are dropped without notice",
	FaultCut:     "the limit is reduced to a share of its usual value",
	FaultDrain:   "endpoints drain and are removed, then others replace them",
	FaultStall:   "a share of forwarders is suspended, across restarts of their processes",
	FaultRestart: "a share of forwarders is killed and restarted, one after another",
	FaultList:    "the endpoint list is not delivered",
	FaultMove:    "endpoints are removed, then replaced at other addresses",
}

// fractionFaults lists the kinds for which Fraction is required.
var fractionFaults = []string{FaultErr, FaultReset, FaultLose, FaultSpoil, FaultCut, FaultStall, FaultRestart}

// Fault is a temporary fault of endpoints, forwarders or the endpoint list.
type Fault struct {
	Kind          string          `toml:"kind"`
	At            config.Duration `toml:"at"`
	For           config.Duration `toml:"for"`
	Destinations  []int           `toml:"dest"`           // affected destinations; if empty, Receiver selects them
	Receiver      string          `toml:"partner"`        // name of the affected receiver; empty means all
	Endpoints     []int           `toml:"target"`         // affected endpoint numbers; empty means all
	Zone          int             `toml:"zone"`           // number plus 1 of the only affected zone; 0 means all
	Fraction      float64         `toml:"share"`          // of calls or forwarders affected; for FaultCut, of limit left
	By            float64         `toml:"by"`             // factor of service times, for FaultSlow
	Every         int             `toml:"every"`          // gray failure that affects only every n-th call; 0 means all
	OddForwarders bool            `toml:"odd_forwarders"` // gray failure that affects only odd-numbered forwarders
	Tenant        string          `toml:"tenant"`         // the only affected tenant, for FaultSlow; empty means all
}
