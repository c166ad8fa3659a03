package hosted

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gypsumward/core/interference"
	"gypsumward/core/monotonic"
)

// pairAge is the time after which the pairs of a cell are no longer shown. The holder of a cell sets
// them once a second; they end with its term.
const pairAge = 5 * time.Second

// pairGauge is a collector of the pairs of kinds that are believed to interfere, by cell.
type pairGauge struct {
	factor, since *prometheus.Desc

	mu    sync.Mutex
	cells map[string]cellPairs
}

// cellPairs holds the pairs of a cell and when they were set.
type cellPairs struct {
	pairs []interference.Pair
	at    time.Time
}

func newPairGauge() *pairGauge {
	labels := []string{"cell", "queue", "size", "beside", "besidesize"}
	return &pairGauge{
		factor: prometheus.NewDesc("gypsumward_interference_factor", "Factor by which tasks are believed to take longer beside others.", labels, nil),
		since:  prometheus.NewDesc("gypsumward_interference_age_seconds", "Time for which this has been believed.", labels, nil),
		cells:  map[string]cellPairs{},
	}
}

// SetInterference replaces the pairs of a cell.
func (g *pairGauge) SetInterference(cell string, pairs []interference.Pair) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cells[cell] = cellPairs{pairs: pairs, at: monotonic.Clock{}.Now()}
}

// Describe implements prometheus.Collector.
func (g *pairGauge) Describe(descs chan<- *prometheus.Desc) {
	descs <- g.factor
	descs <- g.since
}

// Collect implements prometheus.Collector.
func (g *pairGauge) Collect(metrics chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := monotonic.Clock{}.Now()
	for cell, c := range g.cells {
		if now.Sub(c.at) > pairAge {
			delete(g.cells, cell)
			continue
		}
		for _, p := range c.pairs {
			labels := []string{cell, p.Kind.Queue, strconv.Itoa(p.Kind.Size), p.Beside.Queue, strconv.Itoa(p.Beside.Size)}
			metrics <- prometheus.MustNewConstMetric(g.factor, prometheus.GaugeValue, p.Factor, labels...)
			metrics <- prometheus.MustNewConstMetric(g.since, prometheus.GaugeValue, now.Sub(p.Since).Seconds(), labels...)
		}
	}
}
