// Package metrics records a forwarder's metrics and serves them over HTTP. The platform's program does not link it,
// because it would increase the program's memory by half. Other programs set it as the Recorder of forwarder.Config.
//
// Metric names and label values are older than the names in the code and must not change, because dashboards use them.
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

// Server is a transport.Recorder that serves its metrics. Each Server has a separate metric set, so that a process can
// run several forwarders. Label values come from short lists (results, outcomes, configured frontends), which bounds
// the number of time series.
type Server struct {
	set            *metrics.Set
	forwarderLabel string                                          // label name and value
	answers        map[string]*[len(answerLabels)]*metrics.Counter // by frontend
	attempts       [transport.ResultTooLarge + 1]*metrics.Counter
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

// New returns a recorder for the given frontends and gauges, and serves its metrics under /metrics at a TCP address. If
// token is not empty, readers must present it as their bearer token. New returns an error if it cannot listen at the
// address.
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

// name returns a metric's full name. The labels are given as alternating names and values.
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

// authorized reports whether a request has the token, which it compares in constant time.
func authorized(r *http.Request, token string) bool {
	presented := r.Header.Get("Authorization")
	return token == "" || subtle.ConstantTimeCompare([]byte(presented), []byte("Bearer "+token)) == 1
}

// Addr returns the address at which the metrics are served.
func (s *Server) Addr() string { return s.addr }

// Stop stops serving. After 200 ms it closes the connections that are still open.
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

// LoopTurn counts the events of a turn of the event loop and its duration. Turns without events are not counted.
func (s *Server) LoopTurn(events int, took time.Duration) {
	if events == 0 {
		return
	}
	s.events.Add(events)
	s.turnSeconds.Update(took.Seconds())
}
