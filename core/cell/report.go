package cell

import "time"

// reportInterval is the time between two log lines about the load.
const reportInterval = time.Second

// report logs the load of the cell once per reportInterval.
func (c *Cell) report(now time.Time) {
	if now.Sub(c.lastReport) < reportInterval {
		return
	}
	c.lastReport = now
	var inDirectory, usable, backingOff, failing, unfenced, leaving, evacuated, runs, capacity, used, orphans int
	for _, r := range c.sorted {
		runs += len(r.runs)
		orphans += r.orphans
		if !r.isListed(now) {
			continue
		}
		if r.inDirectory {
			inDirectory++
		}
		capacity += r.Capacity.CPU
		used += r.used.CPU
		switch {
		case r.Draining:
			leaving++
		case r.evacuated:
			evacuated++
		case !r.fenced:
			unfenced++
		case r.health.isBackingOff(now):
			backingOff++
		case r.isSilent(now, c.answerTimeout(r)):
			unfenced++
		default:
			usable++
		}
		if r.health.consecutiveFailures > 0 {
			failing++
		}
	}
	if c.heldBack > 0 {
		c.Metrics.Count("occurrences_held", c.heldBack)
	}
	tasks := 0
	for _, j := range c.ready {
		tasks += j.readyTasks
	}
	c.log("event", "load", "jobs", len(c.jobs), "waiting", len(c.ready), "tasks", tasks, "runs", runs, "strays", orphans,
		"listed", inDirectory, "usable", usable, "resting", backingOff, "charged", failing, "unfenced", unfenced, "leaving", leaving,
		"evacuated", evacuated, "cold", c.ColdRunners(now), "cpu", capacity, "used", used, "backlog", c.backlog(now), "safe", c.takenOver, "start", c.mayStart(now),
		"memory", c.jobMemory, "heldback", c.heldBack)
}
