package cell

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// A stored job that this cell cannot run is moved to another one. The row of the job at its home names
// that cell, from before it learns of the job until the job has ended, so the job is found by its
// home after any loss of instances. A job moves only while no run of it can be alive and all that is
// known of it is stored, and it is passed on, with its progress, until the other cell has stored it:
// nothing but that cell can start it any more. A cell that cannot run a moved job either returns it to
// its home.

// Timing of moves.
const (
	moveRetry    = 500 * time.Millisecond // until a job that has not been taken is passed on again
	endsInterval = 500 * time.Millisecond // between reports of ends
	maxReported  = 100                    // ends in a report
	maxMoves     = 32                     // jobs passed on at once
)

// move makes another cell, which has given the answer, the place of j. The row of j is to be written.
func (c *Cell) move(now time.Time, j *job, to *Answer) {
	c.setPlace(j, to.Cell)
	to.Places -= max(j.readyTasks, 1)
	c.Metrics.Count("moves", 1)
	c.log("event", "move", "job", j.ID, "to", to.Cell, "number", j.place.Number, "waited", now.Sub(j.arrived), "stored", j.row.stored,
		"places", to.Places, "admitted", to.Admitted)
}

// setPlace makes another cell the place of j. If this one is not its home, that is where it goes.
func (c *Cell) setPlace(j *job, to string) {
	j.place.RunBase = max(j.runFloorIn(c.Term.TermNumber+1), j.lastRun())
	j.place.Number++
	j.place.To = to
	if j.place.Home != "" {
		j.place.To = j.place.Home
	}
	j.row.placeDue = j.row.stored
	j.waitsSince = time.Time{}
	c.away[j.ID] = j
}

// placeChange returns the change that writes the row of j with a new place, and all of its progress if
// another cell has had it.
func (c *Cell) placeChange(j *job) *change {
	ch := &change{job: j, through: j.endNumber, placesJob: true, ops: []table.Op{
		{Key: c.Key(TableJobs, j.ID), IfVersion: j.row.jobVersion, Value: encodeJob(&j.Job, j.place)},
	}}
	if j.row.partsDue {
		c.addAllParts(ch)
	}
	return ch
}

// addAllParts adds the rows of all parts of the progress of the job to its change.
func (c *Cell) addAllParts(ch *change) {
	j := ch.job
	for p := range j.row.parts {
		ch.parts = append(ch.parts, p)
		ch.ops = append(ch.ops, table.Op{Key: c.partKey(j, p), IfVersion: j.row.parts[p].version, Value: c.encodePart(j, p)})
	}
}

// placeStored continues with a job whose row, with its present place, is stored.
func (c *Cell) placeStored(now time.Time, j *job) {
	j.row.placeDue, j.row.partsDue = false, false
	for _, reply := range j.taken {
		reply(true)
	}
	j.taken = nil
	if !j.isHere() {
		j.answerCancels(work.Unknown, false)
		c.passOn(now, j)
		return
	}
	if len(j.cancels) > 0 {
		c.finish(now, j, work.Cancelled)
		return
	}
	j.updateReady()
	c.addReady(j)
	c.schedulePass()
}

// passOn passes a job to the cell that its row names.
func (c *Cell) passOn(now time.Time, j *job) {
	if c.Neighbours == nil || j.handed || j.passing || j.row.placeDue || !j.row.stored || j.state.Ended() {
		return
	}
	j.passing, j.passedAt = true, now
	m := MovedJob{Job: j.Job, Place: Place{Number: j.place.Number, Home: j.place.Home, RunBase: j.place.RunBase}, From: c.Term.Cell, Parts: map[int]json.RawMessage{}}
	if m.Place.Home == "" {
		m.Place.Home = c.Term.Cell
	}
	for p := range j.row.parts {
		if j.row.parts[p].version != 0 {
			m.Parts[p] = c.encodePart(j, p)
		}
	}
	c.Neighbours.Move(j.place.To, m)
}

// moveAnswered processes the reply of a cell to which a job was passed.
func (c *Cell) moveAnswered(now time.Time, to, id string, number int, stored bool) {
	j := c.jobs[id]
	if j == nil || c.deposed || j.place.To != to || j.place.Number != number {
		return
	}
	j.passing = false
	if !stored || j.handed {
		return
	}
	j.handed = true
	c.log("event", "moved", "job", id, "to", to, "number", number, "took", now.Sub(j.passedAt))
	if j.place.Home != "" { // it is at its home again
		j.row.dropDue = true
		c.markDirty(j)
		c.schedulePass()
	}
}

// passMovedOn passes on the jobs that have not been taken.
func (c *Cell) passMovedOn(now time.Time) {
	if c.Neighbours == nil || !c.loaded || c.draining || now.Before(c.movesAt) {
		return
	}
	c.movesAt = now.Add(moveRetry / 5)
	passed := 0
	for _, id := range slices.Sorted(maps.Keys(c.away)) {
		j := c.away[id]
		if c.jobs[id] != j || j.handed {
			delete(c.away, id)
			continue
		}
		if !j.passing && now.Sub(j.passedAt) >= moveRetry && passed < maxMoves {
			passed++
			c.passOn(now, j)
		}
	}
}

// Take takes a job that another cell has passed on, and calls reply once: with true when the job is
// stored, or was taken before, and with false if that is not known.
func (c *Cell) Take(now time.Time, m MovedJob, reply func(stored bool)) {
	w := m.Job
	if c.deposed || !c.loaded || c.draining || w.Transient || w.Validate() != nil || m.Place.Number < 1 || m.Place.RunBase < 0 {
		reply(false)
		return
	}
	old := c.jobs[w.ID]
	switch {
	case old != nil && old.place.Number >= m.Place.Number && (!old.row.stored || old.row.placeDue):
		old.taken = append(old.taken, reply)
	case c.wasTaken(m):
		reply(true)
	case !c.mayTake(m):
		reply(false) // until what this cell has of the job is settled
	default:
		j := c.takenJob(now, m, old)
		j.taken = append(j.taken, reply)
		c.jobs[w.ID] = j
		c.jobMemory += j.memory()
		delete(c.endedJobs.jobs, w.ID)
		c.Metrics.Count("taken", 1)
		c.log("event", "take", "job", w.ID, "from", m.From, "number", m.Place.Number, "base", m.Place.RunBase, "home", m.Place.Home)
		c.markDirty(j)
		c.schedulePass()
	}
}

// wasTaken reports whether this cell has taken m before, or a later move of the job.
func (c *Cell) wasTaken(m MovedJob) bool {
	if j := c.jobs[m.Job.ID]; j != nil {
		return j.place.Number >= m.Place.Number
	}
	end, ended := c.endedJobs.jobs[m.Job.ID]
	return ended && (m.Place.Home == c.Term.Cell || end.number >= m.Place.Number)
}

// mayTake reports whether nothing that this cell has of a job is in the way of taking it: its home has
// its row, and any other cell has nothing, or the note that the job had returned from here.
func (c *Cell) mayTake(m MovedJob) bool {
	j := c.jobs[m.Job.ID]
	if m.Place.Home == c.Term.Cell {
		return j != nil && !j.state.Ended() && !j.row.inFlight && !j.row.dirty && !j.isHere()
	}
	return j == nil && !c.endedJobs.jobs[m.Job.ID].state.Ended()
}

// takenJob returns a job that another cell has passed on, with its progress, that is to be stored. Old
// is what its home knows of it; nil in any other cell.
func (c *Cell) takenJob(now time.Time, m MovedJob, old *job) *job {
	j := newJob(m.Job, now)
	j.place = m.Place
	j.row.endVersion = c.endedJobs.jobs[m.Job.ID].version
	j.due = now.Add(c.allowedTime(j))
	if old != nil {
		j.place.Home = ""
		j.row.stored, j.row.jobVersion, j.row.placeDue, j.row.partsDue = true, old.row.jobVersion, true, true
		for p := range j.row.parts {
			j.row.parts[p].version = old.row.parts[p].version
		}
		j.waiting, j.cancels, j.stateQueries = old.waiting, old.cancels, old.stateQueries
	}
	j.runFloor = j.runFloorIn(c.Term.TermNumber)
	for p, value := range m.Parts {
		if p >= 0 && p < len(j.row.parts) {
			c.restorePart(j, p, value)
		}
	}
	for p := range j.row.parts {
		j.row.parts[p].due = false // they are written with the row of the job
	}
	return j
}

// reportEnds tells the homes of jobs that have ended here.
func (c *Cell) reportEnds(now time.Time) {
	if c.Neighbours == nil || now.Before(c.reportAt) {
		return
	}
	c.reportAt = now.Add(endsInterval)
	byHome := map[string][]MovedEnd{}
	for id := range c.endedJobs.unnoted {
		end := c.endedJobs.jobs[id]
		if list := byHome[end.home]; len(list) < maxReported {
			byHome[end.home] = append(list, MovedEnd{ID: id, Number: end.number, State: end.state})
		}
	}
	for _, home := range slices.Sorted(maps.Keys(byHome)) {
		c.Neighbours.ReportEnds(home, byHome[home])
	}
}

// NoteEnds takes note of ends, in another cell, of jobs that belong to this one. It returns the ids of
// those whose ends are stored here.
func (c *Cell) NoteEnds(now time.Time, from string, ends []MovedEnd) (noted []string) {
	if c.deposed || !c.loaded {
		return nil
	}
	for _, e := range ends {
		j := c.jobs[e.ID]
		switch {
		case j == nil || e.Number < j.place.Number:
			noted = append(noted, e.ID)
		case e.Number == j.place.Number && j.place.To == from && !j.state.Ended() && !j.row.placeDue && e.State.Ended():
			c.finish(now, j, e.State)
		}
	}
	c.schedulePass()
	return noted
}

// endsNoted processes the reply of the home of jobs to a report of their ends.
func (c *Cell) endsNoted(ids []string) {
	for _, id := range ids {
		c.endedJobs.setNoted(id)
	}
}
