package worker

import (
	"sort"
	"time"

	"gypsumward/core/span"
	"gypsumward/core/target"
)

// Renew renews the leases of the holder's tasks and marks its outcomes with
// numbers up to after as seen.
func (p *Pool) Renew(now time.Time, holder string, after int64) {
	p.Advance(now)
	if p.lastWatch == nil {
		p.lastWatch = make(map[string]time.Time)
	}
	p.lastWatch[holder] = now
	for i := p.indexAfter(after) - 1; i >= 0; i-- {
		if t := p.ended[i]; t.holder == holder && t.seenAt.IsZero() {
			t.seenAt = now
		}
	}
}

// Outcomes returns the outcomes of the holder's tasks with numbers above after,
// and the current usage report.
func (p *Pool) Outcomes(now time.Time, holder string, after int64) target.Outcomes {
	p.Advance(now)
	seen := target.Outcomes{Next: after, Tasks: []target.TaskState{}, Usage: p.usage(now)}
	for _, t := range p.ended[p.indexAfter(after):] {
		if t.holder == holder {
			seen.Next = t.outcomeNumber
			seen.Tasks = append(seen.Tasks, t.TaskState)
		}
	}
	return seen
}

// indexAfter returns the index in p.ended of the first outcome with a higher
// number.
func (p *Pool) indexAfter(number int64) int {
	return sort.Search(len(p.ended), func(i int) bool { return p.ended[i].outcomeNumber > number })
}

// usage returns a sample of the usage that is at least Settings.Lag old, or the
// first sample if none is. It takes a new sample if one is due.
func (p *Pool) usage(now time.Time) target.Usage {
	if p.sampledAt[0].IsZero() || now.Sub(p.sampledAt[1]) >= p.Settings.Lag {
		cores, memory, running := p.demand()
		current := target.Usage{Cores: cores, Memory: memory, Running: running}
		if p.sampledAt[0].IsZero() {
			p.usageSamples[1], p.sampledAt[1] = current, now
		}
		p.usageSamples[0], p.sampledAt[0] = p.usageSamples[1], p.sampledAt[1]
		p.usageSamples[1], p.sampledAt[1] = current, now
	}
	u := p.usageSamples[0]
	u.Age = span.Of(now.Sub(p.sampledAt[0]))
	return u
}

// Adopt transfers the known tasks to the holder a.Holder. The leases of running
// tasks start anew. It returns the state of all tasks in a.IDs.
func (p *Pool) Adopt(now time.Time, a target.Adopt) target.TaskStates {
	return p.update(now, a.IDs, func(t *task) {
		t.holder = a.Holder
		if t.Phase == target.Running {
			t.heldSince = now
		}
	})
}

// Stop stops the running tasks among ids and returns the state of all.
func (p *Pool) Stop(now time.Time, ids []string) target.TaskStates {
	return p.update(now, ids, func(t *task) {
		if t.Phase == target.Running {
			p.recordOutcome(t, now, target.Stopped, "stopped by request")
		}
	})
}

// Throttle halves the speed of the tasks and returns their state. A task that is
// throttled already keeps its speed.
func (p *Pool) Throttle(now time.Time, ids []string) target.TaskStates {
	return p.update(now, ids, func(t *task) { t.speed = throttledSpeed })
}

// Checkpoint returns the state of the tasks. A stand-in has no progress to save.
func (p *Pool) Checkpoint(now time.Time, ids []string) target.TaskStates {
	return p.update(now, ids, func(*task) {})
}

// update applies do to the known tasks among ids and returns the state of all.
// The phase of a task that is not known is target.Unknown.
func (p *Pool) update(now time.Time, ids []string, do func(*task)) target.TaskStates {
	p.Advance(now)
	adopted := target.TaskStates{Tasks: []target.TaskState{}}
	for _, id := range ids {
		t := p.byID[id]
		if t == nil {
			adopted.Tasks = append(adopted.Tasks, target.TaskState{ID: id, Phase: target.Unknown})
			continue
		}
		do(t)
		adopted.Tasks = append(adopted.Tasks, t.TaskState)
	}
	return adopted
}
