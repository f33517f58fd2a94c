package sim

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
	"spanflow/transport"
)

const (
	batchPath    = "/hook/batch"
	maxCallBytes = 16 << 20
)

// calledMessage is one message of a call in the format of the wire.
type calledMessage struct {
	ID   string
	Key  string // idempotency key
	Body string // base64; only set in a batch
}

var errMalformedCall = errors.New("malformed batch of messages")

// ServeHTTP passes a call to the model and writes the model's answer.
func (s *endpointServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err != nil {
		return
	}
	called, err := parseMessages(r, body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answers := make(chan receiver.Answer, 1)
	call := &receiver.Call{Answer: func(a receiver.Answer) { answers <- a }}
	run := s.run
	run.mu.Lock()
	run.addMessages(call, called)
	s.model.Accept(call)
	run.mu.Unlock()
	select {
	case a := <-answers:
		run.mu.Lock()
		s.recordAnswer(call, a)
		run.mu.Unlock()
		writeAnswer(w, a, called)
	case <-r.Context().Done():
		run.mu.Lock()
		call.Cancel()
		s.model.ForwarderSawFailure(call.Forwarder)
		run.closeAttempts(call, false)
		run.mu.Unlock()
	}
}

// parseMessages returns the messages of a call, which has either a single message identified by headers or a batch.
func parseMessages(r *http.Request, body []byte) ([]calledMessage, error) {
	if r.URL.Path != batchPath {
		return []calledMessage{{ID: r.Header.Get("X-Txn"), Key: r.Header.Get("Idempotency-Key")}}, nil
	}
	var batch []calledMessage
	if json.Unmarshal(body, &batch) != nil || len(batch) == 0 {
		return nil, errMalformedCall
	}
	for _, m := range batch {
		if _, err := base64.StdEncoding.DecodeString(m.Body); err != nil {
			return nil, errMalformedCall
		}
	}
	return batch, nil
}

// addMessages adds messages to a call, with the details that the run recorded at their submission. The lock must be
// held.
func (run *realRun) addMessages(call *receiver.Call, called []calledMessage) {
	for _, m := range called {
		id, _ := strconv.ParseUint(m.ID, 16, 64)
		key, _ := strconv.ParseUint(m.Key, 16, 64)
		message := receiver.Message{ID: id, IdempotencyKey: key}
		if e := run.effects[id]; e != nil {
			message.Tenant = e.tenant
			message.DeduplicationWindow = float64(e.messageType.DeduplicationWindow)
			message.DeduplicatedPerZone = e.messageType.Group == scenario.KnownInOneZone
			call.Forwarder = run.submittedTo[id]
		}
		call.Messages = append(call.Messages, message)
	}
}

// recordAnswer records the answer to a call. The lock must be held.
func (s *endpointServer) recordAnswer(call *receiver.Call, a receiver.Answer) {
	run := s.run
	run.closeAttempts(call, outcomeKnown(a.Code))
	run.result.AttemptResults[a.Code.String()] += len(call.Messages)
	if a.Code != transport.ResultOK {
		s.model.ForwarderSawFailure(call.Forwarder)
		return
	}
	if slices.ContainsFunc(call.Messages, func(m receiver.Message) bool { return run.log.Ended(m.ID) }) {
		return
	}
	for _, m := range call.Messages {
		if run.effects[m.ID] != nil {
			run.log.FinalAnswer(m.ID, answerDelivered)
			run.deliveredToForwarder[m.ID] = true
		}
	}
}

func (run *realRun) closeAttempts(c *receiver.Call, known bool) {
	for _, m := range c.Messages {
		run.log.AttemptClosed(m.ID, known)
	}
}

// writeAnswer writes the answer to a call as an HTTP response, or breaks the connection for codes without a response.
func writeAnswer(w http.ResponseWriter, a receiver.Answer, called []calledMessage) {
	if a.ReportedLimit != 0 {
		w.Header().Set("X-Pressure", fmt.Sprintf("x0=%g,x1=%g", max(0, a.ReportedRemaining), max(0, a.ReportedLimit)))
	}
	switch a.Code {
	case transport.ResultOK:
		if len(called) > 1 {
			io.WriteString(w, batchAnswer(called))
			return
		}
		w.WriteHeader(http.StatusOK)
	case transport.ResultRetryAfter:
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter, 'f', 3, 64))
		w.WriteHeader(http.StatusTooManyRequests)
	case transport.ResultOverloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
	case transport.ResultServerError:
		w.WriteHeader(http.StatusInternalServerError)
	case transport.ResultMalformed:
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			io.WriteString(c, "HTP/1.1 2oo what\r\n\r\n")
			c.Close()
		}
	default:
		panic(http.ErrAbortHandler)
	}
}

// batchAnswer returns the body of a response that reports each message of a batch as delivered.
func batchAnswer(called []calledMessage) string {
	var b strings.Builder
	separator := "["
	for _, m := range called {
		fmt.Fprintf(&b, `%s{"id":%q,"state":"ok"}`, separator, m.ID)
		separator = ","
	}
	return b.String() + "]"
}
