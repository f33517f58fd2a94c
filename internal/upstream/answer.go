package upstream

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"spanflow/internal/http1"
	"spanflow/internal/membudget"
	"spanflow/scheduler"
	"spanflow/transport"
)

// HTTP statuses that are handled individually. Any other status is a server error.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusGone               = 410
	statusTooLarge           = 413
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

// Limits of numbers in answers. Larger numbers are ignored as implausible.
const (
	maxRetryAfter    = 1e6 // seconds
	maxReportedValue = 1e9
)

// answer collects the relevant parts of an answer while it is received. It implements http1.Handler.
type answer struct {
	status     int
	retryAfter float64 // seconds, 0 if not given
	noSlot     bool    // the 503 means only that this forwarder's slots are in use
	loadReport string
	keepBody   bool // the call is a batch, so the body has a result for each message
	body       []byte
	memory     *membudget.Account // of the bodies of all calls
}

// errMemory means that the answers of all calls take up their memory.
var errMemory = errors.New("the memory for answers is used up")

// Status implements http1.Handler.
func (a *answer) Status(code int) { a.status = code }

// Field implements http1.Handler. It keeps Retry-After, X-Line-Busy and X-Pressure.
func (a *answer) Field(name, value []byte) {
	switch {
	case http1.EqualFold(name, "retry-after"):
		if s, err := strconv.ParseFloat(string(value), 64); err == nil && s > 0 && s < maxRetryAfter {
			a.retryAfter = s
		}
	case http1.EqualFold(name, "x-line-busy"):
		a.noSlot = string(value) == "1"
	case http1.EqualFold(name, "x-pressure"):
		a.loadReport = string(value)
	}
}

// Body implements http1.Handler. It keeps the body only for a batch.
func (a *answer) Body(piece []byte) error {
	if !a.keepBody {
		return nil
	}
	if !a.memory.TryAdd(len(piece)) {
		return errMemory
	}
	a.body = append(a.body, piece...)
	return nil
}

// release releases the memory of the body.
func (a *answer) release() {
	a.memory.Release(len(a.body))
	a.body = nil
}

// resultCodes returns the result code of each message of a call whose answer is complete.
func (a *answer) resultCodes(call *transport.Call) []transport.ResultCode {
	codes := make([]transport.ResultCode, len(call.Messages))
	for i := range codes {
		codes[i] = a.resultCode()
	}
	if a.status != statusOK || len(call.Messages) == 1 {
		return codes
	}
	states := a.batchStates()
	for i, m := range call.Messages {
		codes[i] = a.batchResultCode(states[m.ID])
	}
	return codes
}

// batchStates returns the states in the body by message ID, or an empty map if the body is not valid JSON.
func (a *answer) batchStates() map[string]string {
	var entries []struct{ ID, State string }
	if json.Unmarshal(a.body, &entries) != nil {
		entries = nil
	}
	states := make(map[string]string, len(entries))
	for _, entry := range entries {
		states[entry.ID] = entry.State
	}
	return states
}

// batchResultCode returns the result code for a message's state in the answer to a batch.
func (a *answer) batchResultCode(state string) transport.ResultCode {
	switch state {
	case "ok":
		return transport.ResultOK
	case "later":
		if a.retryAfter > 0 {
			return transport.ResultRetryAfter
		}
		return transport.ResultOverloaded
	case "gone":
		return transport.ResultGone
	case "exhausted":
		return transport.ResultAttemptsExhausted
	default: // "error", missing or unknown: the message may have run
		return transport.ResultServerError
	}
}

// resultCode returns the result code for the status, without regard to the body.
func (a *answer) resultCode() transport.ResultCode {
	switch a.status {
	case statusOK:
		return transport.ResultOK
	case statusTooManyRequests:
		return transport.ResultRetryAfter
	case statusServiceUnavailable:
		if a.noSlot {
			return transport.ResultNoSlot
		}
		return transport.ResultOverloaded
	case statusGatewayTimeout:
		return transport.ResultAttemptsExhausted
	case statusGone:
		return transport.ResultGone
	case statusBadRequest:
		return transport.ResultBadRequest
	case statusTooLarge:
		return transport.ResultTooLarge
	default:
		return transport.ResultServerError
	}
}

// reportedValue returns the value of a field in a load report such as "x0=0.4,x1=25". It returns 0 if the field is
// missing or invalid, and a negative value if the report says 0.
func reportedValue(report, field string) float64 {
	for pair := range strings.SplitSeq(report, ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name == field {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < maxReportedValue {
				return scheduler.ReportedValue(v)
			}
		}
	}
	return 0
}
