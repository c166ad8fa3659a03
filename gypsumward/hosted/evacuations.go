package hosted

import (
	"github.com/prometheus/client_golang/prometheus"

	"gypsumward/core/cell"
	"gypsumward/core/evacuation"
	"gypsumward/core/eventloop"
)

// passEvacuations posts the evacuated data centres to l before anything else, if they are known, and each
// change of them until the term is over. L must not run yet.
func (p *participant) passEvacuations(l *eventloop.Loop) {
	p.host.evacuations.Follow(l.Done(), func(zones []string) { l.Post(cell.Evacuation{Zones: zones}) })
}

// registerEvacuations registers the gauges of the evacuated data centres.
func (m *metrics) registerEvacuations(z *evacuation.Zones) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	gauge("evacuated_zones", "Data centres that the operator has evacuated, as last read.", func() float64 {
		state, _ := z.Current()
		return float64(len(state.Zones))
	})
	gauge("operator_rows_overdue", "1 if this process holds a cell and has not read the operator's rows within the bound of the settings.", func() float64 {
		if z.Overdue() {
			return 1
		}
		return 0
	})
}
