package hosted

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumward/core/intake"
	"gypsumward/core/monotonic"
)

// Dependencies whose last successful read is recorded.
const (
	configReads = "config"
	noticeReads = "notices"
	memberReads = "members"
	runnerReads = "runners"
)

// namespace is the prefix of the names of all metrics.
const namespace = "gypsumward"

// metrics holds the metrics of an instance. It implements cell.Metrics.
type metrics struct {
	*pairGauge
	registry  *prometheus.Registry
	counts    *prometheus.CounterVec
	durations *prometheus.HistogramVec
	calls     *prometheus.CounterVec
	bytes     *prometheus.CounterVec
	lastReads map[string]*atomic.Int64 // nanoseconds of the monotonic clock, by dependency; zero before the first
}

func newMetrics() *metrics {
	m := &metrics{
		pairGauge: newPairGauge(),
		registry:  prometheus.NewRegistry(),
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "decisions_total", Help: "Decisions by kind.",
		}, []string{"kind"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "took_seconds", Help: "Times by kind.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"kind"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_total", Help: "Calls to the platform and the runners, and calls of other instances, by name.",
		}, []string{"call"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "call_bytes_total", Help: "Lengths of the bodies of these calls, by name and direction.",
		}, []string{"call", "direction"}),
		lastReads: map[string]*atomic.Int64{},
	}
	for _, dependency := range []string{configReads, noticeReads, memberReads, runnerReads} {
		m.lastReads[dependency] = &atomic.Int64{}
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "read_age_seconds", ConstLabels: prometheus.Labels{"what": dependency},
			Help: "Time since the last successful read of rows of the store; -1 before the first one.",
		}, func() float64 { return m.ReadAge(dependency) }))
	}
	m.registry.MustRegister(m.counts, m.durations, m.calls, m.bytes, m.pairGauge, collectors.NewGoCollector())
	return m
}

// ReadAge returns the seconds since the last successful read of a dependency, or -1 if there was none.
func (m *metrics) ReadAge(dependency string) float64 {
	at := m.lastReads[dependency].Load()
	if at == 0 {
		return -1
	}
	return time.Duration(monotonic.Clock{}.Now().UnixNano() - at).Seconds()
}

// RecordRead records a successful read of a dependency.
func (m *metrics) RecordRead(dependency string) {
	m.lastReads[dependency].Store(monotonic.Clock{}.Now().UnixNano())
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

// gaugeIntake exports the bytes and connections that the gate of a server holds.
func (m *metrics) gaugeIntake(server string, g *intake.Gate) {
	labels := prometheus.Labels{"server": server}
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "intake_bytes", ConstLabels: labels,
			Help: "Memory held for connections of clients and their input.",
		}, func() float64 { bytes, _ := g.Used(); return float64(bytes) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "intake_connections", ConstLabels: labels,
			Help: "Connections of clients.",
		}, func() float64 { _, conns := g.Used(); return float64(conns) }),
	)
}
