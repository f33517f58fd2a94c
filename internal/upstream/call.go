package upstream

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"

	"spanflow/internal/http1"
	"spanflow/scheduler"
	"spanflow/transport"
)

// request writes a call in its form of HTTP.
func request(c *transport.Call) []byte {
	left := strconv.FormatInt(c.Timeout.Milliseconds(), 10)
	if len(c.Messages) == 1 {
		p := &c.Messages[0]
		b := make([]byte, 0, 256+len(p.Body))
		b = http1.AppendField(http1.AppendRequestLine(b, "POST", "/hook", c.Address), "X-Txn", p.ID)
		if p.IdempotencyKey != "" {
			b = http1.AppendField(b, "Idempotency-Key", p.IdempotencyKey)
		}
		return http1.AppendBody(http1.AppendField(b, "X-Remaining-Ms", left), p.Body)
	}
	size := 16
	for _, p := range c.Messages {
		size += len(p.Body)*4/3 + len(p.ID) + len(p.IdempotencyKey) + 64
	}
	body := append(make([]byte, 0, size), '[')
	for i, p := range c.Messages {
		if i > 0 {
			body = append(body, ',')
		}
		body = quoted(append(body, `{"id":`...), p.ID)
		if p.IdempotencyKey != "" {
			body = quoted(append(body, `,"key":`...), p.IdempotencyKey)
		}
		body = append(body, `,"body":"`...)
		body = base64.StdEncoding.AppendEncode(body, p.Body)
		body = append(body, `"}`...)
	}
	body = append(body, ']')
	b := http1.AppendRequestLine(make([]byte, 0, 256+len(body)), "POST", "/hook/batch", c.Address)
	b = http1.AppendField(b, "Content-Type", "application/json")
	return http1.AppendBody(http1.AppendField(b, "X-Remaining-Ms", left), body)
}

func quoted(b []byte, s string) []byte {
	q, _ := json.Marshal(s)
	return append(b, q...)
}

// answer is what is kept of an answer while it comes in.
type answer struct {
	code   int
	wait   float64
	busy   bool
	report string
	keep   bool // the body says something
	body   []byte
}

// Status, AppendField and Body make this an http1.Handler.

func (a *answer) Status(code int) { a.code = code }

func (a *answer) Field(name, value []byte) {
	switch {
	case http1.HasToken(name, "retry-after"):
		if s, err := strconv.ParseFloat(string(value), 64); err == nil && s > 0 && s < 1e6 {
			a.wait = s
		}
	case http1.HasToken(name, "x-line-busy"):
		a.busy = string(value) == "1"
	case http1.HasToken(name, "x-pressure"):
		a.report = string(value)
	}
}

func (a *answer) Body(piece []byte) error {
	if a.keep {
		a.body = append(a.body, piece...)
	}
	return nil
}

// ends tells what an answer means for each paper of a call.
func (a *answer) ends(c *transport.Call) []transport.ResultCode {
	ends := make([]transport.ResultCode, len(c.Messages))
	for i := range ends {
		ends[i] = a.end()
	}
	if a.code != 200 || len(c.Messages) == 1 {
		return ends
	}
	var states []struct{ ID, State string }
	if json.Unmarshal(a.body, &states) != nil {
		states = nil
	}
	told := make(map[string]string, len(states))
	for _, s := range states {
		told[s.ID] = s.State
	}
	for i, p := range c.Messages {
		switch told[p.ID] {
		case "ok":
			ends[i] = transport.ResultOK
		case "later":
			ends[i] = transport.ResultOverloaded
			if a.wait > 0 {
				ends[i] = transport.ResultRetryAfter
			}
		case "gone":
			ends[i] = transport.ResultGone
		case "exhausted":
			ends[i] = transport.ResultAttemptsExhausted
		default: // not told, or told in a word unknown here: it may have run
			ends[i] = transport.ResultServerError
		}
	}
	return ends
}

// end tells what the status alone means.
func (a *answer) end() transport.ResultCode {
	switch a.code {
	case 200:
		return transport.ResultOK
	case 429:
		return transport.ResultRetryAfter
	case 503:
		if a.busy {
			return transport.ResultNoSlot
		}
		return transport.ResultOverloaded
	case 504:
		return transport.ResultAttemptsExhausted
	case 410:
		return transport.ResultGone
	case 400, 413:
		return transport.ResultBadRequest
	default:
		return transport.ResultServerError
	}
}

// limit finds a figure of a limit in a load report, 0 if it tells nothing of one, under 0 if it says that there is none.
func limit(report, field string) float64 {
	for pair := range strings.SplitSeq(report, ",") {
		if name, value, _ := strings.Cut(strings.TrimSpace(pair), "="); name == field {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e9 {
				return scheduler.ReportedValue(v)
			}
		}
	}
	return 0
}
