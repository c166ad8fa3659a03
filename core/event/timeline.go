package event

import (
	"fmt"
	"strings"
	"time"
)

// Defaults of Timeline.
const (
	DefaultMaxTasks = 10 // number of slowest tasks listed
	DefaultMaxLines = 40 // largest number of events for which each is listed
)

// Timeline formats the time line of a job, a request or a target as text.
type Timeline struct {
	Events   []Event // in the order of Merge
	MaxTasks int     // number of slowest tasks to list; zero means DefaultMaxTasks
	MaxLines int     // largest number of events for which each is listed; zero means DefaultMaxLines
}

// String returns the text. With several tasks or more than MaxLines events it contains
// the phases with the times between them, of which the longest is marked, the slowest
// tasks with the process and target of each, the slowest targets and the other
// events. Up to MaxLines events are listed one by one.
func (t Timeline) String() string {
	if len(t.Events) == 0 {
		return "no events\n"
	}
	if t.MaxTasks == 0 {
		t.MaxTasks = DefaultMaxTasks
	}
	if t.MaxLines == 0 {
		t.MaxLines = DefaultMaxLines
	}
	w := &writer{events: t.Events, times: alignClocks(t.Events)}
	w.origin = w.times[0]
	w.writeTitle()
	histories := taskHistories(w)
	if len(histories) > 1 || len(t.Events) > t.MaxLines {
		w.writePhases()
		w.writeSlowestTasks(histories, t.MaxTasks)
		w.writeTargets(histories)
		w.writeOther(t.MaxLines)
	}
	if len(t.Events) <= t.MaxLines {
		w.writeEvents()
	}
	return w.text.String()
}

// writer writes the text of one Timeline.
type writer struct {
	events []Event
	times  []time.Time // times of the events on a common clock
	origin time.Time   // time of the first event
	text   strings.Builder
}

// printf appends formatted text.
func (w *writer) printf(format string, args ...any) {
	fmt.Fprintf(&w.text, format, args...)
}

// offset returns t as the time since the first event.
func (w *writer) offset(t time.Time) string {
	return "+" + formatDuration(t.Sub(w.origin))
}

// writeTitle writes the subject, the number of events and their time range.
func (w *writer) writeTitle() {
	first := w.events[0]
	last := w.times[0]
	for _, t := range w.times {
		if t.After(last) {
			last = t
		}
	}
	name := "time line"
	switch {
	case first.Job != "":
		name = "job " + first.Team + "/" + first.Job
	case first.Request != "":
		name = "request " + first.Team + "/" + first.Request
	}
	w.printf("%s: %d events in %s from %s\n", name, len(w.events), formatDuration(last.Sub(w.origin)),
		w.origin.UTC().Format("2006-01-02 15:04:05.000 UTC"))
}

// writeEvents writes every event on its own line.
func (w *writer) writeEvents() {
	w.printf("\nevents\n")
	for i := range w.events {
		w.writeEvent(i)
	}
}

// writeEvent writes the event with index i on its own line.
func (w *writer) writeEvent(i int) {
	e := &w.events[i]
	w.printf("  %9s  %-9s", w.offset(w.times[i]), e.Kind)
	if e.Job != "" && e.Job != w.events[0].Job {
		w.printf("  job %s/%s", e.Team, e.Job)
	}
	if e.Request != "" && e.Request != w.events[0].Request {
		w.printf("  request %s/%s", e.Team, e.Request)
	}
	if e.Task != "" {
		w.printf("  task %s", e.Task)
	}
	if e.Target != "" {
		w.printf("  on %s", e.Target)
	}
	w.printf("  by %s", e.Process)
	if e.Detail != "" {
		w.printf("  (%s)", e.Detail)
	}
	w.printf("\n")
}

// formatDuration returns d rounded to three or four digits.
func formatDuration(d time.Duration) string {
	switch {
	case d >= 10*time.Second:
		return d.Round(100 * time.Millisecond).String()
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond).String()
	default:
		return d.Round(time.Microsecond).String()
	}
}
