package cell

import (
	"maps"
	"slices"
	"time"

	"gypsumward/core/work"
)

// Evacuation names the data centres that the operator has evacuated. Nothing is started on their
// runners. What runs there goes on.
type Evacuation struct{ Zones []string }

// Apply passes the message to c.
func (m Evacuation) Apply(c *Cell, now time.Time) { c.setEvacuated(now, m.Zones) }

// evacuations holds the evacuated data centres as last told.
type evacuations struct {
	known     bool // some set of them has been told, possibly an empty one
	zones     map[string]bool
	checkedAt time.Time       // when the waiting jobs were last looked through
	heldBack  map[string]bool // waiting jobs that an evacuated runner has room for, by id
}

// setEvacuated replaces the set of evacuated data centres.
func (c *Cell) setEvacuated(now time.Time, zones []string) {
	if c.deposed {
		return
	}
	former, next := c.evacuations.zones, map[string]bool{}
	for _, zone := range zones {
		next[zone] = true
	}
	c.evacuations.known, c.evacuations.zones = true, next
	for _, zone := range slices.Sorted(maps.Keys(next)) {
		if !former[zone] {
			c.evacuateZone(now, zone, true)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(former)) {
		if !next[zone] {
			c.evacuateZone(now, zone, false)
		}
	}
	c.checkWaiting(now)
	c.schedulePass()
}

// evacuateZone begins or ends the evacuation of a data centre. Start orders on their way to its runners
// are made void, since they may be carried out late.
func (c *Cell) evacuateZone(now time.Time, zone string, begins bool) {
	runners, runs, cpu, voided := 0, 0, 0, 0
	for _, r := range c.sorted {
		if r.Zone != zone {
			continue
		}
		r.evacuated = begins
		runs += len(r.runs)
		if r.isListed(now) && !r.Draining {
			runners++
			cpu += r.Capacity.CPU
		}
		if begins && r.fenced && r.hasOpenStart() {
			voided++
			c.fence(now, r)
		}
	}
	c.Metrics.Count("evacuations", 1)
	c.log("event", "evacuate", "zone", zone, "begins", begins, "runners", runners, "cpu", cpu, "runs", runs, "voided", voided)
}

// hasOpenStart reports whether a start order to r has no reply yet.
func (r *runner) hasOpenStart() bool {
	for _, x := range r.runs {
		if x.startsInFlight > 0 {
			return true
		}
	}
	return false
}

// knowsEvacuations reports whether work may be started as far as evacuations are concerned: they have
// been told, or the cell is not told of them at all.
func (c *Cell) knowsEvacuations() bool {
	return c.evacuations.known || !c.Settings.AwaitEvacuations
}

// stays reports whether r does not leave.
func (r *runner) stays() bool { return !r.Draining }

// receivesWork reports whether r may get new work: it does not leave, and its data centre is not
// evacuated.
func (r *runner) receivesWork() bool { return r.stays() && !r.evacuated }

// unfitReason returns the reason to refuse a job that the runners of this cell cannot run.
func (c *Cell) unfitReason(now time.Time, j *job) string {
	for s := range j.Steps {
		if !c.fitsOn(now, &j.Steps[s], j.Queue.Service, 0, (*runner).stays) {
			return ReasonNoRunnerFits
		}
	}
	return ReasonEvacuated
}

// fitsBesideEvacuations returns, by step, whether the runners would hold a step if no data centre were
// evacuated.
func (c *Cell) fitsBesideEvacuations(now time.Time, steps []work.Step, service string) []bool {
	list := make([]bool, len(steps))
	for s := range steps {
		list[s] = c.fitsOn(now, &steps[s], service, c.Settings.SilenceTimeout, (*runner).stays)
	}
	return list
}

// isEvacuated reports whether only evacuations keep a job from running, here or in the cells that have
// answered.
func (c *Cell) isEvacuated(now time.Time, j *job, answers []Answer) bool {
	answers = slices.Clone(answers)
	for i := range answers {
		if len(answers[i].Evacuated) == len(answers[i].Fits) {
			answers[i].Fits = answers[i].Evacuated
		}
	}
	return fitsTogether(j, c.fitsBesideEvacuations(now, j.Steps, j.Queue.Service), answers)
}

// checkInterval is the time between two looks for waiting jobs that an evacuation holds back, or leaves
// without runners, for example since the last other runner is gone.
const checkInterval = 100 * time.Millisecond

// refuseEvacuated refuses the waiting transient jobs that evacuations leave without runners, so that
// they are submitted to another cell, unless some of their tasks may have run.
func (c *Cell) refuseEvacuated(now time.Time) {
	for _, j := range slices.Clone(c.ready) {
		if !j.Transient || j.inherited || j.hasStarted() || c.fitsIdleRunners(now, j) || c.unfitReason(now, j) != ReasonEvacuated || c.HasRun(j.ID) {
			continue
		}
		c.removeReady(j)
		c.refuse(j, ReasonEvacuated, retryAfter)
	}
}

// maintainEvacuations does the work that evacuations make due by now.
func (c *Cell) maintainEvacuations(now time.Time) {
	if len(c.evacuations.zones) > 0 && now.Sub(c.evacuations.checkedAt) >= checkInterval {
		c.checkWaiting(now)
	}
}

// checkWaiting refuses or counts the waiting jobs that evacuations keep from starting.
func (c *Cell) checkWaiting(now time.Time) {
	if !c.loaded || len(c.evacuations.zones) == 0 {
		c.evacuations.heldBack = nil
		return
	}
	c.evacuations.checkedAt = now
	c.refuseEvacuated(now)
	c.countHeldBack(now)
}

// countHeldBack counts the waiting jobs with tasks that an evacuated runner has room for, each once until
// it waits no more.
func (c *Cell) countHeldBack(now time.Time) {
	var idle []*runner
	for _, r := range c.sorted {
		if r.evacuated && r.stays() && r.fenced && r.isListed(now) {
			idle = append(idle, r)
		}
	}
	former := c.evacuations.heldBack
	c.evacuations.heldBack = map[string]bool{}
	for _, j := range c.ready {
		if !slices.ContainsFunc(idle, func(r *runner) bool { return r.Service == j.Queue.Service && r.free().fits(j.leastRequired) }) {
			continue
		}
		c.evacuations.heldBack[j.ID] = true
		if !former[j.ID] {
			c.Metrics.Count("starts_held_back", j.readyTasks)
		}
	}
}

// EvacuatedRunners returns the number of runners that get no work since their data centre is evacuated,
// and their capacity in thousandths of a core.
func (c *Cell) EvacuatedRunners(now time.Time) (runners, cpu int) {
	for _, r := range c.sorted {
		if r.evacuated && r.stays() && r.isListed(now) {
			runners++
			cpu += r.Capacity.CPU
		}
	}
	return runners, cpu
}
