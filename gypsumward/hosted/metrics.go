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
	}
	m.registry.MustRegister(m.counts, m.durations, collectors.NewGoCollector())
	return m
}

// Count adds n to the counter of a kind of decision.
func (m *metrics) Count(kind string, n int) { m.counts.WithLabelValues(kind).Add(float64(n)) }

// Observe records a duration in the histogram of its kind.
func (m *metrics) Observe(kind string, d time.Duration) {
	m.durations.WithLabelValues(kind).Observe(d.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
