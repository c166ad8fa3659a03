package hosted

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// gauge counts what an instance does. It implements cell.Counter.
type gauge struct {
	registry *prometheus.Registry
	counts   *prometheus.CounterVec
	times    *prometheus.HistogramVec
}

func newGauge() *gauge {
	g := &gauge{
		registry: prometheus.NewRegistry(),
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "gypsumward", Name: "decisions_total", Help: "Decisions by kind.",
		}, []string{"kind"}),
		times: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "gypsumward", Name: "took_seconds", Help: "Times by kind.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"kind"}),
	}
	g.registry.MustRegister(g.counts, g.times, collectors.NewGoCollector())
	return g
}

// Count adds n to a count.
func (g *gauge) Count(what string, n int) { g.counts.WithLabelValues(what).Add(float64(n)) }

// Took adds a time.
func (g *gauge) Took(what string, d time.Duration) {
	g.times.WithLabelValues(what).Observe(d.Seconds())
}

func (g *gauge) handler() http.Handler {
	return promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{})
}
