package owner

import (
	"encoding/json"
	"strconv"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/claim"
)

// stage is the state of a job on this instance.
type stage int

const (
	claiming stage = iota // the claim row is not written yet
	adopting              // taken over; the workers are being asked for its tasks
	running
	ending    // failed; waiting for start calls in flight and stopping running tasks
	recording // the final row is being written
	releasing // the row is being released
	resolved  // the answer is durable or refused, or another instance owns the job
)

// phase is the state of a task.
type phase int

const (
	unqueued phase = iota // not queued: the queue was full, or the job is ending
	queued
	reserved // capacity is reserved on a worker, but the mark is not durable yet
	sending  // a start call is in flight, or may have been made by a previous owner
	started
	done
	stopped   // started and ended without an output
	uncertain // may have started; no worker is known to have it
)

// task is the state of one task of a job.
type task struct {
	phase     phase
	worker    string
	output    json.RawMessage
	startedAt time.Time // when the start was assigned
}

// resolution is the result returned to the callers that wait for a job.
type resolution struct {
	answer    api.Answer
	refusal   *api.Refusal
	elsewhere bool // another instance owns the job: read its row
}

// isUnresolved reports whether t may have been started and its outcome is not
// known.
func (t *task) isUnresolved() bool {
	return t.phase == sending || t.phase == started
}

// job is one submission owned by this instance.
type job struct {
	key         api.Key
	name        string // TEAM/ID
	spec        api.Job
	row         claim.Row // the last value written
	version     int64
	stage       stage
	tasks       []task
	remaining   int  // tasks not done
	sending     int  // tasks in phase sending
	active      int  // tasks in phase started
	reserved    int  // tasks in phase reserved
	neededMark  int  // mark that the reserved tasks need
	hasUnqueued bool // the queue was full for some tasks
	isWriting   bool // a write of the row is in flight
	failure     *api.Answer
	acceptedAt  time.Time
	deadline    time.Time
	abandonAt   time.Time
	resolvedAt  time.Time
	bytes       int
	body        []byte        // encoded submission, until it is claimed
	finished    chan struct{} // closed once resolution is set
	resolution  resolution
}

// newJob returns a job in stage claiming that was accepted at now.
func newJob(spec api.Job, now time.Time) *job {
	j := &job{
		key:        api.Key{Team: spec.Team, ID: spec.ID},
		name:       spec.Team + "/" + spec.ID,
		spec:       spec,
		tasks:      make([]task, len(spec.Tasks)),
		remaining:  len(spec.Tasks),
		acceptedAt: now,
		deadline:   now.Add(spec.Deadline.Duration()),
		finished:   make(chan struct{}),
	}
	for i := range spec.Tasks {
		j.bytes += len(spec.Tasks[i].Input)
	}
	return j
}

// setResolution sets the result of j to e and wakes the callers that wait for it.
func (j *job) setResolution(e resolution, now time.Time) {
	j.stage = resolved
	j.resolvedAt = now
	j.resolution = e
	j.spec.Tasks = nil
	j.tasks = nil
	close(j.finished)
}

// ran returns whether any task of j was started, or api.RanUnknown if a task is
// in phase sending or uncertain.
func (j *job) ran() api.RunStatus {
	ran := api.RanNot
	for i := range j.tasks {
		switch j.tasks[i].phase {
		case sending, uncertain:
			return api.RanUnknown
		case started, done, stopped:
			ran = api.RanYes
		case unqueued, queued, reserved:
		}
	}
	return ran
}

// openAnswer returns the answer of a job that is not final.
func (j *job) openAnswer() api.Answer {
	return api.Answer{Team: j.key.Team, ID: j.key.ID, State: api.StateOpen}
}

// completeAnswer returns the answer of a job whose tasks are all done at now.
func (j *job) completeAnswer(now time.Time) api.Answer {
	a := j.openAnswer()
	a.State = api.StateComplete
	a.Elapsed = spanSince(now, j.acceptedAt)
	a.Results = make([]api.TaskResult, len(j.tasks))
	for i := range j.tasks {
		a.Results[i] = api.TaskResult{Name: j.spec.Tasks[i].Name, Output: j.tasks[i].output}
	}
	return a
}

// taskID returns the id that workers use for task i of a job.
func taskID(k api.Key, i int) string {
	return k.Team + "/" + k.ID + "/" + strconv.Itoa(i)
}
