// Package metrics counts what a forwarder does and serves the figures over HTTP. It is no part of the
// platform's program, whose memory it would raise by half: a program that wants it gives it to its Config.
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

// Recorder has its figures in a set of its own, so that several forwarders in a process keep apart. Labels take only
// values from short lists (ends, outcomes, frontends of the order): nothing grows with names that come and go.
type Server struct {
	set    *metrics.Set
	asked  map[string]*[len(words)]*metrics.Counter // by frontend
	of     string                                   // the forwarder's label
	ends   [transport.ResultCancelled + 1]*metrics.Counter
	took   *metrics.PrometheusHistogram
	finals [transport.Failed + 1]*metrics.Counter
	life   *metrics.PrometheusHistogram
	turn   *metrics.PrometheusHistogram
	news   *metrics.Counter
	server *http.Server
	addr   string
}

var words = [...]string{transport.StatusAccepted: "taken", transport.StatusOverloaded: "busy", transport.StatusInvalid: "declined"}

// New makes a meter with the given frontends and levels, and serves it at an address under /metrics, to readers
// that show the token as their bearer, if there is one.
func New(addr, token, forwarder string, fronts []string, levels []transport.Gauge) (transport.Recorder, error) {
	m := &Server{set: metrics.NewSet(), asked: map[string]*[len(words)]*metrics.Counter{}, of: fmt.Sprintf("forwarder=%q", forwarder)}
	for _, f := range fronts {
		m.asked[f] = &[len(words)]*metrics.Counter{}
		for w, word := range words {
			m.asked[f][w] = m.set.NewCounter(m.name("documents_total", "front", f, "answer", word))
		}
	}
	for i := range m.ends {
		m.ends[i] = m.set.NewCounter(m.name("transmission_ends_total", "end", strings.ReplaceAll(transport.ResultCode(i).String(), " ", "_")))
	}
	for i := range m.finals {
		m.finals[i] = m.set.NewCounter(m.name("final_answers_total", "outcome", transport.Outcome(i).String()))
	}
	m.took = m.set.NewPrometheusHistogramExt(m.name("transmission_seconds"), metrics.ExponentialBuckets(0.001, 2, 15))
	m.life = m.set.NewPrometheusHistogramExt(m.name("document_seconds"), metrics.ExponentialBuckets(0.001, 2, 17))
	m.turn = m.set.NewPrometheusHistogramExt(m.name("owner_turn_seconds"), metrics.ExponentialBuckets(0.00001, 4, 10))
	m.news = m.set.NewCounter(m.name("owner_news_total"))
	for _, l := range levels {
		m.set.NewGauge(m.name(l.Name, l.Labels...), l.Read)
	}
	return m, m.serve(addr, token)
}

// name is a figure's name with its labels, given as names and values in turn.
func (m *Server) name(name string, labels ...string) string {
	b := "spanflow_" + name + "{" + m.of
	for i := 0; i < len(labels); i += 2 {
		b += fmt.Sprintf(",%s=%q", labels[i], labels[i+1])
	}
	return b + "}"
}

func (m *Server) serve(addr, token string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if shown := r.Header.Get("Authorization"); token != "" && subtle.ConstantTimeCompare([]byte(shown), []byte("Bearer "+token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	m.server = &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	m.addr = l.Addr().String()
	go m.server.Serve(l)
	return nil
}

// Addr is where the figures are served.
func (m *Server) Addr() string { return m.addr }

// Stop ends the serving.
func (m *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if m.server.Shutdown(ctx) != nil {
		m.server.Close()
	}
}

// Request counts a message's answer at the door.
func (m *Server) SubmissionAnswered(front string, word transport.Status) {
	if f := m.asked[front]; f != nil {
		f[word].Inc()
	}
}

// AttemptEnded counts an attempt.
func (m *Server) AttemptEnded(end transport.ResultCode, took time.Duration) {
	m.ends[end].Inc()
	m.took.Update(took.Seconds())
}

// FinalAnswer counts a final answer, so long after the message was handed in.
func (m *Server) FinalAnswered(outcome transport.Outcome, after time.Duration) {
	m.finals[outcome].Inc()
	m.life.Update(after.Seconds())
}

// LoopTurn counts a turn of the event loop.
func (m *Server) LoopTurn(news int, took time.Duration) {
	if news == 0 {
		return
	}
	m.news.Add(news)
	m.turn.Update(took.Seconds())
}
