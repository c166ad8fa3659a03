package cell

import (
	"slices"
	"time"

	"gypsumward/core/standby"
)

// Timing of the search for another cell.
const (
	searchInterval  = 100 * time.Millisecond // between looks for stored jobs that wait
	unfitWait       = 300 * time.Millisecond // for which a job waits that no runner here can run
	crowdedWait     = time.Second            // for which a job waits that runners here could run if they were idle
	searchBackoff   = time.Second            // until a job looks for another cell again
	answersValidity = 300 * time.Millisecond // of the answers of other cells
	maxSearches     = 8                      // in flight
	maxSearchJobs   = 64                     // jobs examined at once
)

// search is a question to the other cells, or its answers.
type search struct {
	inFlight bool
	answered time.Time
	answers  []Answer
	waiting  []*job // submissions that wait for the answers
}

// searches holds the latest searches by the encoded question. The zero value is empty.
type searches struct {
	byQuery  map[string]*search
	inFlight int
	lastLook time.Time
}

// query returns the question whether another cell can run what is left of j.
func (j *job) query() Query {
	q := Query{Job: j.Job, Left: make([]bool, len(j.Steps)), Now: make([]bool, len(j.Steps))}
	q.Job.ID, q.Job.Spec, q.Job.RepeatCount, q.Job.FirstDue, q.Job.Interval = "", "", 0, 0, 0
	for i := range j.Steps { // all are left of an occurrence that has not been opened
		q.Left[i] = !j.openedAll()
	}
	for _, o := range j.open {
		for i, tasks := range o.tasks {
			q.Left[i] = q.Left[i] || o.remaining[i] > 0
			q.Now[i] = q.Now[i] || slices.ContainsFunc(tasks, func(t *task) bool { return t.ready })
		}
	}
	if !slices.Contains(q.Now, true) { // not accepted yet
		for i := range j.Steps {
			q.Now[i] = len(j.Steps[i].After) == 0
		}
	}
	return q
}

// search returns the search for q, which it begins unless recent answers are known or it is in flight;
// nil if too many others are.
func (c *Cell) search(now time.Time, q Query) *search {
	key := string(encode(&q))
	if s := c.searches.byQuery[key]; s != nil && (s.inFlight || now.Sub(s.answered) < answersValidity) {
		return s
	}
	if c.searches.inFlight >= maxSearches {
		return nil
	}
	if c.searches.byQuery == nil {
		c.searches.byQuery = map[string]*search{}
	}
	s := &search{inFlight: true}
	c.searches.byQuery[key] = s
	c.searches.inFlight++
	c.Metrics.Count("searches", 1)
	c.Neighbours.Search(q)
	return s
}

// searchAnswered processes the answers of the other cells to q.
func (c *Cell) searchAnswered(now time.Time, q Query, answers []Answer) {
	s := c.searches.byQuery[string(encode(&q))]
	if s == nil || !s.inFlight || c.deposed {
		return
	}
	c.searches.inFlight--
	s.inFlight, s.answered, s.answers = false, now, answers
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		if c.jobs[j.ID] == j && j.placing {
			c.admitElsewhere(now, j, answers)
		}
	}
	c.schedulePass()
}

// sweepSearches forgets answers that are not used any more.
func (c *Cell) sweepSearches(now time.Time) {
	for key, s := range c.searches.byQuery {
		if !s.inFlight && now.Sub(s.answered) >= answersValidity {
			delete(c.searches.byQuery, key)
		}
	}
}

// admitElsewhere decides on the admission of a stored job that the runners of this cell cannot run.
func (c *Cell) admitElsewhere(now time.Time, j *job, answers []Answer) {
	j.placing = false
	reason, after := ReasonNoRunnerFits, retryAfter
	if here := c.localFits(now, j); fitsTogether(j, here, answers) {
		at := c.choose(j, answers, here, false)
		if at == nil || at.Admitted || at.Places > 0 {
			c.markDirty(j)
			if at != nil {
				c.move(now, j, at)
			}
			c.schedulePass()
			return
		}
		reason, after = ReasonLoad, max(at.Drained, minRetryAfter)
	} else if c.isEvacuated(now, j, answers) {
		reason = ReasonEvacuated
	}
	c.refuse(j, reason, after)
}

// refuse refuses a job that is not stored.
func (c *Cell) refuse(j *job, reason string, after time.Duration) {
	delete(c.jobs, j.ID)
	c.Metrics.Count("refused_"+reason, 1)
	c.log("event", "refuse", "job", j.ID, "queue", j.Queue.Name, "reason", reason, "after", after)
	j.notifyWaiters(Outcome{Verdict: Refused, Reason: reason, RetryAfter: after})
	j.answerCancels("", true)
}

// localFits returns, by step, whether the runners of this cell would hold it if they were idle.
func (c *Cell) localFits(now time.Time, j *job) []bool {
	list := make([]bool, len(j.Steps))
	for s := range j.Steps {
		list[s] = c.fits(now, &j.Steps[s], j.Queue.Service, c.Settings.SilenceTimeout)
	}
	return list
}

// fitsTogether reports whether each step of j fits in this cell or in one of those that have
// answered.
func fitsTogether(j *job, here []bool, answers []Answer) bool {
	for s := range j.Steps {
		if !here[s] && !slices.ContainsFunc(answers, func(a Answer) bool { return s < len(a.Fits) && a.Fits[s] }) {
			return false
		}
	}
	return true
}

// choose returns the answer of the cell that j is best moved to, nil if it should stay, by the steps
// that fit here. A cell that can run all that is left of j comes first, then one that can start it at
// once, then one that would be done in time. The id of the job decides among equals, so that jobs
// spread. If atOnce is true, the cell must be able to start a task at once.
func (c *Cell) choose(j *job, answers []Answer, here []bool, atOnce bool) *Answer {
	q := j.query()
	if !atOnce && canBegin(q, here) {
		return nil
	}
	rank := func(a *Answer) float64 {
		r := standby.Uniform(j.ID, a.Cell)
		for s, left := range q.Left {
			if left && !a.Fits[s] {
				r -= 100
				break
			}
		}
		if a.Places > 0 {
			r += 10
		}
		if a.Admitted {
			r++
		}
		return r
	}
	var best *Answer
	for i := range answers {
		a := &answers[i]
		if len(a.Fits) != len(j.Steps) || !canBegin(q, a.Fits) || (atOnce && a.Places <= 0) {
			continue
		}
		if best == nil || rank(a) > rank(best) {
			best = a
		}
	}
	return best
}

// canBegin reports whether a step with waiting tasks fits.
func canBegin(q Query, fits []bool) bool {
	for s, waits := range q.Now {
		if waits && fits[s] {
			return true
		}
	}
	return false
}

// moveWaiting moves stored jobs of which nothing runs to cells that can run them: those that no runner
// here can run, and those that wait for long while another cell has room.
func (c *Cell) moveWaiting(now time.Time) {
	if c.Neighbours == nil || now.Sub(c.searches.lastLook) < searchInterval || !c.mayStart(now) || !now.Before(c.storedUntil) || c.storeDown(now) {
		return
	}
	c.searches.lastLook = now
	c.sweepSearches(now)
	examined := 0
	for _, j := range slices.Clone(c.ready) {
		if j.Transient || !j.isHere() {
			continue
		}
		if c.hasRuns(j) {
			j.waitsSince = time.Time{}
			continue
		}
		if j.waitsSince.IsZero() {
			j.waitsSince = now
		}
		if now.Sub(j.waitsSince) < unfitWait || now.Before(j.searchAt) || examined >= maxSearchJobs || !c.isSettled(j) {
			continue
		}
		examined++
		c.moveIfBetter(now, j)
	}
}

// moveIfBetter moves j to another cell if that can run it and this one can't.
func (c *Cell) moveIfBetter(now time.Time, j *job) {
	q := j.query()
	here := c.localFits(now, j)
	crowded := canBegin(q, here)
	if crowded && now.Sub(j.waitsSince) < crowdedWait {
		return
	}
	s := c.search(now, q)
	if s == nil || s.inFlight {
		return
	}
	at := c.choose(j, s.answers, here, crowded)
	if at == nil {
		j.searchAt = now.Add(searchBackoff)
		return
	}
	c.move(now, j, at)
	c.removeReady(j)
	c.markDirty(j)
}

// isSettled reports whether no run of j can be alive and all that is known of it is in its rows.
func (c *Cell) isSettled(j *job) bool {
	return j.row.stored && !j.row.inFlight && !j.row.dirty && !j.row.placeDue && !j.state.Ended() && (!j.inherited || c.takenOver) &&
		len(j.unstoredEnds) == 0 && len(j.cancels) == 0 && !j.hasDuePart() && !c.HasRun(j.ID)
}
