package settings

import (
	"errors"
	"fmt"
	"slices"
)

// platformSettings is the JSON format of the platform's settings. Keys are case-insensitive, unknown keys are ignored.
// Times are in milliseconds.
type platformSettings struct {
	Classes    []class
	Tenants    []tenant
	Extra      extra
	Guarantees guarantees
	Limits     limits
	Report     struct{ Fields []string }
	Discovery  string
	WeightKind string
	MyZone     int
	NInstances int
	Azs        []string
	Kinds      []string
}

// class is a message type.
type class struct {
	Name, Idempotency, Group string
	Sequential               bool
	LatencyObjective         float64  `json:"Slo"`
	TimeToLive               float64  `json:"HardLimit"`
	DeduplicationWindow      float64  `json:"MemorySpan"`
	Value                    *float64 `json:"Worth"` // 1 if absent
	LateValueFraction        float64  `json:"LateShare"`
}

type tenant struct {
	Name string
	Rate float64 `json:"QuotaRps"`
}

type extra struct {
	ConcurrencyLimit int   `json:"CallsOut"`
	BatchSizes       []int `json:"KindBatch"` // one for each kind
	SeparateRoutes   []bool
	Decay            string
}

type guarantees struct {
	PollWithin        float64 `json:"AskWithin"`
	SlowStartDuration float64 `json:"Cold"`
	SlowStartFraction float64 `json:"ColdFrom"`
	OverloadMultiple  float64 `json:"FallMultiple"`
	KeyCooldown       float64 `json:"KeyRest"`
	DrainGrace        float64
}

type limits struct {
	MaxAttempts    int     `json:"AttemptsCap"`
	QueueCapacity  int     `json:"MaxOpen"`
	IdleTimeout    float64 `json:"ConnIdle"`
	ConnectTimeout float64
	RetryAfter     bool // whether a rejection may have a Retry-After time
	MaxRetryAfter  float64
}

// Values of the enumerated fields.
const (
	idempotencyRetryable = "retryable"
	idempotencyDedup     = "dedup"
	idempotencyFragile   = "fragile"

	groupZone = "zone"

	decayLine   = "line"
	decayHalves = "halves"

	discoveryPoll = "ask"

	weightSilent  = "silent"
	weightNominal = "nominal"
	weightRough   = "rough"
	weightLive    = "live"
)

// unknownWordError is the error of a field with a word that it does not accept.
type unknownWordError struct{ field, word string }

// Error names the field and the word.
func (e *unknownWordError) Error() string { return fmt.Sprintf("%s: unknown word %q", e.field, e.word) }

// rangeError is the error of a field with a number that it does not accept.
type rangeError struct {
	field string
	value float64
}

// Error names the field and the number.
func (e *rangeError) Error() string { return fmt.Sprintf("%s: %v is out of range", e.field, e.value) }

// check returns an error for the first field with an invalid value.
func (p *platformSettings) check() error {
	switch {
	case len(p.Classes) == 0:
		return errors.New("no message type in Classes")
	case p.Extra.ConcurrencyLimit < 1:
		return errors.New("Extra.CallsOut: the concurrency limit is below the minimum, 1")
	case p.NInstances < 1:
		return errors.New("NInstances: the number of forwarders is below the minimum, 1")
	case !slices.Contains([]string{"", decayLine, decayHalves}, p.Extra.Decay):
		return &unknownWordError{"Extra.Decay", p.Extra.Decay}
	case !slices.Contains([]string{"", weightSilent, weightNominal, weightRough, weightLive}, p.WeightKind):
		return &unknownWordError{"WeightKind", p.WeightKind}
	}
	for i := range p.Classes {
		if err := p.Classes[i].check(fmt.Sprintf("Classes[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for the first number out of range. prefix is the path of the class's fields.
func (c *class) check(prefix string) error {
	switch {
	case c.Value != nil && *c.Value < 0:
		return &rangeError{prefix + "Worth", *c.Value}
	case c.LateValueFraction < 0 || c.LateValueFraction > 1:
		return &rangeError{prefix + "LateShare", c.LateValueFraction}
	case c.LatencyObjective < 0:
		return &rangeError{prefix + "Slo", c.LatencyObjective}
	case c.DeduplicationWindow < 0:
		return &rangeError{prefix + "MemorySpan", c.DeduplicationWindow}
	case c.TimeToLive < c.LatencyObjective:
		return &rangeError{prefix + "HardLimit", c.TimeToLive}
	}
	return nil
}
