// Package capacity contains the common parts of capacity measurements: curves over a size, the straight line fitted to
// each, and the file of results from which docs/CAPACITY.md is rendered.
package capacity

// Results is the content of the file of measured results, docs/capacity/measured.json.
type Results struct {
	Machine string       `json:"machine"` // cores and processor model; no host name
	Date    string       `json:"date"`    // YYYY-MM-DD
	Curves  []Curve      `json:"curves"`
	Fleets  []FleetTrial `json:"fleets"`
}

// Curve is one quantity that was measured at several sizes.
type Curve struct {
	Role     string  `json:"role"`      // the part that was measured, such as "held-message"; also the argument of 'capacity measure'
	Quantity string  `json:"quantity"`  // such as "memory in the scheduler"
	SizeUnit string  `json:"size_unit"` // of Point.Size
	Unit     string  `json:"unit"`      // of Point.Value
	Points   []Point `json:"points"`
	Fit      Fit     `json:"fit"`
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Shape is the kind of curve that the points form.
type Shape string

// The shapes of a curve.
const (
	Flat      Shape = "flat"         // the value does not depend on the size
	Linear    Shape = "linear"       // one straight line fits all points
	Bends     Shape = "bends"        // linear up to Fit.BendAt, steeper or flatter beyond
	NotLinear Shape = "not straight" // must not be extrapolated
)

// Fit is the straight line through a curve's points: Value = Intercept + Slope * Size.
type Fit struct {
	Shape     Shape   `json:"shape"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"`          // root mean square of the relative errors
	BendAt    float64 `json:"bend_at,omitempty"` // the size up to which the line fits; 0 unless the shape is Bends
	Power     float64 `json:"power"`             // exponent with which the value grows: 0 constant, 1 linear, 2 quadratic
}

// FleetTrial is one run of many hollow forwarders (lightweight simulated forwarders) against one discovery server.
type FleetTrial struct {
	Scenario     string  `json:"scenario"` // such as "change" or "restart of a third"
	Forwarders   int     `json:"forwarders"`
	Destinations int     `json:"destinations"`
	Changes      int     `json:"changes"`       // list changes published at known times
	InForce50    float64 `json:"in_force_50_s"` // seconds until 50% of the forwarders have a change in force
	InForce99    float64 `json:"in_force_99_s"`
	InForceLast  float64 `json:"in_force_last_s"`
	Missed       int     `json:"missed"` // forwarders that did not get a change before the trial ended

	ForwarderBytesPerChange float64 `json:"forwarder_bytes_per_change"`
	ForwarderCPUPerChange   float64 `json:"forwarder_cpu_per_change_s"`
	ForwarderIdleBytes      float64 `json:"forwarder_idle_bytes_per_s"`
	ForwarderIdleCPU        float64 `json:"forwarder_idle_cpu_share"` // of one core
	ForwarderMemory         float64 `json:"forwarder_memory_bytes"`
	ServerBytes             float64 `json:"server_bytes"` // sent and received by the discovery server over the whole trial
	ServerCPU               float64 `json:"server_cpu_s"`
	Note                    string  `json:"note,omitempty"` // problems during the trial, and limits that it ran into
}
