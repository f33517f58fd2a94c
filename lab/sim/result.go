package sim

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spanflow/lab/audit"
	"spanflow/lab/scenario"
)

// Result is what became of a run. Its JSON is the same to the byte for the same scenario and seed.
type Result struct {
	Scenario       string            `json:"scene"`
	Seed           uint64            `json:"seed"`
	Messages       int               `json:"documents"` // effects that clients wanted
	Accepted       int               `json:"taken"`     // submissions
	Refused        int               `json:"refused"`   // submissions
	Served         int               `json:"served"`    // effects that took place
	Late           int               `json:"late"`      // after their latency objective
	Attempts       int               `json:"transmissions"`
	ModeChanges    int               `json:"mode_changes"` // of the schedulers
	AttemptResults map[string]int    `json:"ends"`
	FinalAnswers   map[string]int    `json:"final_answers"` // that forwarders gave by notice
	OfferedValue   float64           `json:"value_offered"`
	DeliveredValue float64           `json:"value_delivered"`
	G              float64           `json:"share"`     // of the value offered that was delivered
	Latency        Percentiles       `json:"latency_s"` // from the intended moment to when the effect took place
	Seconds        []Second          `json:"seconds"`
	Violations     []audit.Violation `json:"breaches"`
	Events         uint64            `json:"events"` // of the simulated clock

	latencyHistogram *hdrhistogram.Histogram
}

// Percentiles of a time in seconds. What never took effect is in none of them.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Second is one second of a run.
type Second struct {
	Offered           float64 `json:"offered"`   // value of the messages that came in it
	Delivered         float64 `json:"delivered"` // value that they had in the end
	Held              int     `json:"held"`      // messages, at its end
	OpenCalls         int     `json:"out"`       // calls, at its end
	HeldByDestination []int   `json:"held_by_destination,omitempty"`
}

const (
	maxListedDestinations = 64 // for Second.HeldByDestination
	maxLatencyMicros      = 3_600_000_000
	latencyDigits         = 3 // significant
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

// at is the second of a moment, the first or last for moments outside the run.
func (r *Result) at(moment float64) *Second {
	i := min(max(0, int(moment-startTime)), len(r.Seconds)-1)
	return &r.Seconds[i]
}

// recordOffer counts an effect that a client wants.
func (r *Result) recordOffer(e *effect) {
	r.Messages++
	r.OfferedValue += e.messageType.Value
	r.at(e.submittedAt).Offered += e.messageType.Value
}

// recordDelivery counts an effect that took place: all of its value within the latency objective, then half of it and
// falling, none after its expiry.
func (r *Result) recordDelivery(e *effect, at float64) {
	took := at - e.submittedAt
	value := 0.0
	switch objective, timeToLive := float64(e.messageType.LatencyObjective), float64(e.messageType.TimeToLive); {
	case took <= objective:
		value = e.messageType.Value
	case took < timeToLive:
		value = e.messageType.Value / 2 * (timeToLive - took) / (timeToLive - objective)
		r.Late++
	}
	r.Served++
	r.DeliveredValue += value
	r.at(e.submittedAt).Delivered += value
	r.latencyHistogram.RecordValue(max(1, int64(took*1e6)))
}

// recordSecond records what forwarders hold at the end of a second.
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

// finish works out what the run comes to.
func (r *Result) finish(log *audit.Log) {
	r.Violations = log.Violations()
	if r.OfferedValue > 0 {
		r.G = r.DeliveredValue / r.OfferedValue
	}
	at := func(q float64) float64 { return float64(r.latencyHistogram.ValueAtQuantile(q)) / 1e6 }
	r.Latency = Percentiles{at(50), at(90), at(99), float64(r.latencyHistogram.Max()) / 1e6}
}

// JSON is the result as text.
func (r *Result) JSON() []byte {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		panic(err) // plain values only
	}
	return append(b, '\n')
}
