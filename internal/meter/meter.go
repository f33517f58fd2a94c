// Package meter counts what a forwarder does and serves the figures where an order says so. A nil Meter counts nothing:
// where nothing is exposed it costs a comparison.
package meter

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"spanflow/seam"
)

// Meter has its figures in a registry of its own, so that several forwarders in a process keep apart. Labels take only
// values from short lists (ends, outcomes, fronts of the order): nothing grows with names that come and go.
type Meter struct {
	registry *prometheus.Registry
	asked    *prometheus.CounterVec
	ends     [seam.Recalled + 1]prometheus.Counter
	took     prometheus.Histogram
	finals   [seam.Abandoned + 1]prometheus.Counter
	life     prometheus.Histogram
	turn     prometheus.Histogram
	news     prometheus.Counter
	server   *http.Server
	addr     string
}

var words = [...]string{seam.Taken: "taken", seam.Busy: "busy", seam.Declined: "declined"}

// Level is a figure that is read when it is asked for; Read must be safe to call from any goroutine.
type Level struct {
	Name, Help string
	Read       func() float64
}

// New makes a meter with the given levels.
func New(forwarder string, levels ...Level) *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	of := prometheus.WrapRegistererWith(prometheus.Labels{"forwarder": forwarder}, m.registry)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "spanflow", Name: name, Help: help}, labels)
		of.MustRegister(c)
		return c
	}
	histogram := func(name, help string, from, factor float64, n int) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "spanflow", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(from, factor, n)})
		of.MustRegister(h)
		return h
	}
	m.asked = counter("documents_total", "Documents handed in, by front and answer at the door.", "front", "answer")
	ends := counter("transmission_ends_total", "Transmissions, by the way in which each ended.", "end")
	for i := range m.ends {
		m.ends[i] = ends.WithLabelValues(strings.ReplaceAll(seam.End(i).String(), " ", "_"))
	}
	finals := counter("final_answers_total", "Documents that got their final answer, by outcome.", "outcome")
	for i := range m.finals {
		m.finals[i] = finals.WithLabelValues(seam.Outcome(i).String())
	}
	m.took = histogram("transmission_seconds", "Time that transmissions took.", 0.001, 2, 15)
	m.life = histogram("document_seconds", "Time from the handing in to the final answer.", 0.001, 2, 17)
	m.turn = histogram("owner_turn_seconds", "Time that the owner of the module took for a turn.", 0.00001, 4, 10)
	m.news = counter("owner_news_total", "News that the owner took.").WithLabelValues()
	for _, l := range levels {
		of.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "spanflow", Name: l.Name, Help: l.Help}, l.Read))
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Serve exposes the figures at an address, under /metrics.
func (m *Meter) Serve(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2, Timeout: 5 * time.Second}))
	m.server, m.addr = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}, l.Addr().String()
	go m.server.Serve(l)
	return nil
}

// Addr is where the figures are served.
func (m *Meter) Addr() string { return m.addr }

// Stop ends the serving.
func (m *Meter) Stop() {
	if m == nil || m.server == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if m.server.Shutdown(ctx) != nil {
		m.server.Close()
	}
}

// Asked counts a document's answer at the door.
func (m *Meter) Asked(front string, word seam.Word) {
	if m == nil {
		return
	}
	if front == "" {
		front = "resp"
	}
	m.asked.WithLabelValues(front, words[word]).Inc()
}

// End counts a transmission.
func (m *Meter) End(end seam.End, took time.Duration) {
	if m == nil {
		return
	}
	m.ends[end].Inc()
	m.took.Observe(took.Seconds())
}

// Final counts a final answer, so long after the document was handed in.
func (m *Meter) Final(outcome seam.Outcome, after time.Duration) {
	if m == nil {
		return
	}
	m.finals[outcome].Inc()
	m.life.Observe(after.Seconds())
}

// Turn counts a turn of the owner.
func (m *Meter) Turn(news int, took time.Duration) {
	if m == nil || news == 0 {
		return
	}
	m.news.Add(float64(news))
	m.turn.Observe(took.Seconds())
}
