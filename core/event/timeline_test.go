package event_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/event"
	"gypsumward/core/hlc"
)

// process is a process with its own clock.
type process struct {
	*event.Log
	time *clockwork.FakeClock
}

// newProcess returns a process whose clock is ahead by skew.
func newProcess(name string, skew time.Duration) *process {
	fake := clockwork.NewFakeClockAt(time.Date(2026, 4, 15, 8, 0, 0, 0, time.UTC).Add(skew))
	return &process{Log: &event.Log{Process: name, Clock: &hlc.Clock{Wall: fake}}, time: fake}
}

// advance advances the clocks of all processes.
func advance(d time.Duration, processes ...*process) {
	for _, p := range processes {
		p.time.Advance(d)
	}
}

// sendMessage merges the timestamp of from into the clock of to, as a message does.
func sendMessage(from, to *process) {
	to.Clock.Merge(from.Clock.Now())
}

// A job is received by one process, run by another whose clock is 3 s behind, and taken
// over by a third whose clock is 2 s ahead. Merged by wall clock, its events would be
// out of order and the times between them wrong.
func TestMergeCausal(t *testing.T) {
	t.Parallel()
	a, b, c := newProcess("a@1", 0), newProcess("b@1", -3*time.Second), newProcess("c@1", 2*time.Second)
	step := func() { advance(100*time.Millisecond, a, b, c) }
	a.Add(event.Event{Kind: event.Received, Team: "t", Job: "J"})
	sendMessage(a, b)
	step()
	b.Add(event.Event{Kind: event.Claimed, Team: "t", Job: "J"})
	step()
	b.Add(event.Event{Kind: event.Started, Team: "t", Job: "J", Task: "t1", Target: "w1"})
	sendMessage(b, c)
	step()
	c.Add(event.Event{Kind: event.TakenOver, Team: "t", Job: "J"})
	step()
	c.Add(event.Event{Kind: event.Recorded, Team: "t", Job: "J"})
	sendMessage(c, a)
	step()
	a.Add(event.Event{Kind: event.Replied, Team: "t", Job: "J"})

	lists := [][]event.Event{c.Find(event.Filter{}), a.Find(event.Filter{}), b.Find(event.Filter{}), a.Find(event.Filter{})}
	merged := event.Merge(lists)
	var order []event.Kind
	for _, e := range merged {
		order = append(order, e.Kind)
	}
	require.Equal(t, []event.Kind{
		event.Received, event.Claimed, event.Started, event.TakenOver, event.Recorded, event.Replied,
	}, order)
	text := event.Timeline{Events: merged}.String()
	require.Contains(t, text, "job t/J: 6 events in 500ms from")
	require.Contains(t, text, "+100ms  started    task t1  on w1  by b@1") // 100ms after the claim by b
	require.Contains(t, text, "+400ms  taken      by c@1")
	require.Contains(t, text, "+500ms  told       by a@1")
}

// slowTaskJob returns the events of a job whose task 17 ended late on a slow worker.
func slowTaskJob(tasks int) []event.Event {
	p := newProcess("como-1@7", 0)
	add := func(kind event.Kind, task int, target string) {
		e := event.Event{Kind: kind, Team: "lustri", Job: "gala", Target: target}
		if task >= 0 {
			e.Task = fmt.Sprintf("ladder-%04d", task)
		}
		p.Add(e)
	}
	add(event.Received, -1, "")
	advance(4*time.Millisecond, p)
	add(event.Claimed, -1, "")
	for n := range tasks {
		add(event.Queued, n, "")
	}
	for n := range tasks {
		advance(50*time.Microsecond, p)
		add(event.Started, n, fmt.Sprintf("worker-%02d", n%50))
	}
	for n := range tasks {
		advance(50*time.Microsecond, p)
		if n != 17 {
			add(event.Done, n, fmt.Sprintf("worker-%02d", n%50))
		}
	}
	advance(700*time.Millisecond, p)
	add(event.Done, 17, "worker-17")
	advance(5*time.Millisecond, p)
	add(event.Recorded, -1, "")
	advance(time.Millisecond, p)
	add(event.Replied, -1, "")
	return p.Find(event.Filter{})
}

// The text on a large job must stay short and name the longest phase and the slowest
// task.
func TestTimelineOfLargeJob(t *testing.T) {
	t.Parallel()
	const tasks = 1200
	text := event.Timeline{Events: slowTaskJob(tasks)}.String()
	t.Log("\n" + text)
	lines := strings.Split(text, "\n")
	require.Less(t, len(lines), 45)
	require.Contains(t, lines[0], "job lustri/gala: 3604 events in 830ms")
	require.Regexp(t, `done .* <- longest`, text)
	require.Regexp(t, `slowest tasks \(10 of 1200\)\n.*\n +ladder-0017 +\+824ms .* worker-17 +como-1@7`, text)
}

// The events of a single task must be listed one by one.
func TestTimelineOfTask(t *testing.T) {
	t.Parallel()
	var events []event.Event
	for _, e := range slowTaskJob(20) {
		if e.Task == "ladder-0017" {
			events = append(events, e)
		}
	}
	text := event.Timeline{Events: events}.String()
	require.Contains(t, text, "started    task ladder-0017  on worker-17  by como-1@7")
	require.Equal(t, "no events\n", event.Timeline{}.String())
}
