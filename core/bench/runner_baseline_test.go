//go:build bench

package bench_test

import (
	"math/rand/v2"
	"time"

	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
)

// baseline is a Picker that knows only its own calls in flight. It assumes that all slots
// of all runners are its own, and learns only from refusals that others use them too.
type baseline struct {
	targets     []*fleet.Target
	outstanding map[string]int // own calls in flight by runner
	rnd         *rand.Rand
	next        int
	firstTarget func(b *baseline) int // returns the index of the runner to try first, not bounded by their number
}

// newBaseline returns a baseline with the given choice of the first runner to try.
func newBaseline(w *world, seed uint64, firstTarget func(*baseline) int) fleet.Picker {
	return &baseline{targets: w.targets, outstanding: map[string]int{}, rnd: rand.New(rand.NewPCG(seed, 7)), firstTarget: firstTarget}
}

// atRandom returns a random runner.
func atRandom(b *baseline) int {
	return b.rnd.IntN(len(b.targets))
}

// roundRobin returns the runners in turn.
func roundRobin(b *baseline) int {
	b.next++
	return b.next
}

// leastOutstanding returns a runner with the fewest own calls in flight, starting the search
// at a random one.
func leastOutstanding(b *baseline) int {
	at := b.rnd.IntN(len(b.targets))
	best := at
	for i := range b.targets {
		n := (at + i) % len(b.targets)
		if b.outstanding[b.targets[n].ID] < b.outstanding[b.targets[best].ID] {
			best = n
		}
	}
	return best
}

// Pick returns the first runner, in the order of the list from the one to try first, that
// has fewer own calls than slots.
func (b *baseline) Pick(_ time.Time, _, avoid string) (string, bool) {
	at := b.firstTarget(b)
	for i := range b.targets {
		t := b.targets[(at+i)%len(b.targets)]
		if t.ID != avoid && b.outstanding[t.ID] < t.Slots {
			b.outstanding[t.ID]++
			return t.ID, true
		}
	}
	return "", false
}

// Done releases the slot.
func (b *baseline) Done(_ time.Time, id, _ string, _ time.Duration, _ choose.Outcome) {
	b.outstanding[id]--
}

// sampledPicker is a Picker that samples runners and chooses the one with the lowest load,
// which is the load reported with the runner's last answer plus the own calls since.
type sampledPicker struct {
	targets map[string]*fleet.Target
	list    []*fleet.Target
	load    map[string]int
	rnd     *rand.Rand
	samples int
}

// newSampledPicker returns a sampledPicker that draws samples runners for each call.
func newSampledPicker(w *world, seed uint64, samples int) fleet.Picker {
	r := &sampledPicker{
		targets: map[string]*fleet.Target{}, list: w.targets, load: map[string]int{},
		rnd: rand.New(rand.NewPCG(seed, 8)), samples: samples,
	}
	for _, t := range w.targets {
		r.targets[t.ID] = t
	}
	return r
}

// Pick returns the sample with the lowest load if it has a free slot by that load.
func (r *sampledPicker) Pick(_ time.Time, _, avoid string) (string, bool) {
	best := ""
	for range r.samples {
		id := r.list[r.rnd.IntN(len(r.list))].ID
		if id != avoid && (best == "" || r.load[id] < r.load[best]) {
			best = id
		}
	}
	if best == "" || r.load[best] >= r.targets[best].Slots {
		return "", false
	}
	r.load[best]++
	return best, true
}

// Done records the load that is reported with the answer.
func (r *sampledPicker) Done(_ time.Time, id, _ string, _ time.Duration, _ choose.Outcome) {
	r.load[id] = r.targets[id].Busy()
}
