package sim

import (
	"encoding/json"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spanflow/lab/audit"
	"spanflow/lab/scenario"
)

// Result is what became of a day. Its JSON is the same to the byte for the same scene and seed.
type Result struct {
	Scenario       string            `json:"scene"`
	Seed           uint64            `json:"seed"`
	Messages       int               `json:"documents"`
	Accepted       int               `json:"taken"`
	Refused        int               `json:"refused"`
	Served         int               `json:"served"`
	Late           int               `json:"late"`
	Attempts       int               `json:"transmissions"`
	ModeChanges    int               `json:"mode_changes"`
	AttemptResults map[string]int    `json:"ends"`
	FinalAnswers   map[string]int    `json:"final_answers"`
	OfferedValue   float64           `json:"value_offered"`
	DeliveredValue float64           `json:"value_delivered"`
	G              float64           `json:"share"`
	Latency        Percentiles       `json:"latency_s"` // from the intended moment to the end of the run that took effect
	Seconds        []Second          `json:"seconds"`
	Violations     []audit.Violation `json:"breaches"`
	Events         uint64            `json:"events"`

	latencyHistogram *hdrhistogram.Histogram
}

// Percentiles of a time in seconds. Reason never took effect stands in none of them.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Second is one second of a day.
type Second struct {
	Offered           float64 `json:"offered"`   // value of the messages that came in it
	Delivered         float64 `json:"delivered"` // value that they had in the end
	Held              int     `json:"held"`
	Out               int     `json:"out"`
	HeldByDestination []int   `json:"held_by_destination,omitempty"` // with up to 64 destinations
}

const maxListedDestinations = 64

func newResult(s *scenario.Scenario, seed uint64) *Result {
	r := &Result{Scenario: s.Name, Seed: seed, AttemptResults: map[string]int{}, FinalAnswers: map[string]int{}, latencyHistogram: hdrhistogram.New(1, 3_600_000_000, 3)}
	r.Seconds = make([]Second, int(s.Length+s.Drain))
	return r
}

func (r *Result) at(moment float64) *Second {
	i := min(max(0, int(moment-startTime)), len(r.Seconds)-1)
	return &r.Seconds[i]
}

func (r *Result) offered(e *effect) {
	r.Messages++
	r.OfferedValue += e.typ.Value
	r.at(e.submittedAt).Offered += e.typ.Value
}

// delivered counts an effect that took place: whole in the agreed time, half and falling after, none past expiry.
func (r *Result) delivered(e *effect, at float64) {
	took := at - e.submittedAt
	value := 0.0
	switch agreed, life := float64(e.typ.LatencyObjective), float64(e.typ.TimeToLive); {
	case took <= agreed:
		value = e.typ.Value
	case took < life:
		value = e.typ.Value / 2 * (life - took) / (life - agreed)
		r.Late++
	}
	r.Served++
	r.DeliveredValue += value
	r.at(e.submittedAt).Delivered += value
	r.latencyHistogram.RecordValue(max(1, int64(took*1e6)))
}

func (r *Result) second(d *simRun) {
	s := r.at(d.Now() - 0.5)
	if len(d.destinations) <= maxListedDestinations {
		s.HeldByDestination = make([]int, len(d.destinations))
	}
	for _, n := range d.nodes {
		s.Held += len(n.submissions)
		s.Out += len(n.openCalls)
		if s.HeldByDestination != nil {
			for _, h := range n.submissions {
				s.HeldByDestination[h.effect.destination]++
			}
		}
	}
}

func (r *Result) finish(d *simRun) {
	r.Events = d.Events()
	r.sum(d.log)
}

func (r *Result) sum(log *audit.Log) {
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
