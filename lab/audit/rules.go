package audit

// Rule is one of the rules that a forwarder keeps.
type Rule string

// The rules.
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
	// RuleRetryAfterHeeded is kept if no call comes before the time of a retry-after is over.
	RuleRetryAfterHeeded Rule = "6 waits heeded"
)

// Rules are all rules, in order.
var Rules = []Rule{RuleOneAnswer, RuleNoDoubleEffect, RuleDrainObserved, RuleRecoveryNotOverloaded, RuleKeyOrder, RuleRetryAfterHeeded}

// Slack is what is tolerated, in seconds.
type Slack struct {
	Answer float64 // after a message's expiry
	Wait   float64 // for a call that crosses a retry-after on its way
	Drain  float64 // after the endpoint list said that an endpoint drains
}

// DefaultSlack allows for the network's delay and for a forwarder's own.
var DefaultSlack = Slack{Answer: 0.3, Wait: 0.1, Drain: 0.1}

// Violation is a broken rule, with the message's history.
type Violation struct {
	Rule    Rule     `json:"Rule"`
	At      float64  `json:"At"`  // seconds of the run's clock
	Message uint64   `json:"Doc"` // 0: it concerns no single message
	Reason  string   `json:"What"`
	History []string `json:"History"`
}
