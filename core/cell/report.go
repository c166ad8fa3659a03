package cell

import "time"

// reportEvery is the time between two lines about the load.
const reportEvery = time.Second

// report logs how loaded the cell is.
func (c *Cell) report(now time.Time) {
	if now.Sub(c.reported) < reportEvery {
		return
	}
	c.reported = now
	var listed, usable, resting, charged, unfenced, leaving, runs, room, used, strays int
	for _, r := range c.sorted {
		runs += len(r.runs)
		strays += r.strays
		if !r.listed {
			continue
		}
		listed++
		room += r.Room.CPU
		used += r.used.CPU
		switch {
		case r.Leaving:
			leaving++
		case !r.fenced:
			unfenced++
		case r.health.resting(now):
			resting++
		case r.silent(now, c.answerTime(r)):
			unfenced++
		default:
			usable++
		}
		if r.health.streak > 0 {
			charged++
		}
	}
	tasks := 0
	for _, j := range c.ready {
		tasks += j.ready
	}
	c.log("event", "load", "jobs", len(c.jobs), "waiting", len(c.ready), "tasks", tasks, "runs", runs, "strays", strays,
		"listed", listed, "usable", usable, "resting", resting, "charged", charged, "unfenced", unfenced, "leaving", leaving,
		"cpu", room, "used", used, "backlog", c.backlog(), "safe", c.safe, "start", c.mayStart(now))
}
