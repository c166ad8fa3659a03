package cell

import (
	"slices"
	"time"

	"gypsumward/core/order"
	"gypsumward/core/work"
)

// ends takes the ends that a runner lists.
func (c *Cell) ends(now time.Time, r *runner, list []order.End) {
	if len(list) > 0 && !r.based {
		r.based = true
		r.acked = max(r.acked, list[0].N-1) // a former holder has acknowledged those before
	}
	for _, e := range list {
		if e.N <= r.acked {
			continue
		}
		if _, known := r.ends[e.N]; known {
			continue
		}
		r.ends[e.N] = false
		c.end(now, r, e)
	}
	r.advance()
}

// advance moves the number up to which all ends may be forgotten.
func (r *runner) advance() {
	for r.ends[r.acked+1] {
		r.acked++
		delete(r.ends, r.acked)
	}
}

// settle notes that the rows hold what follows from an end.
func (e endRef) settle() {
	if e.runner.life != e.life {
		return
	}
	if _, known := e.runner.ends[e.n]; known {
		e.runner.ends[e.n] = true
		e.runner.advance()
	}
}

// end takes one end.
func (c *Cell) end(now time.Time, r *runner, e order.End) {
	key := runKey{e.Task, e.Run}
	x := r.runs[key]
	ref := endRef{runner: r, life: r.life, n: e.N}
	j := c.jobs[e.Task.Job]
	var t *task
	if j != nil {
		t = j.task(e.Task)
	}
	c.Counter.Count("end_"+string(e.How), 1)
	if x != nil {
		c.learn(now, x, e.How)
	}
	if t != nil {
		t.save(e.Run, e.Saved)
	}
	switch {
	case t == nil:
		c.drop(x, ref)
	case j.state.Ended():
		c.trailing(j, x, ref)
	case t.spec().Lasting:
		c.lasted(now, t, x, e, ref)
	case e.How == order.Finished:
		c.done(now, t, x, e, ref)
	case e.How == order.Failed:
		c.fail(now, t, x, e, ref)
	default:
		if x != nil && x.stopping.IsZero() {
			c.log("event", "interrupted", "runner", r.ID, "job", e.Task.Job, "task", e.Task.Index, "run", e.Run, "how", string(e.How))
		}
		t.last = max(t.last, e.Run)
		if e.Saved == "" {
			c.drop(x, ref)
			return
		}
		c.release(x)
		c.hold(j, ref)
	}
}

// trailing takes an end that is listed after the last one that a job needed. It is not
// acknowledged before the rows tell that the job has ended: the other one may be lost.
func (c *Cell) trailing(j *job, x *run, ref endRef) {
	if _, told := c.ended.jobs[j.ID]; told || j.Transient {
		c.drop(x, ref)
		return
	}
	c.release(x)
	j.unsettled = append(j.unsettled, ref)
}

// save notes a checkpoint of a run.
func (t *task) save(run int, value string) {
	if value == "" || !t.spec().Checkpoint {
		return
	}
	for _, m := range t.members() { // the checkpoint of a member is that of its gang
		if run >= m.saved.run {
			m.saved = checkpoint{run: run, value: value}
		}
	}
}

// startup is how soon after its start the failure of a task that lasts is held against
// its runner. Later ones are the task's own.
const startup = time.Second

// lasted takes the end of a run that should have lasted. The task is started again,
// elsewhere if it failed.
func (c *Cell) lasted(now time.Time, t *task, x *run, e order.End, ref endRef) {
	t.last = max(t.last, e.Run)
	if e.How == order.Failed {
		t.tried = []*runner{ref.runner}
		if x != nil && now.Sub(x.sent) < startup {
			ref.runner.health.failed(now)
		}
	}
	c.log("event", "lasted", "job", t.job.ID, "step", t.step, "task", t.index, "run", e.Run, "runner", ref.runner.ID, "how", string(e.How))
	c.drop(x, ref)
}

// drop takes an end that changes no job.
func (c *Cell) drop(x *run, ref endRef) {
	c.release(x)
	ref.settle()
}

// done takes the end of a run that did its work. One of a run that was given up
// counts as long as the task has not been started again.
func (c *Cell) done(now time.Time, t *task, x *run, e order.End, ref endRef) {
	j := t.job
	if t.done && t.spec().Gang {
		c.release(x)
		c.hold(j, ref)
		return
	}
	if t.done || e.Run < t.last {
		c.drop(x, ref)
		return
	}
	t.last, t.done = e.Run, true
	c.release(x)
	j.open[t.step]--
	c.finishedGang(t, e)
	c.hold(j, ref)
	j.refresh()
	c.enlist(j)
	if j.complete() {
		c.finish(now, j, work.Succeeded)
	}
}

// fail takes the end of a run that failed. Each counts once, also one that is listed
// after the end of a later run.
func (c *Cell) fail(now time.Time, t *task, x *run, e order.End, ref endRef) {
	if t.done || slices.Contains(t.fails, e.Run) {
		c.drop(x, ref)
		return
	}
	j, r := t.job, ref.runner
	t.last = max(t.last, e.Run)
	t.fails = append(t.fails, e.Run)
	j.failed++
	c.blame(now, j, r)
	t.tried = append(t.tried, r)
	c.log("event", "fail", "job", j.ID, "task", t.index, "run", e.Run, "runner", r.ID, "fails", len(t.fails), "of", j.Queue.Attempts)
	c.release(x)
	c.hold(j, ref)
	if t.failures() >= max(j.Queue.Attempts, 1) {
		c.finish(now, j, work.Failed)
	}
}

// failures returns how many runs of t, or of its gang, have failed.
func (t *task) failures() int {
	runs := map[int]bool{}
	for _, m := range t.members() {
		for _, n := range m.fails {
			runs[n] = true
		}
	}
	return len(runs)
}

// hold keeps an end from being acknowledged until the rows hold what follows from it.
func (c *Cell) hold(j *job, ref endRef) {
	if j.Transient {
		ref.settle()
		return
	}
	j.unsettled = append(j.unsettled, ref)
	j.row.wanted = true
	c.touch(j)
}

// stall stops runs that stand still.
func (c *Cell) stall(now time.Time) {
	for _, r := range c.sorted {
		for _, x := range r.all() {
			c.watch(now, x)
		}
	}
}

// blame charges a failure to the runner, unless the job has failed elsewhere too: it
// is then the job's own, and runners charged before are cleared.
func (c *Cell) blame(now time.Time, j *job, r *runner) {
	if len(j.blamed) == 0 {
		j.blamed = append(j.blamed, r)
		r.health.failed(now)
		return
	}
	if slices.Contains(j.blamed, r) {
		return
	}
	for _, b := range j.blamed {
		b.health.clear()
	}
	j.blamed = append(j.blamed, r)
}
