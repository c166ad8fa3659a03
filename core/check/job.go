package check

import (
	"fmt"
	"math"

	"gypsumward/core/api"
	"gypsumward/core/span"
)

// Job returns nil if job is within the limits of package api, and sets the defaults
// of its deadline and of the cores of its tasks. A job that is refused is left
// unchanged.
func Job(job *api.Job) *api.Refusal {
	if r := checkIDs(job.Team, "team", job.ID, "id"); r != nil {
		return r
	}
	if r := checkUrgencyAndDeadline(job.Urgency, job.Deadline); r != nil {
		return r
	}
	if n := len(job.Tasks); n == 0 || n > api.MaxTasks {
		return refusal("tasks: %d tasks; allowed are 1 to %d", n, api.MaxTasks)
	}
	if r := checkTasks(job.Tasks); r != nil {
		return r
	}
	if job.Deadline == 0 {
		job.Deadline = api.DefaultDeadline
	}
	for i := range job.Tasks {
		if job.Tasks[i].Cores == 0 {
			job.Tasks[i].Cores = api.DefaultCores
		}
	}
	return nil
}

// checkTasks checks each task and that no name occurs twice.
func checkTasks(list []api.Task) *api.Refusal {
	indexOf := make(map[string]int, len(list))
	for i := range list {
		t := &list[i]
		if r := checkTask(t); r != nil {
			r.Detail = fmt.Sprintf("tasks[%d].%s", i, r.Detail)
			return r
		}
		if j, ok := indexOf[t.Name]; ok {
			return refusal("tasks[%d].name: %q is also the name of tasks[%d]; names are unique in a job", i, t.Name, j)
		}
		indexOf[t.Name] = i
	}
	return nil
}

// checkTask checks one task without regard to the others.
func checkTask(t *api.Task) *api.Refusal {
	if r := checkIDs(t.Name, "name", t.Kind, "kind"); r != nil {
		return r
	}
	if r := checkInputSize(len(t.Input)); r != nil {
		return r
	}
	switch {
	case math.IsNaN(t.Cores) || t.Cores < 0 || t.Cores > api.MaxCores:
		return refusal("cores: %g; allowed are 0 (means %d) to %d", t.Cores, api.DefaultCores, api.MaxCores)
	case t.Memory < 0 || t.Memory > api.MaxMemory:
		return refusal("memory: %d bytes; allowed are 0 (unknown) to %d", t.Memory, int64(api.MaxMemory))
	case t.ExpectedRunTime < 0 || t.ExpectedRunTime > api.MaxDeadline:
		return refusal("time: %v; allowed are 0s (unknown) to %v", t.ExpectedRunTime, api.MaxDeadline)
	}
	return nil
}

// checkUrgencyAndDeadline checks the urgency and deadline of a job or request.
func checkUrgencyAndDeadline(urgency int, deadline span.Span) *api.Refusal {
	if urgency < 0 || urgency > api.MaxUrgency {
		return refusal("urgency: %d; allowed are 0 to %d", urgency, api.MaxUrgency)
	}
	if deadline < 0 || deadline > api.MaxDeadline {
		return refusal("deadline: %v; allowed are 0s (means %v) to %v", deadline, api.DefaultDeadline, api.MaxDeadline)
	}
	return nil
}

// checkInputSize checks the size of an input of n bytes.
func checkInputSize(n int) *api.Refusal {
	if n > api.MaxInputSize {
		return refusal("input: %d bytes; allowed are up to %d", n, api.MaxInputSize)
	}
	return nil
}
