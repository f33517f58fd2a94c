package scheduler

// Repeat says what a second transmission of a document would do.
type Repeat uint8

const (
	Replayable Repeat = iota // may run again
	Numbered                 // carries a mark by which a repeat is known
	Binding                  // must never run twice
)

// DocType is what the terms say of one document type; times in seconds.
type DocType struct {
	Repeat       Repeat
	ZoneGroup    bool // numbered: only targets of one zone know the mark, not all of the destination
	InOrder      bool
	Agreed, Life float64
	Value        float64 // of one document; types that state none are all worth the same
	LateShare    float64 // of the value that is left at expiry
	Memory       float64 // numbered: how long a mark is known, from the transmission on
}

// Terms are what a forwarder is told at its start; times in seconds, rates in calls a second.
type Terms struct {
	Types         []DocType
	TenantQuota   []float64 // documents a second, all forwarders together; empty without tenants
	KindBatch     []int     // per kind of destination: documents in one call at most
	KindApart     []bool    // per kind: targets are routes of their own
	Forwarders    int
	Slots, Room   int
	Transmissions int
	Zone          int
	KeyRest       float64
	ColdFrom      float64 // share of its capacity that a returning destination has at least
	ColdFor       float64
	IdleLife      float64 // how long an idle connection lasts
	FallMultiple  float64
	Halves        bool    // value falls by half with each further agreed time, to LateShare at most; else evenly
	ComeBackMost  float64 // the longest time to come back that a rejection may name; 0: none
	AskList       bool    // the list comes only after asking
	Agent         bool    // what is asked for lies with an agent: it counts as told from the start on, heard or not
	AskWithin     float64 // the rules want a question for the list so often while it does not come; 0: not stated
	RoughRate     float64 // the listed rate may be this many times too high; 0: none is listed
	Keep          int     // bytes of documents that can be kept beyond a restart; 0: no bound
	Confirmed     bool    // an answer is given only once Told says so
}

// Past is what an earlier process of this forwarder did with a document; times on the clock of Clock.
type Past struct {
	Sent int     // transmissions spent
	Ran  float64 // begin of the first that may have run; 0: surely none ran
	Zone int     // of its target

	Answered bool // it has its final answer, of which Told has not spoken yet
	Left     bool // its caller waited for the final answer, and went with that process
}

// Outcome is how a transmission ended.
type Outcome uint8

const (
	Delivered    Outcome = iota
	Errored              // the destination's own error; may have run
	Full                 // turned away unseen
	TimedOut             // may have run, may still run
	NoConnection         // never ran
	Reset                // may have run, may still run
	Cancelled            // may have run, may still run
	Moot                 // not sent
)

// Ending is the news of one transmission's end.
type Ending struct {
	Outcome    Outcome
	Over       bool    // the document has its final answer
	Took, Wait float64 // Wait: told to stay away so long, whatever the outcome; 0 if not told
	Most       float64 // the reported limit in calls a second; 0 if nothing is told of it, under 0 if there is none
	Left       float64 // the reported share of that limit that is left just now; 0 if not told, under 0 if none is
}

// Standing is what the list says of a target.
type Standing uint8

const (
	Ready Standing = iota
	Draining
	Gone
)

// Listing is one line of the list.
type Listing struct {
	Target   *Target
	Dest     *Destination
	Kind     int
	Zone     int
	Rate     float64 // calls a second that the destination takes; 0 unknown
	Standing Standing
	Cold     bool // ready again after it was restarted: it is paced as one that returns from an outage
}

// Host carries out what a forwarder decides. All calls are made from within Settle.
type Host interface {
	Transmit(d *Doc, t *Target, timeout float64)
	Reject(d *Doc, comeBack float64)
	Abandon(d *Doc)
	Recall(t *Target) // ends the calls to a target of which nothing has been sent, as Moot
	CloseIdle(t *Target)
	Release(t *Target) // it is gone and nothing is heard of it any more
	Wake(in float64)
	Watch()
	Log(line string)
}
