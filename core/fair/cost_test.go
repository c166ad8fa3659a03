package fair_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumward/core/admit"
	"gypsumward/core/fair"
)

// BenchmarkPushPop queues one item and serves one, with 5,000 items in the queue.
func BenchmarkPushPop(b *testing.B) {
	for _, teams := range []int{8, 37} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q, names := filled(teams, fair.Settings{Gate: admit.New(admit.Settings{})})
			now := start
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now = now.Add(100 * time.Microsecond)
				q.Push(now, fair.Item[int]{Team: names[i%teams], Urgency: i % 3, Cost: 0.3, Bytes: 100, Deadline: now.Add(time.Hour)})
				q.Pop(now, nil)
				q.Expire(now)
			}
		})
	}
}

// BenchmarkRefuse pushes items that are refused, either because they would miss
// their deadline or because the queue is full.
func BenchmarkRefuse(b *testing.B) {
	gate := admit.New(admit.Settings{})
	for name, s := range map[string]fair.Settings{"late": {Gate: gate}, "full": {MaxItems: 5000, MaxTeamFraction: 1}} {
		b.Run(name, func(b *testing.B) {
			q, names := filled(8, s)
			now := start
			for range 500 {
				now = now.Add(time.Millisecond)
				gate.Served(now, 0.3, 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				it := fair.Item[int]{Team: names[0], Cost: 0.3, Bytes: 100, Deadline: now.Add(100 * time.Millisecond)}
				if q.Push(now, it).Queued {
					b.Fatal("not refused")
				}
			}
		})
	}
}

// BenchmarkRemoveJob queues and removes one job of 1,200 tasks for each operation.
func BenchmarkRemoveJob(b *testing.B) {
	const tasks = 1200
	q, names := filled(8, fair.Settings{})
	b.ReportAllocs()
	for b.Loop() {
		for i := range tasks {
			q.Push(start, fair.Item[int]{Team: names[i%8], Job: "job", Cost: 0.3})
		}
		if len(q.RemoveJob("job")) != tasks {
			b.Fatal("tasks missing")
		}
	}
}

// filled returns a queue with 5,000 items of the given number of teams, and the
// names of the teams.
func filled(teams int, s fair.Settings) (*fair.Queue[int], []string) {
	q := fair.New[int](s)
	names := make([]string, teams)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
		q.SetTeamWeight(names[i], 1+float64(i%3), 0.1)
	}
	for i := range 5000 {
		q.Push(start, fair.Item[int]{Team: names[i%teams], Urgency: i % 3, Cost: 0.3, Bytes: 100, Deadline: start.Add(time.Hour)})
	}
	return q, names
}
