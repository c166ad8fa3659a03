package place_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumward/core/place"
	"gypsumward/core/span"
	"gypsumward/core/target"
)

// BenchmarkPickDone measures the placement of one task and the end of the oldest
// one, with three quarters of the fleet in use.
func BenchmarkPickDone(b *testing.B) {
	for _, workers := range []int{50, 940} {
		for _, teams := range []int{8, 37} {
			b.Run(fmt.Sprintf("workers=%d/teams=%d", workers, teams), func(b *testing.B) {
				l := newLoad(workers, teams)
				b.ReportAllocs()
				for b.Loop() {
					l.end()
					if !l.start() {
						b.Fatal("not placed")
					}
				}
			})
		}
	}
}

// BenchmarkPickWait measures a Pick that finds no capacity on a full fleet.
func BenchmarkPickWait(b *testing.B) {
	l := newLoad(940, 8)
	for failed := 0; failed < len(l.demands); failed++ {
		if l.start() {
			failed = 0
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if l.start() {
			b.Fatal("placed")
		}
	}
}

// BenchmarkReport measures the processing of one usage report.
func BenchmarkReport(b *testing.B) {
	l := newLoad(940, 37)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		l.now = l.now.Add(time.Millisecond)
		u := target.Usage{Cores: 20, Memory: 40 * gigabyte, Running: 24, Age: 500 * span.Millisecond}
		l.p.RecordUsage(l.now, fmt.Sprintf("w%d", i%940), u)
	}
}

// load keeps a constant number of tasks on a fleet.
type load struct {
	p       *place.Placer
	now     time.Time
	demands []place.Task
	placed  []placed // ring buffer with the oldest task at next
	next    int
	count   int
}

type placed struct {
	id     string
	demand int
}

func newLoad(workers, teams int) *load {
	s := place.Settings{Seed: 1}
	s.Demand.Margin = 1e-6 // as if the need of all kinds were known
	l := &load{p: place.New(s), now: start}
	l.p.SetWorkers(start, fleet(workers))
	for i := range 1000 {
		l.demands = append(l.demands, place.Task{
			Team: fmt.Sprintf("team-%d", i%teams), Kind: fmt.Sprintf("kind-%d", i%3), Job: fmt.Sprintf("job-%d", i/100),
			Cores: 0.5 + float64(i%2), Memory: gigabyte, RunTime: 300 * time.Millisecond,
		})
	}
	l.placed = make([]placed, 0, 24*workers)
	for len(l.placed) < cap(l.placed) {
		l.start()
	}
	return l
}

func (l *load) start() bool {
	l.now = l.now.Add(50 * time.Microsecond)
	l.count++
	n := l.count % len(l.demands)
	id, v := l.p.Pick(l.now, l.demands[n])
	if v != place.Placed {
		return false
	}
	if len(l.placed) < cap(l.placed) {
		l.placed = append(l.placed, placed{id: id, demand: n})
		return true
	}
	l.placed[l.next] = placed{id: id, demand: n}
	l.next = (l.next + 1) % len(l.placed)
	return true
}

func (l *load) end() {
	done := l.placed[l.next%len(l.placed)]
	l.p.Done(l.now, done.id, l.demands[done.demand], 300*time.Millisecond, place.Succeeded)
}
