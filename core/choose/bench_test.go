package choose_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumward/core/choose"
)

// runners returns n runners with 8 slots each.
func runners(n int) []choose.Runner {
	list := make([]choose.Runner, n)
	for i := range list {
		list[i] = choose.Runner{ID: fmt.Sprintf("runner-%03d", i), Slots: 8, Conns: 60}
	}
	return list
}

// BenchmarkPickDone measures one Pick and one Done, with three quarters of the
// instance's own slots in use.
func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{50, 940} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(0, 0)
			c := choose.New(choose.Settings{Seed: 1})
			c.SetBounds(0, 0.5)
			c.SetRunners(now, runners(n))
			names := []string{"clearance", "price", "slot", "stamp", "season", "quote", "edition", "rebind"}
			outstanding := make([]string, n*3)
			runTime := func(i int) time.Duration { return time.Duration(100+37*i%400) * time.Millisecond }
			for i := range outstanding {
				outstanding[i], _ = c.Pick(now, names[i%len(names)], "")
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				at := i % len(outstanding)
				now = now.Add(time.Millisecond)
				if outstanding[at] != "" {
					c.Done(now, outstanding[at], names[at%len(names)], runTime(at), choose.Succeeded)
				}
				c.SetQueueLength(1)
				outstanding[at], _ = c.Pick(now, names[at%len(names)], "")
				i++
			}
		})
	}
}
