package choose_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/choose"
)

// start is the time at which the tests start.
var start = time.Unix(1000, 0)

// TestPartsShareAllSlots guards against slots that no instance or several
// instances use: instances with adjacent bounds have to own every slot of every
// runner exactly once.
func TestPartsShareAllSlots(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		shares := make([]choose.InstanceDemand, rapid.IntRange(1, 9).Draw(t, "instances"))
		for i := range shares {
			shares[i] = choose.InstanceDemand{
				Instance: fmt.Sprint(i),
				Weight:   rapid.Float64Range(0, 8).Draw(t, "size"),
				Demand:   rapid.Float64Range(0, 100).Draw(t, "demand"),
			}
		}
		list := runners(rapid.IntRange(10, 20).Draw(t, "runners"))
		picked := map[string]int{}
		for i := range shares {
			c := choose.New(choose.Settings{Seed: uint64(i)})
			c.SetBounds(choose.Bounds(shares, shares[i].Instance))
			c.SetRunners(start, list)
			for id, ok := c.Pick(start, "price", ""); ok; id, ok = c.Pick(start, "price", "") {
				picked[id]++
			}
		}
		total := 0
		for id, n := range picked {
			total += n
			// An instance whose part is smaller than one slot borrows one.
			require.LessOrEqual(t, n, 8+len(shares), id)
		}
		require.GreaterOrEqual(t, total, 8*len(list))
		require.LessOrEqual(t, total, 8*len(list)+len(shares))
	})
}

// TestPickKeepsTheRules checks for random sequences of events that Pick returns
// only a listed runner which is not leaving and not to be avoided, and that a
// runner never has more outstanding calls than slots.
func TestPickKeepsTheRules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := start
		c := choose.New(choose.Settings{Seed: 1})
		list := runners(6)
		c.SetRunners(now, list)
		outstanding := map[string]int{}
		leavingUntil := map[string]time.Time{}
		removed := map[string]bool{}
		var calls []string
		listed := len(list) // number of listed runners
		ids := []string{"", list[0].ID, list[1].ID}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				avoid := rapid.SampledFrom(ids).Draw(t, "avoid")
				c.SetQueueLength(rapid.IntRange(0, 3).Draw(t, "waiting"))
				id, ok := c.Pick(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"), avoid)
				if !ok {
					return
				}
				require.True(t, avoid != id || listed == 1)
				require.False(t, removed[id], "picked a runner that is not listed")
				require.False(t, now.Before(leavingUntil[id]), "picked a runner that is leaving")
				outstanding[id]++
				calls = append(calls, id)
				require.LessOrEqual(t, outstanding[id], 8)
			},
			"done": func(t *rapid.T) {
				if len(calls) == 0 {
					return
				}
				at := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
				id := calls[at]
				calls = append(calls[:at], calls[at+1:]...)
				o := choose.Outcome(rapid.IntRange(0, int(choose.TimedOut)).Draw(t, "outcome"))
				elapsed := time.Duration(rapid.IntRange(1, 5000).Draw(t, "took")) * time.Millisecond
				c.Done(now, id, "a", elapsed, o)
				outstanding[id]--
				if o == choose.Leaving && !removed[id] {
					leavingUntil[id] = now.Add(30 * time.Second)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			},
			"list": func(t *rapid.T) {
				some := list[:rapid.IntRange(0, len(list)).Draw(t, "length")]
				c.SetRunners(now, some)
				listed = len(some)
				for i, r := range list {
					if removed[r.ID] = i >= len(some); removed[r.ID] {
						// Done ignores outstanding calls to a removed runner.
						outstanding[r.ID] = 0
						delete(leavingUntil, r.ID)
						calls = without(calls, r.ID)
					}
				}
			},
		})
	})
}

// without returns ids with all occurrences of id removed.
func without(ids []string, id string) (others []string) {
	for _, x := range ids {
		if x != id {
			others = append(others, x)
		}
	}
	return others
}

// TestFastRunnerFirst checks that the runner with the shorter estimated run time
// is picked first, and that a request waits for it only while the queue length is
// known and not too large.
func TestFastRunnerFirst(t *testing.T) {
	t.Parallel()
	c := choose.New(choose.Settings{Seed: 1})
	list := runners(2)
	c.SetRunners(start, list)
	speeds := map[string]time.Duration{list[0].ID: 100 * time.Millisecond, list[1].ID: 800 * time.Millisecond}
	var calls []string
	for range 32 {
		for id, ok := c.Pick(start, "price", ""); ok; id, ok = c.Pick(start, "price", "") {
			calls = append(calls, id)
		}
		for _, id := range calls {
			c.Done(start, id, "price", speeds[id], choose.Succeeded)
		}
		calls = nil
	}
	now := start.Add(time.Millisecond)
	for range 8 {
		id, ok := c.Pick(now, "price", "")
		require.True(t, ok)
		require.Equal(t, list[0].ID, id)
	}
	c.SetQueueLength(1)
	_, ok := c.Pick(now, "price", "")
	require.False(t, ok, "the fast runner is expected to end the request sooner, after a wait")
	c.SetQueueLength(1000)
	id, ok := c.Pick(now, "price", "")
	require.True(t, ok, "with a long queue the slow runner shortens the wait")
	require.Equal(t, list[1].ID, id)
	c.SetQueueLength(0)
	_, ok = c.Pick(now, "price", "")
	require.True(t, ok)
	require.InEpsilon(t, 100*time.Millisecond, c.ExpectedRunTimeOn(list[0].ID, "price"), 0.1)
	require.InEpsilon(t, 800*time.Millisecond, c.ExpectedRunTimeOn(list[1].ID, "price"), 0.1)
	require.Zero(t, c.ExpectedRunTime("unknown"))
}

// TestBlackHoleIsClosed guards against a black hole: a runner that fails calls at
// once looks fast and idle and so attracts calls. It has to be quarantined after
// a few calls, to get single probes, and to be used again when they succeed.
func TestBlackHoleIsClosed(t *testing.T) {
	t.Parallel()
	now := start
	c := choose.New(choose.Settings{Seed: 1})
	list := runners(10)
	c.SetRunners(now, list)
	bad, failing := list[0].ID, false
	serve := func() (toBad int) {
		for i := range 400 {
			now = now.Add(5 * time.Millisecond)
			kind := []string{"a", "b"}[i%2]
			id, ok := c.Pick(now, kind, "")
			require.True(t, ok)
			o := choose.Succeeded
			if id == bad {
				toBad++
				if failing {
					o = choose.Failed
				}
			}
			elapsed := 100 * time.Millisecond
			if id == bad {
				elapsed /= 2
			}
			c.Done(now, id, kind, elapsed, o)
		}
		return toBad
	}
	require.Positive(t, serve())
	failing = true
	require.Less(t, serve(), 10)
	require.Less(t, serve(), 3, "quarantined runner got calls besides probes")
	failing = false
	for range 10 {
		serve()
	}
	require.Greater(t, serve(), 3, "recovered runner got no calls besides probes")
}

// TestDemandIsPublishedOnChange guards against needless updates to the other
// instances: a steady demand is published only until the mean has settled.
func TestDemandIsPublishedOnChange(t *testing.T) {
	t.Parallel()
	var d choose.Demand
	updates := 0
	for second := range 60 {
		d.Add(3 * time.Second)
		if value, changed := d.Update(start.Add(time.Duration(second)*time.Second), 0); changed {
			updates++
			require.InDelta(t, 3, value, 1)
		}
	}
	require.LessOrEqual(t, updates, 3)
}

// TestKindFindsOtherRunners guards against a kind that starves because all fast
// runners fail it: Pick examines only a few runners, fastest first, and still has
// to find the slow ones that serve the kind, however many fast ones are idle.
func TestKindFindsOtherRunners(t *testing.T) {
	t.Parallel()
	now := start
	c := choose.New(choose.Settings{Seed: 1})
	list := runners(200)
	c.SetRunners(now, list)
	runTimes := map[string]time.Duration{}
	bad := map[string]bool{}
	for i, r := range list {
		runTimes[r.ID] = time.Duration(100+3*i) * time.Millisecond
		bad[r.ID] = i < 100
	}
	call := func(kind string) bool {
		now = now.Add(100 * time.Microsecond)
		id, ok := c.Pick(now, kind, "")
		if !ok {
			return false
		}
		o := choose.Succeeded
		if kind == "b" && bad[id] {
			o = choose.Failed
		}
		c.Done(now, id, kind, runTimes[id], o)
		return o == choose.Succeeded
	}
	for range 200 {
		for i := range list {
			call([]string{"a", "b"}[i%2])
		}
	}
	served := 0
	for range 100 {
		if call("b") {
			served++
		}
	}
	require.Greater(t, served, 95)
}
