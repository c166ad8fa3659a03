package cell_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/work"
)

// evacuate makes the operator evacuate exactly the given data centres, and tells the holder.
func (w *world) evacuate(zones ...string) {
	w.evacuated = append([]string{}, zones...)
	slices.Sort(w.evacuated)
	w.markEvacuated()
	w.holder().readEvacuated()
}

// evacuateFor makes the operator evacuate data centres for a time, beside those that are evacuated already.
func (w *world) evacuateFor(d time.Duration, zones ...string) {
	w.evacuate(slices.Concat(zones, w.evacuated)...)
	w.after(d, func() {
		rest := slices.Clone(w.evacuated)
		for _, zone := range zones {
			i := slices.Index(rest, zone)
			rest = slices.Delete(rest, i, i+1)
		}
		w.evacuate(rest...)
	})
}

// readEvacuated tells the cell which data centres are evacuated, once its process can read that.
func (p *process) readEvacuated() {
	if p.storeUnreachable || p.world.store.down {
		if !p.killed && !p.cell.Deposed() {
			p.world.after(100*time.Millisecond, p.readEvacuated)
		}
		return
	}
	p.tellEvacuated()
}

// tellEvacuated tells the cell which data centres are evacuated, if any ever was.
func (p *process) tellEvacuated() {
	if p.world.evacuated == nil {
		return
	}
	zones := slices.Compact(slices.Clone(p.world.evacuated))
	p.exec(func() {
		cell.Evacuation{Zones: zones}.Apply(p.cell, p.world.now)
		p.toldEvacuated = map[string]bool{}
		for _, zone := range zones {
			p.toldEvacuated[zone] = true
		}
	})
}

// markEvacuated notes the runs in data centres that are evacuated: they must go on.
func (w *world) markEvacuated() {
	for _, r := range w.runners {
		if slices.Contains(w.evacuated, r.zone) {
			for _, x := range r.runs {
				x.evacuated = true
			}
		}
	}
}

// checkGoesOn records a violation if a run that was there when an evacuation began is stopped, or its
// lease ends, although no fault has been injected.
func (r *simRunner) checkGoesOn(t work.Task, x *simRun, reason order.EndReason) {
	w := r.world
	if w.runsGoOn && x.evacuated && !isPoison(w.submitted[t.Job]) && reason != order.Finished && reason != order.Failed {
		w.recordViolation("EVACUATED %s: run %d of %v ends as %v", r.id, x.number, t, reason)
	}
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

// drawEvacuations draws evacuations of some of the given data centres that begin within a time, and returns
// the function that schedules each in w. The last one ends 4 s after that time.
func drawEvacuations(t *rapid.T, within time.Duration, zones ...string) []func(w *world) {
	var list []func(w *world)
	for range rapid.IntRange(0, 3).Draw(t, "evacuations") {
		some := zones[:rapid.IntRange(1, len(zones)).Draw(t, "zones")]
		if rapid.Bool().Draw(t, "last") {
			some = zones[len(zones)-1:]
		}
		at := time.Duration(rapid.IntRange(0, int(within.Milliseconds())).Draw(t, "evacuated")) * time.Millisecond
		lasts := rapid.SampledFrom([]time.Duration{200, 1000, 4000}).Draw(t, "lasts") * time.Millisecond
		cold := rapid.SampledFrom([]time.Duration{0, 300, 3000}).Draw(t, "cold") * time.Millisecond
		list = append(list, func(w *world) {
			w.after(at, func() { w.evacuateFor(lasts, some...) })
			w.after(at+lasts, func() {
				for _, r := range w.runners {
					if cold > 0 && slices.Contains(some, r.zone) {
						r.coldUntil, r.coldSlowdown = w.now.Add(cold), 2
					}
				}
				w.updateDirectory()
			})
		})
	}
	return list
}

// checkRefusal records a violation if a job of which a task has been started is refused.
func (w *world) checkRefusal(j *work.Job, o cell.Outcome) {
	for task := range w.lastRuns {
		if o.Verdict == cell.Refused && task.Job == j.ID {
			w.recordViolation("REFUSED %v although it was started", task)
		}
	}
}
