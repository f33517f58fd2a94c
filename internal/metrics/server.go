// Package metrics counts what a forwarder does and serves its metrics over HTTP. The platform's program does without
// it, as it would raise the program's memory by half; a program that wants it sets it in its Config.
//
// The names of metrics and the values of labels are older than the names in the code. They stay: dashboards use them.
package metrics

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"spanflow/transport"
)

const (
	namePrefix     = "spanflow_"
	ioTimeout      = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 8 << 10
	stopTimeout    = 200 * time.Millisecond
)

// Server is a transport.Recorder that serves its metrics. They are in a set of their own, so that several forwarders in
// a process are kept apart. Labels take only values from short lists (results, outcomes, configured frontends), so that
// the number of time series is bounded.
type Server struct {
	set            *metrics.Set
	forwarderLabel string                                          // name and value
	answers        map[string]*[len(answerLabels)]*metrics.Counter // by frontend
	attempts       [transport.ResultCancelled + 1]*metrics.Counter
	attemptSeconds *metrics.PrometheusHistogram
	finalAnswers   [transport.Failed + 1]*metrics.Counter
	messageSeconds *metrics.PrometheusHistogram
	turnSeconds    *metrics.PrometheusHistogram
	events         *metrics.Counter
	server         *http.Server
	addr           string
}

// answerLabels are the label values for the answers to submissions.
var answerLabels = [...]string{
	transport.StatusAccepted:   "taken",
	transport.StatusOverloaded: "busy",
	transport.StatusInvalid:    "declined",
}

// New returns a recorder for the given frontends and gauges and serves it at a TCP address under /metrics, to readers
// that present the token as their bearer token, if it is not empty. The error is that of listening.
func New(addr, token, forwarder string, frontends []string, gauges []transport.Gauge) (transport.Recorder, error) {
	s := &Server{
		set:            metrics.NewSet(),
		forwarderLabel: fmt.Sprintf("forwarder=%q", forwarder),
		answers:        map[string]*[len(answerLabels)]*metrics.Counter{},
	}
	s.addCounters(frontends)
	s.addHistograms()
	for _, g := range gauges {
		s.set.NewGauge(s.name(g.Name, g.Labels...), g.Read)
	}
	return s, s.serve(addr, token)
}

func (s *Server) addCounters(frontends []string) {
	for _, frontend := range frontends {
		s.answers[frontend] = &[len(answerLabels)]*metrics.Counter{}
		for status, label := range answerLabels {
			s.answers[frontend][status] = s.set.NewCounter(s.name("documents_total", "front", frontend, "answer", label))
		}
	}
	for i := range s.attempts {
		label := strings.ReplaceAll(transport.ResultCode(i).String(), " ", "_")
		s.attempts[i] = s.set.NewCounter(s.name("transmission_ends_total", "end", label))
	}
	for i := range s.finalAnswers {
		s.finalAnswers[i] = s.set.NewCounter(s.name("final_answers_total", "outcome", transport.Outcome(i).String()))
	}
	s.events = s.set.NewCounter(s.name("owner_news_total"))
}

func (s *Server) addHistograms() {
	histogram := func(name string, start, factor float64, count int) *metrics.PrometheusHistogram {
		return s.set.NewPrometheusHistogramExt(s.name(name), metrics.ExponentialBuckets(start, factor, count))
	}
	s.attemptSeconds = histogram("transmission_seconds", 0.001, 2, 15)
	s.messageSeconds = histogram("document_seconds", 0.001, 2, 17)
	s.turnSeconds = histogram("owner_turn_seconds", 0.00001, 4, 10)
}

// name returns a metric's name with its labels, given as names and values in turn.
func (s *Server) name(name string, labels ...string) string {
	full := namePrefix + name + "{" + s.forwarderLabel
	for i := 0; i < len(labels); i += 2 {
		full += fmt.Sprintf(",%s=%q", labels[i], labels[i+1])
	}
	return full + "}"
}

func (s *Server) serve(addr, token string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) { s.write(w, r, token) })
	s.server = &http.Server{
		Handler:        mux,
		ReadTimeout:    ioTimeout,
		WriteTimeout:   ioTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	s.addr = l.Addr().String()
	go s.server.Serve(l)
	return nil
}

// write answers a request for the metrics.
func (s *Server) write(w http.ResponseWriter, r *http.Request, token string) {
	if !authorized(r, token) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// authorized reports whether a request has the token, in constant time.
func authorized(r *http.Request, token string) bool {
	presented := r.Header.Get("Authorization")
	return token == "" || subtle.ConstantTimeCompare([]byte(presented), []byte("Bearer "+token)) == 1
}

// Addr returns the address at which the metrics are served.
func (s *Server) Addr() string { return s.addr }

// Stop stops serving, within 200 ms.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		s.server.Close()
	}
}

// SubmissionAnswered counts the answer to a submission. Frontends that New was not given are ignored.
func (s *Server) SubmissionAnswered(frontend string, status transport.Status) {
	if answers := s.answers[frontend]; answers != nil {
		answers[status].Inc()
	}
}

// AttemptEnded counts an attempt and its duration.
func (s *Server) AttemptEnded(code transport.ResultCode, took time.Duration) {
	s.attempts[code].Inc()
	s.attemptSeconds.Update(took.Seconds())
}

// FinalAnswered counts a final answer and the time since its message was submitted.
func (s *Server) FinalAnswered(outcome transport.Outcome, after time.Duration) {
	s.finalAnswers[outcome].Inc()
	s.messageSeconds.Update(after.Seconds())
}

// LoopTurn counts the events of a turn of the event loop and its duration; turns without events are not counted.
func (s *Server) LoopTurn(events int, took time.Duration) {
	if events == 0 {
		return
	}
	s.events.Add(events)
	s.turnSeconds.Update(took.Seconds())
}
