package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/place"
	"gypsumward/core/span"
	"gypsumward/core/target"
)

var start = time.Unix(1000, 0)

const gigabyte = 1 << 30

// fleet returns n workers of 32 cores and 128 GB, 8 to a rack.
func fleet(n int) []place.Worker {
	var all []place.Worker
	for i := range n {
		all = append(all, place.Worker{
			ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/8), Cores: 32, Memory: 128 * gigabyte,
		})
	}
	return all
}

func placer(n int) *place.Placer {
	p := place.New(place.Settings{Seed: 1})
	p.SetWorkers(start, fleet(n))
	return p
}

func TestUnfitAndWait(t *testing.T) {
	t.Parallel()
	p := placer(2)
	_, v := p.Pick(start, place.Task{Kind: "a", Cores: 64})
	require.Equal(t, place.TooLarge, v)
	_, v = p.Pick(start, place.Task{Kind: "a", Cores: 1, Memory: 200 * gigabyte})
	require.Equal(t, place.TooLarge, v)
	whole := place.Task{Kind: "b", Cores: 32}
	first, v := p.Pick(start, whole)
	require.Equal(t, place.Placed, v)
	second, v := p.Pick(start, whole)
	require.Equal(t, place.Placed, v)
	require.NotEqual(t, first, second)
	_, v = p.Pick(start, whole)
	require.Equal(t, place.NoCapacity, v)
	p.Done(start, first, whole, time.Second, place.Succeeded)
	again, v := p.Pick(start, whole)
	require.Equal(t, place.Placed, v)
	require.Equal(t, first, again)
}

func TestLeavingGetsNothing(t *testing.T) {
	t.Parallel()
	p := placer(3)
	workers := fleet(3)
	workers[0].Leaving = true
	p.SetWorkers(start, workers)
	p.RecordUsage(start, "w1", target.Usage{Leaving: true})
	for range 10 {
		id, v := p.Pick(start, place.Task{Kind: "a", Cores: 1})
		require.Equal(t, place.Placed, v)
		require.Equal(t, "w2", id)
	}
	p.SetWorkers(start, workers[1:2])
	_, v := p.Pick(start, place.Task{Kind: "a"})
	require.Equal(t, place.NoCapacity, v)
}

// TestRacksSpread guards against the loss of most tasks of a job with one rack:
// with three quarters of the workers in one rack, the tasks of a job still have
// to be divided evenly between the racks.
func TestRacksSpread(t *testing.T) {
	t.Parallel()
	workers := fleet(32)
	for i := range workers {
		workers[i].Rack = fmt.Sprint("r", i/24)
	}
	p := place.New(place.Settings{Seed: 1})
	p.SetWorkers(start, workers)
	small := 0
	for range 64 {
		id, _ := p.Pick(start, place.Task{Kind: "a", Job: "j", Cores: 0.25})
		var n int
		_, err := fmt.Sscanf(id, "w%d", &n)
		require.NoError(t, err)
		small += n / 24
	}
	require.InDelta(t, 32, small, 6)
}

// TestReportsLag guards against overload by stale reports: reports from before
// the start of the tasks show an idle worker and must not free its capacity
// again.
func TestReportsLag(t *testing.T) {
	t.Parallel()
	p := placer(1)
	d := place.Task{Kind: "a", Cores: 1, Memory: gigabyte}
	pick := func() (n int) {
		for {
			if _, v := p.Pick(start, d); v != place.Placed {
				return n
			}
			n++
		}
	}
	require.Positive(t, pick())
	for i := range 50 {
		p.RecordUsage(start.Add(time.Duration(i)*10*time.Millisecond), "w0", target.Usage{Age: span.Second})
	}
	require.Zero(t, pick())
}

// TestReportsOverruleDeclared guards against overload by wrong declarations:
// tasks that use eight times the declared cores have to be placed by their
// estimated need.
func TestReportsOverruleDeclared(t *testing.T) {
	t.Parallel()
	p := placer(1)
	now := start
	running := 0
	pick := func() {
		for {
			if _, v := p.Pick(now, place.Task{Kind: "a", Cores: 0.5, Memory: gigabyte}); v != place.Placed {
				return
			}
			running++
		}
	}
	for range 100 {
		pick()
		now = now.Add(200 * time.Millisecond)
		cores := min(4*float64(running), 32)
		p.RecordUsage(now, "w0", target.Usage{Cores: cores, Memory: int64(running) * gigabyte, Running: running, Age: 100 * span.Millisecond})
		for range (running + 3) / 4 {
			p.Done(now, "w0", place.Task{Kind: "a", Cores: 0.5, Memory: gigabyte}, 800*time.Millisecond, place.Succeeded)
			running--
		}
	}
	pick()
	require.InDelta(t, 7, running, 1)
}

// TestBlackHoleAndPoison guards against a worker that fails all tasks and so
// attracts more of them, which has to be quarantined, and against a kind that
// fails everywhere, which must not put any worker in quarantine.
func TestBlackHoleAndPoison(t *testing.T) {
	t.Parallel()
	p := placer(8)
	now := start
	run := func(kind string, fails func(id string) bool) (bad map[string]int) {
		bad = map[string]int{}
		for range 2000 {
			d := place.Task{Team: "t", Kind: kind, Cores: 1}
			id, v := p.Pick(now, d)
			require.Equal(t, place.Placed, v)
			now = now.Add(time.Millisecond)
			if fails(id) {
				bad[id]++
				p.Done(now, id, d, time.Millisecond, place.Failed)
				continue
			}
			p.Done(now, id, d, 100*time.Millisecond, place.Succeeded)
		}
		return bad
	}
	bad := run("fine", func(id string) bool { return id == "w3" })
	require.LessOrEqual(t, bad["w3"], 4)
	now = now.Add(time.Hour)
	total := 0
	for i := range 10 { // the worker also fails kinds that it never ran
		bad = run(fmt.Sprint("kind-", i), func(id string) bool { return id == "w5" })
		total += bad["w5"]
	}
	require.LessOrEqual(t, total, 8)
	now = now.Add(time.Hour)
	bad = run("poison", func(string) bool { return true })
	require.Len(t, bad, 8)
	bad = run("fine", func(string) bool { return false })
	require.Empty(t, bad)
}

// TestQuarantineSparesFleet guards against a quarantine that empties the fleet:
// all workers but one fail, which is more than the limit, so most have to stay
// in use.
func TestQuarantineSparesFleet(t *testing.T) {
	t.Parallel()
	p := placer(10)
	now := start
	used := map[string]int{}
	for i := range 3000 {
		d := place.Task{Kind: fmt.Sprint("kind-", i%7), Cores: 1}
		id, v := p.Pick(now, d)
		require.Equal(t, place.Placed, v)
		now = now.Add(time.Millisecond)
		o := place.Succeeded
		if id != "w0" && i >= 1000 {
			o = place.Failed
		}
		if i >= 2000 {
			used[id]++
		}
		p.Done(now, id, d, 50*time.Millisecond, o)
	}
	require.GreaterOrEqual(t, len(used), 8)
}
