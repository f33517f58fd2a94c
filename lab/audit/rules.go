package audit

// Rule names one of the rules that a forwarder must keep.
type Rule string

// The six rules. Reports and result files contain these values.
const (
	// RuleOneAnswer is kept if each accepted message gets one final answer before its expiry.
	RuleOneAnswer Rule = "1 one final answer"
	// RuleNoDoubleEffect is kept if no effect takes place twice and no two attempts of a message overlap.
	RuleNoDoubleEffect Rule = "2 no effect twice"
	// RuleDrainObserved is kept if a draining endpoint gets no calls.
	RuleDrainObserved Rule = "3 drains kept"
	// RuleRecoveryNotOverloaded is kept if endpoints in their slow start are not overloaded by forwarders that knew of
	// the outage.
	RuleRecoveryNotOverloaded Rule = "4 returns not pushed over"
	// RuleKeyOrder is kept if messages of one ordering key are sent one after another.
	RuleKeyOrder Rule = "5 order per key"
	// RuleRetryAfterHeeded is kept if no call arrives before the end of a Retry-After that applies to it.
	RuleRetryAfterHeeded Rule = "6 waits heeded"
)

// Rules lists all rules by their number.
var Rules = []Rule{RuleOneAnswer, RuleNoDoubleEffect, RuleDrainObserved, RuleRecoveryNotOverloaded, RuleKeyOrder, RuleRetryAfterHeeded}

// Slack contains the tolerances of the audit, in seconds.
type Slack struct {
	Answer float64 // allowed delay of a final answer after the message's expiry
	Expiry float64 // time after a message's expiry in which an answer to its call still counts
	Wait   float64 // time after a Retry-After in which calls are allowed, as they may have been sent before it arrived
	Drain  float64 // time in which calls are allowed after the endpoint list reported that an endpoint drains
}

// DefaultSlack allows for the delays of the network and of a forwarder.
var DefaultSlack = Slack{Answer: 0.3, Expiry: 0.05, Wait: 0.1, Drain: 0.1}

// Violation is one breach of a rule, with the history of the message concerned.
type Violation struct {
	Rule    Rule     `json:"Rule"`
	At      float64  `json:"At"`  // seconds of the run's clock
	Message uint64   `json:"Doc"` // 0 if the violation does not concern a single message
	Reason  string   `json:"What"`
	History []string `json:"History"`
}
