package hosted

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the metrics of an instance. It implements cell.Metrics.
type metrics struct {
	registry  *prometheus.Registry
	counts    *prometheus.CounterVec
	durations *prometheus.HistogramVec
	calls     *prometheus.CounterVec
	bytes     *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gypsumward", Name: "decisions_total", Help: "Decisions by kind.",
		}, []string{"kind"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "gypsumward", Name: "took_seconds", Help: "Times by kind.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"kind"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gypsumward", Name: "calls_total", Help: "Calls to the platform and the runners, and calls of other instances, by name.",
		}, []string{"call"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gypsumward", Name: "call_bytes_total", Help: "Lengths of the bodies of these calls, by name and direction.",
		}, []string{"call", "direction"}),
	}
	m.registry.MustRegister(m.counts, m.durations, m.calls, m.bytes, collectors.NewGoCollector())
	return m
}

// Count adds n to the counter of a kind of decision.
func (m *metrics) Count(kind string, n int) { m.counts.WithLabelValues(kind).Add(float64(n)) }

// Observe records a duration in the histogram of its kind.
func (m *metrics) Observe(kind string, d time.Duration) {
	m.durations.WithLabelValues(kind).Observe(d.Seconds())
}

// CountCall records one call and the lengths of the bodies that this instance sent and
// received.
func (m *metrics) CountCall(name string, sent, received int) {
	m.calls.WithLabelValues(name).Inc()
	m.bytes.WithLabelValues(name, "sent").Add(float64(sent))
	m.bytes.WithLabelValues(name, "received").Add(float64(received))
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
