package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

const simGangTimeout = 3 * time.Second // how long a member of a gang waits for the others

// failureUnit returns the task under which failures of t are counted: t itself, or the
// task with index -1 for all members of a gang.
func (w *world) failureUnit(t work.Task) work.Task {
	if j := w.submitted[t.Job]; j != nil && j.Steps[t.Step].Gang {
		t.Index = -1
	}
	return t
}

// checkpointPrefix returns the prefix of all checkpoints of a task, or of its gang.
func (w *world) checkpointPrefix(t work.Task) string {
	return fmt.Sprintf("%v/", w.failureUnit(t))
}

// eachMember calls do, unless it is nil, for each member of a gang that is running with
// the given run number, and returns the number of these members.
func (w *world) eachMember(t work.Task, run int, do func(r *simRunner, member work.Task)) int {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(w.runners)) {
		r := w.runners[id]
		if r.dead || r.replaced {
			continue
		}
		for _, m := range r.sortedTasks() {
			if w.failureUnit(m) == w.failureUnit(t) && r.runs[m].number == run {
				n++
				if do != nil {
					do(r, m)
				}
			}
		}
	}
	return n
}

// joinGang starts the work of a gang once all size members are present. A member for which
// the others do not come in simGangTimeout ends as alone.
func (w *world) joinGang(r *simRunner, t work.Task, x *simRun, size int) {
	incarnation := r.incarnation
	if w.eachMember(t, x.number, nil) < size {
		x.stalled = true
		w.after(simGangTimeout, func() {
			if r.incarnation == incarnation && r.runs[t] == x && x.stalled {
				r.end(t, order.GangIncomplete)
			}
		})
		return
	}
	w.eachMember(t, x.number, func(r *simRunner, m work.Task) { r.runs[m].stalled, r.runs[m].startedAt = false, w.now })
	w.after(x.duration, func() {
		if w.eachMember(t, x.number, nil) == size {
			w.eachMember(t, x.number, func(r *simRunner, m work.Task) { r.end(m, order.Finished) })
		}
	})
}

// breakGang ends the other members of a gang after one has ended without finishing.
func (w *world) breakGang(t work.Task, run int) {
	if w.failureUnit(t) == t {
		return
	}
	w.after(w.jitter(), func() {
		w.eachMember(t, run, func(r *simRunner, m work.Task) { r.end(m, order.GangBroken) })
	})
}
