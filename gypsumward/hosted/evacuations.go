package hosted

import (
	"github.com/prometheus/client_golang/prometheus"

	"gypsumward/core/cell"
	"gypsumward/core/eventloop"
)

// passEvacuations posts the evacuated data centres to l before anything else, if they are known, and each
// change of them until the term is over. L must not run yet.
func (p *participant) passEvacuations(l *eventloop.Loop) {
	p.host.evacuations.Follow(l.Done(), func(zones []string) { l.Post(cell.Evacuation{Zones: zones}) })
}

// registerEvacuations registers the gauges of the evacuated data centres, and of the runners of the cells
// that this instance holds.
func (h *Host) registerEvacuations() {
	gauge := func(name, help string, value func() int) {
		h.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value()) }))
	}
	sum := func(of func(l *eventloop.Loop) int) func() int {
		return func() int {
			n := 0
			h.eachLoop(func(_ *participant, l *eventloop.Loop) { n += of(l) })
			return n
		}
	}
	gauge("evacuated_zones", "Data centres that the operator has evacuated, as last read.", func() int {
		state, _ := h.evacuations.Current()
		return len(state.Zones)
	})
	gauge("operator_rows_overdue", "1 if this process holds a cell and has not read the operator's rows within the bound of the settings.", func() int {
		if h.evacuations.Overdue() {
			return 1
		}
		return 0
	})
	gauge("evacuated_runners", "Runners of the cells held here that get no work since their data centre is evacuated.",
		sum(func(l *eventloop.Loop) int { n, _ := l.EvacuatedRunners(); return n }))
	gauge("evacuated_millicores", "Capacity of these runners in thousandths of a core.",
		sum(func(l *eventloop.Loop) int { _, cpu := l.EvacuatedRunners(); return cpu }))
	gauge("cold_runners", "Runners of the cells held here that are slower than usual for a time.", sum((*eventloop.Loop).ColdRunners))
}
