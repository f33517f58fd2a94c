package sim

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spanflow/lab/audit"
	"spanflow/lab/scenario"
)

// Result contains the results of a run. For the same scenario and seed, Play returns byte-for-byte the same JSON.
type Result struct {
	Scenario       string            `json:"scene"`
	Seed           uint64            `json:"seed"`
	Messages       int               `json:"documents"` // number of effects that clients wanted
	Accepted       int               `json:"taken"`     // number of accepted submissions
	Refused        int               `json:"refused"`   // number of submissions that were not admitted
	Served         int               `json:"served"`    // number of effects that took place
	Late           int               `json:"late"`      // effects between their latency objective and their expiry
	Attempts       int               `json:"transmissions"`
	ModeChanges    int               `json:"mode_changes"`  // log lines of the schedulers, which report changes of mode
	AttemptResults map[string]int    `json:"ends"`          // by result code
	FinalAnswers   map[string]int    `json:"final_answers"` // final answers sent by notice
	OfferedValue   float64           `json:"value_offered"`
	DeliveredValue float64           `json:"value_delivered"`
	G              float64           `json:"share"`     // delivered share of the offered value
	Latency        Percentiles       `json:"latency_s"` // from the intended time of submission to the effect
	Seconds        []Second          `json:"seconds"`
	Violations     []audit.Violation `json:"breaches"`
	Events         uint64            `json:"events"` // number of events of the simulated clock

	latencyHistogram *hdrhistogram.Histogram
}

// Percentiles are percentiles of a time in seconds. They do not include effects that did not take place.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Second is one second of a run.
type Second struct {
	Offered           float64 `json:"offered"`   // value of the effects that clients wanted in this second
	Delivered         float64 `json:"delivered"` // value of these effects when they took place, even after this second
	Held              int     `json:"held"`      // unanswered messages at the end of the second
	OpenCalls         int     `json:"out"`       // open calls at the end of the second
	HeldByDestination []int   `json:"held_by_destination,omitempty"`
}

const (
	maxListedDestinations = 64 // HeldByDestination is recorded up to this number of destinations
	maxLatencyMicros      = 3_600_000_000
	latencyDigits         = 3 // significant digits of the latency histogram
)

func newResult(s *scenario.Scenario, seed uint64) *Result {
	return &Result{
		Scenario:         s.Name,
		Seed:             seed,
		AttemptResults:   map[string]int{},
		FinalAnswers:     map[string]int{},
		Seconds:          make([]Second, int(s.Length+s.Drain)),
		latencyHistogram: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
}

// at returns the second that contains the given time, or the first or last second for times outside the run.
func (r *Result) at(moment float64) *Second {
	i := min(max(0, int(moment-startTime)), len(r.Seconds)-1)
	return &r.Seconds[i]
}

// recordOffer counts an effect that a client wants, and its full value.
func (r *Result) recordOffer(e *effect) {
	r.Messages++
	r.OfferedValue += e.messageType.Value
	r.at(e.submittedAt).Offered += e.messageType.Value
}

// recordDelivery counts an effect that took place. Its value is full within the latency objective; after that it is
// half and falls linearly to 0 at the expiry.
func (r *Result) recordDelivery(e *effect, at float64) {
	latency := at - e.submittedAt
	value := 0.0
	switch objective, timeToLive := float64(e.messageType.LatencyObjective), float64(e.messageType.TimeToLive); {
	case latency <= objective:
		value = e.messageType.Value
	case latency < timeToLive:
		value = e.messageType.Value / 2 * (timeToLive - latency) / (timeToLive - objective)
		r.Late++
	}
	r.Served++
	r.DeliveredValue += value
	r.at(e.submittedAt).Delivered += value
	r.latencyHistogram.RecordValue(max(1, int64(latency*1e6)))
}

// recordSecond records the unanswered messages and open calls of all forwarders at the end of a second.
func (r *Result) recordSecond(run *simRun) {
	s := r.at(run.Now() - 0.5)
	if len(run.destinations) <= maxListedDestinations {
		s.HeldByDestination = make([]int, len(run.destinations))
	}
	for _, f := range run.forwarders {
		s.Held += len(f.submissions)
		s.OpenCalls += len(f.openCalls)
		if s.HeldByDestination != nil {
			for _, h := range f.submissions {
				s.HeldByDestination[h.effect.destination]++
			}
		}
	}
}

// finish computes the results that depend on the whole run.
func (r *Result) finish(log *audit.Log) {
	r.Violations = log.Violations()
	if r.OfferedValue > 0 {
		r.G = r.DeliveredValue / r.OfferedValue
	}
	at := func(q float64) float64 { return float64(r.latencyHistogram.ValueAtQuantile(q)) / 1e6 }
	r.Latency = Percentiles{at(50), at(90), at(99), float64(r.latencyHistogram.Max()) / 1e6}
}

// JSON returns the result as indented JSON with a trailing newline.
func (r *Result) JSON() []byte {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		panic(err) // cannot happen: the result contains only marshallable values
	}
	return append(b, '\n')
}
