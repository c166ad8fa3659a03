package cell

import (
	"slices"
	"strconv"
	"strings"

	"gypsumward/core/table"
)

// The progress of a job is stored in parts, each a row with the progress of tasksPerPart tasks that
// follow each other, counted through all steps and occurrences. All that is stored of a task is in
// one part, so no part depends on another one: a holder that finds some written and others not
// knows less of the tasks of the latter, and their ends, which are not acknowledged, are listed
// again. The end that a member reports for its gang may concern several parts; it is acknowledged
// once all are written, and a gang of which one member is done is done.
const tasksPerPart = 200

// progressPart is the state of the row of one part.
type progressPart struct {
	version       int64 // zero if there is no row
	due           bool  // it is to be written
	stale         bool  // checkpoints have changed since it was last written
	storedThrough int   // ends of the job up to this number have their effects on the part in the row
}

// unstoredEnd is an end whose effects are not stored yet.
type unstoredEnd struct {
	endRef
	number int   // consecutive for each job
	parts  []int // parts that its effects concern; none if they are stored with the end of the job only

	occurrence *occurrence // of its task; nil if its effects are stored with the end of the job only
}

// taskNumber returns the number of a task, counted through all steps and occurrences. The step is
// numbered through all occurrences too.
func (j *job) taskNumber(step, index int) int {
	return step/len(j.Steps)*j.tasksEach + j.firstTask[step%len(j.Steps)] + index
}

// part returns the number of the part with the progress of t.
func (t *task) part() int { return t.job.taskNumber(t.step, t.index) / tasksPerPart }

// partsOf returns the parts with the progress of a task and of the other members of its gang, whether
// or not its occurrence is open.
func (j *job) partsOf(step, index int) []int {
	first, last := index, index
	if s := j.spec(step); s.Gang {
		first, last = 0, s.Count-1
	}
	var parts []int
	for p := j.taskNumber(step, first) / tasksPerPart; p <= j.taskNumber(step, last)/tasksPerPart; p++ {
		parts = append(parts, p)
	}
	return parts
}

// markPartsDue marks parts as to be written.
func (j *job) markPartsDue(parts []int) {
	for _, p := range parts {
		j.row.parts[p].due = true
	}
}

// markSent marks the parts in ch as written unless they change.
func (ch *change) markSent() {
	for _, p := range ch.parts {
		part := &ch.job.row.parts[p]
		part.due, part.stale = false, false
	}
}

// hasDuePart reports whether a part is to be written.
func (j *job) hasDuePart() bool {
	return slices.ContainsFunc(j.row.parts, func(p progressPart) bool { return p.due })
}

// ackStored marks the ends whose effects are in the rows.
func (j *job) ackStored() {
	j.unstoredEnds = slices.DeleteFunc(j.unstoredEnds, func(e unstoredEnd) bool {
		stored := len(e.parts) > 0 && !slices.ContainsFunc(e.parts, func(p int) bool { return j.row.parts[p].storedThrough < e.number })
		if stored {
			e.markStored()
			e.occurrence.unstored--
		}
		return stored
	})
	j.closeEnded()
}

// partKey returns the key of the row of a part of the progress of j.
func (c *Cell) partKey(j *job, part int) string {
	key := c.Key(TableProgress, j.ID)
	if part > 0 {
		key += partSeparator + strconv.Itoa(part)
	}
	return key
}

// partSeparator separates the id of a job from the number of a part, except for the first one.
const partSeparator = "."

// partFromKey returns the id of the job and the number of the part that the key of a row names. Ok
// is false if it is no such key.
func partFromKey(key string) (id string, part int, ok bool) {
	id, number, found := strings.Cut(nameFromKey(key), partSeparator)
	if !found {
		return id, 0, true
	}
	part, err := strconv.Atoi(number)
	return id, part, err == nil && part > 0
}

// progressChange returns the change that writes the parts of j that are due, as many as a
// transaction takes, and parts with other checkpoints while there is room. Parts that do not fit
// stay due.
func (c *Cell) progressChange(j *job) *change {
	ch := &change{job: j, through: j.endNumber}
	size := 0
	add := func(p int, limit int) {
		value := c.encodePart(j, p)
		if len(ch.parts) > 0 && (size+len(value) > limit || len(ch.parts) >= maxPartsPerChange) {
			return
		}
		size += len(value)
		ch.parts = append(ch.parts, p)
		ch.ops = append(ch.ops, table.Op{Key: c.partKey(j, p), IfVersion: j.row.parts[p].version, Value: value})
	}
	for p := range j.row.parts {
		if j.row.parts[p].due {
			add(p, maxBytes)
		}
	}
	for p := range j.row.parts {
		if j.row.parts[p].stale && !j.row.parts[p].due {
			add(p, c.Settings.MaxRow)
		}
	}
	// No progress is written after the end, which deletes that row.
	ch.ops = append(ch.ops, table.Op{Key: c.Key(TableJobs, j.ID), IfVersion: j.row.jobVersion, CheckOnly: true})
	return ch
}

// maxPartsPerChange is the largest number of parts in a change. Each counts as two entries of the
// transaction.
const maxPartsPerChange = maxEntries/2 - 1

// encodePart returns the value of the row of a part. Where it would exceed a row, checkpoints and
// then the runners to avoid are left out, without which tasks start anew and anywhere.
func (c *Cell) encodePart(j *job, part int) []byte {
	progress := j.progress(part)
	value := encode(progress)
	if len(value) > c.Settings.MaxRow && len(progress.Checkpoints) > 0 {
		c.logTrimmed(j, part, len(value), "checkpoints")
		progress.Checkpoints = nil
		value = encode(progress)
	}
	if len(value) > c.Settings.MaxRow {
		c.logTrimmed(j, part, len(value), "runners")
		for i := range progress.Failures {
			progress.Failures[i].Runners = nil
		}
		value = encode(progress)
	}
	return value
}

func (c *Cell) logTrimmed(j *job, part, size int, what string) {
	c.Metrics.Count("trimmed_"+what, 1)
	c.log("event", "trimmed", "job", j.ID, "part", part, "bytes", size, "without", what)
}
