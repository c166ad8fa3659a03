package cell_test

import (
	"gypsumward/core/cell"
	"gypsumward/core/order"
)

// evacuate makes the operator evacuate exactly the given data centres, and tells the holder.
func (w *world) evacuate(zones ...string) {
	w.evacuated = append([]string{}, zones...)
	w.holder().tellEvacuated()
}

// tellEvacuated tells the cell which data centres are evacuated, if any ever was.
func (p *process) tellEvacuated() {
	if p.world.evacuated == nil {
		return
	}
	zones := p.world.evacuated
	p.exec(func() {
		cell.Evacuation{Zones: zones}.Apply(p.cell, p.world.now)
		p.toldEvacuated = map[string]bool{}
		for _, zone := range zones {
			p.toldEvacuated[zone] = true
		}
	})
}

// checkEvacuated records a violation if a start order goes to a runner of a data centre of which the
// cell has been told that it is evacuated.
func (p *process) checkEvacuated(id string, s order.Start) {
	if p.startsSent == nil {
		p.startsSent = map[string]int{}
	}
	p.startsSent[id]++
	if r := p.world.runners[id]; r != nil && p.toldEvacuated[r.zone] {
		p.world.recordViolation("EVACUATED %s: start of %v", id, s.Task)
	}
}

// setZones puts the runners into data centres, in turn by the last digit of their ids.
func (w *world) setZones(zones ...string) {
	for id, r := range w.runners {
		r.zone = zones[int(id[len(id)-1]-'0')%len(zones)]
	}
}

// runsIn returns the number of runs in a data centre.
func (w *world) runsIn(zone string) int {
	n := 0
	for _, r := range w.runners {
		if r.zone == zone {
			n += len(r.runs)
		}
	}
	return n
}

// startedIn returns the number of tasks that have been started in a data centre.
func (w *world) startedIn(zone string) int {
	n := 0
	for _, r := range w.runners {
		if r.zone == zone {
			n += len(r.highestRun)
		}
	}
	return n
}
