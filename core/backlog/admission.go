package backlog

import "time"

// runTimeMargin is the factor by which expected run times are extended: a task may get a
// slower runner than expected, and estimates are off.
const runTimeMargin = 1.5

// Job is a job that waits, or is submitted, as far as admission depends on it.
type Job struct {
	Due time.Time // when its result becomes late
	// Work is the time that all runners together need for the tasks that wait.
	Work time.Duration
	// Chain is the expected run time of its longest chain of steps.
	Chain time.Duration
}

// slack returns how long the tasks of j may wait if it is to end in time.
func (j Job) slack(now time.Time) time.Duration {
	return j.Due.Sub(now) - time.Duration(runTimeMargin*float64(j.Chain))
}

// Admission is the decision on a submitted job.
type Admission struct {
	Admitted bool
	// Drained is the time after which the jobs that wait will have started.
	Drained time.Duration
}

// Admit decides at now whether j is admitted beside the waiting jobs, which start in order
// of their due times and must be sorted by them. It is admitted if it can wait for those
// that are due before it, and those that are due later can wait for it. A waiting job that
// is late anyway does not count as one that must wait for j. If none wait, j is admitted.
func Admit(now time.Time, waiting []Job, j Job) Admission {
	var ahead, total time.Duration
	delays := false
	for _, w := range waiting {
		if w.Due.After(j.Due) {
			slack := w.slack(now)
			delays = delays || (total <= slack && total+j.Work > slack)
		} else {
			ahead += w.Work
		}
		total += w.Work
	}
	return Admission{Admitted: !delays && (ahead == 0 || ahead <= j.slack(now)), Drained: total}
}
