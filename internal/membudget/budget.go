// Package membudget divides the memory of a process among the purposes for which it holds bytes on behalf of clients,
// endpoints and discovery. Each purpose has an account with a limit, so that their sum stays within the memory however
// many connections there are. It does no I/O.
package membudget

const (
	megabyte = 1 << 20

	// processesOfUpgrade is the number of processes that share the memory while a successor takes over.
	processesOfUpgrade = 2
)

// The limits of the accounts, as divisors of a process's memory. What remains is for the process itself, the copies of
// messages in calls, and the garbage collector.
const (
	partialCommandsDivisor = 16
	queuedRequestsDivisor  = 32
	unsentRepliesDivisor   = 64
	messagesDivisor        = 16
	endpointAnswersDivisor = 32
	endpointListsDivisor   = 16
	listTextDivisor        = 16
)

const (
	bytesPerEndpoint     = 4 << 10 // of a process's memory for each endpoint that may be listed
	maxEndpointNameBytes = 256     // of an endpoint's uid or address

	listChangeBytesPerSecond = 1 << 20 // beside a complete list; decoding more would take the time of other work

	// Share of a process's memory that the Go runtime may use, in tenths. The rest is for the program's text, which two
	// processes share, and for what the runtime does not count.
	runtimeTenths        = 6
	runtimeTenthsUpgrade = 7
)

// Budget has the accounts of a process.
type Budget struct {
	Memory int // bytes that the process may use; 0 means unlimited

	runtimeTenths int64

	PartialCommands *Account // commands of clients that have not arrived completely
	QueuedRequests  *Account // commands that wait for the event loop
	UnsentReplies   *Account // replies that clients do not read
	EndpointAnswers *Account // bodies of endpoints' answers
	EndpointLists   *Account // lists of endpoints until they are applied
}

// New returns the budget of a process. memoryMB is the limit of a forwarder's memory in megabytes; 0 means unlimited. A
// forwarder that is upgraded in place shares it between two processes.
func New(memoryMB int, upgradesInPlace bool) *Budget {
	memory, tenths := memoryMB*megabyte, int64(runtimeTenths)
	if upgradesInPlace {
		memory, tenths = memory/processesOfUpgrade, runtimeTenthsUpgrade
	}
	return &Budget{
		Memory:          memory,
		runtimeTenths:   tenths,
		PartialCommands: NewAccount("partial_commands", memory/partialCommandsDivisor),
		QueuedRequests:  NewAccount("queued_requests", memory/queuedRequestsDivisor),
		UnsentReplies:   NewAccount("unsent_replies", memory/unsentRepliesDivisor),
		EndpointAnswers: NewAccount("endpoint_answers", memory/endpointAnswersDivisor),
		EndpointLists:   NewAccount("endpoint_lists", memory/endpointListsDivisor),
	}
}

// Accounts returns all accounts.
func (b *Budget) Accounts() []*Account {
	return []*Account{b.PartialCommands, b.QueuedRequests, b.UnsentReplies, b.EndpointAnswers, b.EndpointLists}
}

// RuntimeLimit returns the memory limit of the Go runtime in bytes, or 0 if there is none.
func (b *Budget) RuntimeLimit() int64 { return int64(b.Memory) / 10 * b.runtimeTenths }

// MessageBytes returns the limit of the accepted messages that are held in memory, given the space that the log has for
// them.
func (b *Budget) MessageBytes(logCapacity int) int {
	if b.Memory == 0 {
		return logCapacity
	}
	return min(logCapacity, b.Memory/messagesDivisor)
}

// MaxEndpoints returns the number of endpoints that may be listed, or 0 if it is not limited.
func (b *Budget) MaxEndpoints() int { return b.Memory / bytesPerEndpoint }

// ListBytes returns the limit of the text of one list, in bytes, or 0 if there is none.
func (b *Budget) ListBytes() int { return b.Memory / listTextDivisor }

// ListBytesPerSecond returns the limit of the lists that are received in a second, in bytes, or 0 if there is none. It
// leaves room for a complete list and the changes after it.
func (b *Budget) ListBytesPerSecond() int {
	if b.Memory == 0 {
		return 0
	}
	return b.ListBytes() + listChangeBytesPerSecond
}

// ValidEndpointName reports whether a uid or an address is short enough to be kept.
func ValidEndpointName(name string) bool { return len(name) <= maxEndpointNameBytes }
