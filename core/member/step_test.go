package member_test

import (
	"fmt"
	"testing"

	"gypsumward/core/member"
)

// BenchmarkRound measures the CPU time of one gossip round of one instance: an
// exchange that it starts, one that a partner starts, and a view.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ entries, targets int }{{8, 100}, {40, 300}, {120, 940}, {400, 940}} {
		b.Run(fmt.Sprint(size.entries), func(b *testing.B) {
			f := newFleet(size.entries, 7, size.targets)
			for range 3 {
				f.runRound()
			}
			n, partner := f.nodes[0], f.nodes[7]
			for _, other := range f.nodes {
				n.State.Merge(other.State.Message("", member.Message{}, f.clock.Now()), f.clock.Now())
			}
			b.ReportAllocs()
			for b.Loop() {
				now := f.clock.Now()
				n.State.BeginRound(now)
				n.State.Merge(partner.HandleMessage(n.State.Message(n.centre, member.Message{}, now)), now)
				n.HandleMessage(partner.State.Message(partner.centre, member.Message{}, now))
				n.State.View(now)
			}
		})
	}
}
