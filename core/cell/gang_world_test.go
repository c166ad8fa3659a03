package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

const simAlone = 3 * time.Second // that a member of a gang waits for the others

// unit returns what the failures of a task are counted by: its gang, or itself.
func (w *world) unit(t work.Task) work.Task {
	if j := w.asked[t.Job]; j != nil && j.Steps[t.Step].Gang {
		t.Index = -1
	}
	return t
}

// savedBy returns how the checkpoints of a task, or of its gang, begin.
func (w *world) savedBy(t work.Task) string {
	return fmt.Sprintf("%v/", w.unit(t))
}

// present calls do for each runner that has a member of a run of a gang.
func (w *world) present(t work.Task, run int, do func(r *simRunner, member work.Task)) int {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(w.runners)) {
		r := w.runners[id]
		if r.dead || r.foreign {
			continue
		}
		for _, m := range r.tasks() {
			if w.unit(m) == w.unit(t) && r.runs[m].number == run {
				n++
				if do != nil {
					do(r, m)
				}
			}
		}
	}
	return n
}

// joinGang lets a member work with the others once all are present, and end alone if
// they do not come.
func (w *world) joinGang(r *simRunner, t work.Task, x *simRun, size int) {
	life := r.life
	if w.present(t, x.number, nil) < size {
		x.still = true
		w.after(simAlone, func() {
			if r.life == life && r.runs[t] == x && x.still {
				r.end(t, order.Alone)
			}
		})
		return
	}
	w.present(t, x.number, func(r *simRunner, m work.Task) { r.runs[m].still, r.runs[m].began = false, w.now })
	w.after(x.took, func() {
		if w.present(t, x.number, nil) == size {
			w.present(t, x.number, func(r *simRunner, m work.Task) { r.end(m, order.Finished) })
		}
	})
}

// breakGang ends the other members of a run of a gang of which one has ended.
func (w *world) breakGang(t work.Task, run int) {
	if w.unit(t) == t {
		return
	}
	w.after(w.jitter(), func() {
		w.present(t, run, func(r *simRunner, m work.Task) { r.end(m, order.Broken) })
	})
}
