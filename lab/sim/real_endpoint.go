package sim

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"spanflow/lab/receiver"
	"spanflow/transport"
)

// endpointServer is an endpoint's listener. While the endpoint refuses connections nobody listens there.
type endpointServer struct {
	run    *realRun
	model  *receiver.Endpoint
	addr   string
	mu     sync.Mutex
	ln     net.Listener
	conns  map[net.Conn]struct{}
	closed bool
}

const listenCheckInterval = 10 * time.Millisecond

func (d *realRun) openEndpoint(t *receiver.Endpoint) error {
	ep := &endpointServer{run: d, model: t, conns: map[net.Conn]struct{}{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ep.addr = ln.Addr().String()
	d.endpoints[t] = ep
	ep.serve(ln)
	go func() {
		tick := time.NewTicker(listenCheckInterval)
		defer tick.Stop()
		for range tick.C {
			d.mu.Lock()
			refused, _ := t.Connectivity()
			d.mu.Unlock()
			if !ep.setRefusing(refused) {
				return
			}
		}
	}()
	return nil
}

func (ep *endpointServer) serve(ln net.Listener) {
	ep.ln = ln
	server := &http.Server{Handler: ep, ConnState: func(c net.Conn, s http.ConnState) {
		ep.mu.Lock()
		defer ep.mu.Unlock()
		switch s {
		case http.StateNew:
			ep.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(ep.conns, c)
		}
	}}
	go server.Serve(ln)
}

// setRefusing closes or opens the listener; false once it is over.
func (ep *endpointServer) setRefusing(refused bool) bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	switch {
	case ep.closed:
		return false
	case refused && ep.ln != nil:
		ep.ln.Close()
		ep.ln = nil
		for c := range ep.conns {
			c.Close()
		}
	case !refused && ep.ln == nil:
		if ln, err := net.Listen("tcp", ep.addr); err == nil {
			ep.serve(ln)
		}
	}
	return true
}

func (ep *endpointServer) close() {
	ep.setRefusing(true)
	ep.mu.Lock()
	ep.closed = true
	ep.mu.Unlock()
}

// ServeHTTP takes a call to the model and writes what it answers.
func (ep *endpointServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 16<<20))
	if err != nil {
		return
	}
	d := ep.run
	ids, marks := []string{r.Header.Get("X-Txn")}, []string{r.Header.Get("Idempotency-Key")}
	if r.URL.Path == "/hook/batch" {
		var many []struct{ ID, Key, Body string }
		if json.Unmarshal(body, &many) != nil || len(many) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ids, marks = nil, nil
		for _, m := range many {
			if _, err := base64.StdEncoding.DecodeString(m.Body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			ids, marks = append(ids, m.ID), append(marks, m.Key)
		}
	}
	answer := make(chan receiver.Answer, 1)
	call := &receiver.Call{Answer: func(a receiver.Answer) { answer <- a }}
	d.mu.Lock()
	for i, id := range ids {
		n, _ := strconv.ParseUint(id, 16, 64)
		mark, _ := strconv.ParseUint(marks[i], 16, 64)
		message := receiver.Message{ID: n, IdempotencyKey: mark}
		if e := d.effects[n]; e != nil {
			message.Tenant, message.DeduplicationWindow, message.DeduplicatedPerZone = e.tenant, float64(e.typ.DeduplicationWindow), e.typ.Group == "zone"
			call.Forwarder = d.submittedTo[n]
		}
		call.Messages = append(call.Messages, message)
	}
	ep.model.Accept(call)
	d.mu.Unlock()
	var a receiver.Answer
	select {
	case a = <-answer:
	case <-r.Context().Done():
		d.mu.Lock()
		call.Cancel()
		ep.model.ForwarderSawFailure(call.Forwarder)
		d.attemptsClosed(call, false)
		d.mu.Unlock()
		return
	}
	d.mu.Lock()
	d.attemptsClosed(call, outcomeKnown(a.Code))
	d.result.AttemptResults[a.Code.String()] += len(call.Messages)
	if a.Code != transport.ResultOK {
		ep.model.ForwarderSawFailure(call.Forwarder)
	}
	if a.Code == transport.ResultOK {
		for _, message := range call.Messages {
			if d.effects[message.ID] != nil && !d.log.Answered(message.ID) { // a notice may have crossed it, which does no harm
				d.log.FinalAnswer(message.ID, "delivered")
				d.deliveredToForwarder[message.ID] = true
			}
		}
	}
	d.mu.Unlock()
	if a.ReportedLimit != 0 {
		w.Header().Set("X-Pressure", fmt.Sprintf("x0=%g,x1=%g", max(0, a.ReportedRemaining), max(0, a.ReportedLimit)))
	}
	switch a.Code {
	case transport.ResultOK:
		if len(ids) > 1 {
			var b strings.Builder
			for i, id := range ids {
				fmt.Fprintf(&b, `%s{"id":%q,"state":"ok"}`, map[bool]string{true: "[", false: ","}[i == 0], id)
			}
			io.WriteString(w, b.String()+"]")
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

func (d *realRun) attemptsClosed(c *receiver.Call, known bool) {
	for _, message := range c.Messages {
		d.log.AttemptClosed(message.ID, known)
	}
}
