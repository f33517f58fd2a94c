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
	left := strconv.FormatInt(c.Allow.Milliseconds(), 10)
	if len(c.Papers) == 1 {
		p := &c.Papers[0]
		b := make([]byte, 0, 256+len(p.Body))
		b = http1.Field(http1.Begin(b, "POST", "/hook", c.Target), "X-Txn", p.ID)
		if p.Mark != "" {
			b = http1.Field(b, "Idempotency-Key", p.Mark)
		}
		return http1.End(http1.Field(b, "X-Remaining-Ms", left), p.Body)
	}
	size := 16
	for _, p := range c.Papers {
		size += len(p.Body)*4/3 + len(p.ID) + len(p.Mark) + 64
	}
	body := append(make([]byte, 0, size), '[')
	for i, p := range c.Papers {
		if i > 0 {
			body = append(body, ',')
		}
		body = quoted(append(body, `{"id":`...), p.ID)
		if p.Mark != "" {
			body = quoted(append(body, `,"key":`...), p.Mark)
		}
		body = append(body, `,"body":"`...)
		body = base64.StdEncoding.AppendEncode(body, p.Body)
		body = append(body, `"}`...)
	}
	body = append(body, ']')
	b := http1.Begin(make([]byte, 0, 256+len(body)), "POST", "/hook/batch", c.Target)
	b = http1.Field(b, "Content-Type", "application/json")
	return http1.End(http1.Field(b, "X-Remaining-Ms", left), body)
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

// Status, Field and Body make this an http1.Handler.

func (a *answer) Status(code int) { a.code = code }

func (a *answer) Field(name, value []byte) {
	switch {
	case http1.Is(name, "retry-after"):
		if s, err := strconv.ParseFloat(string(value), 64); err == nil && s > 0 && s < 1e6 {
			a.wait = s
		}
	case http1.Is(name, "x-line-busy"):
		a.busy = string(value) == "1"
	case http1.Is(name, "x-pressure"):
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
func (a *answer) ends(c *transport.Call) []transport.End {
	ends := make([]transport.End, len(c.Papers))
	for i := range ends {
		ends[i] = a.end()
	}
	if a.code != 200 || len(c.Papers) == 1 {
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
	for i, p := range c.Papers {
		switch told[p.ID] {
		case "ok":
			ends[i] = transport.Took
		case "later":
			ends[i] = transport.TurnedAway
			if a.wait > 0 {
				ends[i] = transport.Waiting
			}
		case "gone":
			ends[i] = transport.Gone
		case "exhausted":
			ends[i] = transport.Spent
		default: // not told, or told in a word unknown here: it may have run
			ends[i] = transport.Failed
		}
	}
	return ends
}

// end tells what the status alone means.
func (a *answer) end() transport.End {
	switch a.code {
	case 200:
		return transport.Took
	case 429:
		return transport.Waiting
	case 503:
		if a.busy {
			return transport.LineBusy
		}
		return transport.TurnedAway
	case 504:
		return transport.Spent
	case 410:
		return transport.Gone
	case 400, 413:
		return transport.Unread
	default:
		return transport.Failed
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
