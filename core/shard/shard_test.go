package shard_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/shard"
	"gypsumward/core/table"
)

// zones are the data centres of the fleets in these tests.
var zones = []string{"como", "orta", "varese"}

// ids returns n different ids that look random.
func ids(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("i-%08x", uint32(i)*2654435761)
	}
	return list
}

// fleet returns a fleet of n runners, spread over zones, with a number of instances in each
// zone.
func fleet(n, instances int) shard.Fleet {
	f := shard.Fleet{Instances: map[string]int{}}
	for i, id := range ids(n) {
		f.Runners = append(f.Runners, shard.Runner{ID: id, Zone: zones[i%len(zones)]})
	}
	for _, z := range zones {
		f.Instances[z] = instances
	}
	return f
}

func TestNumberOfCells(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ runners, instances, cells int }{
		{0, 3, 1}, {1, 3, 1}, {33, 3, 1}, {36, 3, 3}, {48, 3, 3}, {48, 2, 3}, {48, 1, 1}, {65, 1, 2}, {350, 3, 6}, {350, 0, 6}, {1100, 3, 18}, {100000, 3, 51},
	} {
		require.Len(t, fleet(test.runners, test.instances).Plan().Cells, test.cells, "%d runners, %d instances in each zone", test.runners, test.instances)
	}
	require.Len(t, shard.Fleet{Runners: fleet(120, 0).Runners, PerCell: 30}.Plan().Cells, 4)
}

// TestManyZones plans for more data centres than there can be cells.
func TestManyZones(t *testing.T) {
	t.Parallel()
	f := shard.Fleet{Instances: map[string]int{}}
	for i, id := range ids(2000) {
		zone := fmt.Sprintf("z%d", i%100)
		f.Runners = append(f.Runners, shard.Runner{ID: id, Zone: zone})
		f.Instances[zone] = 5
	}
	p := f.Plan()
	require.Len(t, p.Cells, 32)
	require.Empty(t, p.Cells[0].Zone)
}

// TestRunners checks that every runner belongs to a cell of its data centre whose range holds
// it, also one that joins later, and that cells are of equal size.
func TestRunners(t *testing.T) {
	t.Parallel()
	p := fleet(1100, 3).Plan()
	counts := make([]int, len(p.Cells))
	for _, r := range fleet(2200, 0).Runners {
		n := p.CellOfRunner(r.ID, r.Zone)
		counts[n]++
		c := p.Cells[n]
		require.Equal(t, r.Zone, c.Zone)
		require.True(t, c.After < r.ID && (c.Through == "" || r.ID <= c.Through), "%s in %+v", r.ID, c)
	}
	for n, count := range counts {
		require.InDelta(t, 2200/len(p.Cells), count, 15, "cell %d", n)
	}
}

// TestRunnersElsewhere checks that a runner in a data centre without cells of its own belongs
// to exactly one cell, whose range holds it.
func TestRunnersElsewhere(t *testing.T) {
	t.Parallel()
	mixed := fleet(350, 3)
	mixed.Instances["orta"] = 1
	for name, p := range map[string]shard.Plan{"all zones have cells": fleet(350, 3).Plan(), "cells without zone": mixed.Plan(), "no zone has cells": fleet(350, 0).Plan()} {
		for _, r := range fleet(500, 0).Runners {
			for _, zone := range []string{r.Zone, "lugano", ""} {
				c := p.Cells[p.CellOfRunner(r.ID, zone)]
				require.True(t, c.After < r.ID && (c.Through == "" || r.ID <= c.Through), "%s: %s in %+v", name, r.ID, c)
			}
		}
	}
	require.Equal(t, "", mixed.Plan().Cells[mixed.Plan().CellOfRunner("i-80000000", "orta")].Zone)
}

// TestRunnerHash checks that ids in sequence are not divided by ranges, since all later
// ones would join the last cell.
func TestRunnerHash(t *testing.T) {
	t.Parallel()
	for _, format := range []string{"server-%04d", "%08x", "runner-a-%d", "zone-%d"} {
		var f shard.Fleet
		for i := range 350 {
			f.Runners = append(f.Runners, shard.Runner{ID: fmt.Sprintf(format, i)})
		}
		p := f.Plan()
		counts := make([]int, len(p.Cells))
		for _, r := range f.Runners {
			counts[p.CellOfRunner(r.ID, "")]++
		}
		for n, c := range p.Cells {
			require.Empty(t, c.After+c.Through, format)
			require.InDelta(t, 350/len(p.Cells), counts[n], 30, format)
		}
	}
}

// TestJobs checks that jobs spread evenly, stored ones over all cells and others over those
// of the data centre, and that a further cell takes jobs without moving any between the
// others.
func TestJobs(t *testing.T) {
	t.Parallel()
	p := fleet(1100, 3).Plan()
	grown := shard.Plan{Cells: append(slices.Clone(p.Cells), shard.Cell{Name: "c18", Zone: zones[2]})}
	counts := make([]int, len(p.Cells))
	elsewhere := map[int]int{}
	moved := 0
	for i := range 6000 {
		id := fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
		counts[p.HomeOf(id)]++
		order := p.Preferred(id, "orta")
		require.Len(t, order, 18)
		for k, n := range order {
			require.Equal(t, k < 7 && k != 2, p.Cells[n].Zone == "orta")
		}
		elsewhere[order[2]]++
		if home := grown.HomeOf(id); home != p.HomeOf(id) {
			require.Equal(t, 18, home)
			moved++
		}
	}
	for n, count := range counts {
		require.InDelta(t, 6000/18, count, 80, "cell %d", n)
	}
	require.InDelta(t, 6000/19, moved, 80)
	require.Len(t, elsewhere, 12, "all cells elsewhere help")
	for n, count := range elsewhere {
		require.InDelta(t, 6000/12, count, 120, "cell %d", n)
	}
	few := fleet(60, 1).Plan()
	require.Equal(t, few.InZone(zones[0]), few.Preferred("a", zones[0])[:len(few.InZone(zones[0]))])
}

// TestRowSize checks that the plan of more runners than are aimed for fits into a row of the store.
func TestRowSize(t *testing.T) {
	t.Parallel()
	raw, err := json.Marshal(fleet(4000, 8).Plan())
	require.NoError(t, err)
	require.Less(t, len(raw), cell.DefaultMaxRow)
}

// TestFormats encodes and decodes plans, also of the former format, which counts the cells,
// and refuses those that are damaged or that a later build has made.
func TestFormats(t *testing.T) {
	t.Parallel()
	for _, p := range []shard.Plan{fleet(1100, 3).Plan(), fleet(350, 0).Plan(), fleet(0, 0).Plan(), {Cells: []shard.Cell{{Name: "a", Zone: "x"}, {Name: "b", Zone: "x"}, {Name: "c", Zone: "x"}}}} {
		raw, err := json.Marshal(p)
		require.NoError(t, err)
		var decoded shard.Plan
		require.NoError(t, json.Unmarshal(raw, &decoded))
		require.Equal(t, p, decoded)
	}
	var former shard.Plan
	require.NoError(t, json.Unmarshal([]byte(`{"cells":3,"bounds":["b","m"]}`), &former))
	require.Equal(t, []shard.Cell{{Name: "c0", Through: "b"}, {Name: "c1", After: "b", Through: "m"}, {Name: "c2", After: "m"}}, former.Cells)
	require.Equal(t, 1, former.CellOfRunner("c", "como"))
	counts := make([]int, 3)
	for _, id := range ids(300) {
		counts[former.HomeOf(id)]++
		require.Equal(t, former.HomeOf(id), former.Preferred(id, "como")[0], "former builds submit a job to one cell only")
	}
	require.InDeltaSlice(t, []float64{100, 100, 100}, []int{counts[0], counts[1], counts[2]}, 30)
	for _, row := range []string{
		`"x"`, `{}`, `{"cells":0}`, `{"cells":900}`, `{"cells":3,"bounds":["b"]}`, `{"cells":3,"bounds":["m","b"]}`, `{"format":3,"cells":1}`,
		`{"format":2}`, `{"format":2,"list":[{"name":""}]}`, `{"format":2,"list":[{"name":"a"},{"name":"a"}]}`,
		`{"format":2,"list":[{"name":"a","through":"m"}]}`, `{"format":2,"list":[{"name":"a","after":"m"}]}`,
		`{"format":2,"list":[{"name":"a","through":"m"},{"name":"b","after":"n"}]}`, `{"format":2,"list":[{"name":"a"},{"name":"b","through":"m"},{"name":"c","after":"m"}]}`,
		`{"format":2,"list":[{"name":"a","through":"m"},{"name":"b","after":"m"},{"name":"c"}]}`,
	} {
		kept := former
		require.Error(t, json.Unmarshal([]byte(row), &kept), row)
		require.Equal(t, former, kept, row)
	}
}

// store holds the rows of the plan and of its author. Calls fail while it is down.
type store struct {
	mu     sync.Mutex
	row    table.Row
	author table.Row
	writes int64
	down   bool
}

func (s *store) set(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

var errDown = errors.New("down")

func (s *store) Read(context.Context, table.Read) (table.Found, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Found{}, errDown
	}
	return table.Found{Rows: []table.Row{s.row}}, nil
}

func (s *store) Watch(ctx context.Context, w table.Watch) (table.WatchResult, error) {
	limit := time.After(w.Wait.Duration())
	for {
		found, err := s.Read(ctx, table.Read{})
		switch {
		case err != nil:
			return table.WatchResult{}, err
		case found.Rows[0].Version > w.After:
			return table.WatchResult{Rows: found.Rows, Version: found.Rows[0].Version}, nil
		}
		select {
		case <-limit:
			return table.WatchResult{Version: w.After}, nil
		case <-time.After(time.Millisecond):
		}
	}
}

func (s *store) Write(_ context.Context, w table.Write) (table.Written, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Written{}, errDown
	}
	rows := map[string]*table.Row{shard.PlanKey: &s.row, shard.AuthorKey: &s.author}
	var conflicts []table.Row
	for _, op := range w.Ops {
		if r := rows[op.Key]; r.Version != op.IfVersion {
			conflicts = append(conflicts, table.Row{Key: op.Key, Version: r.Version, Value: r.Value})
		}
	}
	if len(conflicts) > 0 {
		return table.Written{Conflicts: conflicts}, nil
	}
	s.writes++
	for _, op := range w.Ops {
		if !op.CheckOnly {
			*rows[op.Key] = table.Row{Key: op.Key, Version: 10 + s.writes, Value: op.Value}
		}
	}
	return table.Written{Committed: true, Version: 10 + s.writes}, nil
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// fleetOf returns the fleet of a number of runners as if each call read them anew.
func fleetOf(runners func() int) func() (shard.Fleet, int) {
	reads := 0
	return func() (shard.Fleet, int) {
		reads++
		return fleet(runners(), 0), reads
	}
}

// newAgreement returns an Agreement over s for a number of runners.
func newAgreement(s shard.Store, runners func() int) *shard.Agreement {
	return &shard.Agreement{Store: s, Node: "a", Clock: clock{}, Log: log.NewNopLogger(), Fleet: fleetOf(runners)}
}

func TestAgreement(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		row        string
		runners    func(since time.Duration) int
		downFor    time.Duration // how long the store is down at the start
		want       int
		maxElapsed time.Duration
	}{
		{"stored plan", `{"format":2,"list":[{"name":"a"},{"name":"b"},{"name":"c"}]}`, func(time.Duration) int { return 0 }, 0, 3, 10 * time.Millisecond},
		{"stored plan of the former format", `{"cells":3}`, func(time.Duration) int { return 0 }, 0, 3, 10 * time.Millisecond},
		{"all runners known at the start", ``, func(time.Duration) int { return 350 }, 0, 6, 2800 * time.Millisecond},
		{"runners joining one by one", ``, func(d time.Duration) int { return min(int(d/(10*time.Millisecond)), 130) }, 0, 3, 4500 * time.Millisecond},
		{"runners that keep joining", ``, func(d time.Duration) int { return int(d / (100 * time.Millisecond)) }, 0, 2, 9300 * time.Millisecond},
		{"no runners", ``, func(time.Duration) int { return 0 }, 0, 1, 6300 * time.Millisecond},
		{"store down at the start", ``, func(time.Duration) int { return 100 }, 2 * time.Second, 2, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := &store{down: test.downFor > 0}
				if test.row != "" {
					s.row = table.Row{Key: shard.PlanKey, Version: 2, Value: json.RawMessage(test.row)}
				}
				began := time.Now()
				time.AfterFunc(test.downFor, func() { s.set(func() { s.down = false }) })
				p, ok := newAgreement(s, func() int { return test.runners(time.Since(began)) }).Run(context.Background())
				require.True(t, ok)
				require.Len(t, p.Cells, test.want)
				require.LessOrEqual(t, time.Since(began), test.maxElapsed)
			})
		})
	}
}

// TestAgreementReads reads a growing number of runners so seldom that it does not change
// for long between two reads. The plan must be made for all of them.
func TestAgreementReads(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		const readInterval = 1300 * time.Millisecond
		a := newAgreement(&store{}, nil)
		a.Fleet = func() (shard.Fleet, int) {
			reads := int(time.Since(began) / (2 * readInterval))
			return fleet(min(320*reads, 640), 0), reads
		}
		p, ok := a.Run(context.Background())
		require.True(t, ok)
		require.Len(t, p.Cells, 10)
	})
}

// TestDamagedPlan starts an instance while the row of the plan cannot be decoded. It must
// neither replace the plan nor take one of its own, since the others may go on with the
// former one.
func TestDamagedPlan(t *testing.T) {
	t.Parallel()
	for _, row := range []string{`"x"`, `{"cells":900}`, `{"format":9,"cells":2}`} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{row: table.Row{Key: shard.PlanKey, Version: 2, Value: json.RawMessage(row)}}
			time.AfterFunc(30*time.Second, func() {
				s.set(func() { s.row = table.Row{Key: shard.PlanKey, Version: 7, Value: json.RawMessage(`{"cells":2}`)} })
			})
			began := time.Now()
			p, ok := newAgreement(s, func() int { return 350 }).Run(context.Background())
			require.True(t, ok)
			require.Len(t, p.Cells, 2)
			require.InDelta(t, 30, time.Since(began).Seconds(), 0.1)
			require.Zero(t, s.writes)
		})
	}
}

// TestAgreementOfOthers lets another instance insert its plan before this one would make
// one. It must not begin to read the runners.
func TestAgreementOfOthers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		a := newAgreement(s, func() int { return 350 })
		a.ProposeAfter, a.OnPropose = time.Second, func() { t.Error("it proposes") }
		time.AfterFunc(900*time.Millisecond, func() {
			s.set(func() { s.row = table.Row{Key: shard.PlanKey, Version: 3, Value: json.RawMessage(`{"cells":2}`)} })
		})
		began := time.Now()
		p, ok := a.Run(context.Background())
		require.True(t, ok)
		require.Len(t, p.Cells, 2)
		require.Less(t, time.Since(began), 910*time.Millisecond)
	})
}

// TestAgreementOnce lets another instance insert its plan while this one still waits for
// its number of runners to settle. The stored plan must prevail.
func TestAgreementOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		time.AfterFunc(500*time.Millisecond, func() {
			s.set(func() { s.row = table.Row{Key: shard.PlanKey, Version: 3, Value: json.RawMessage(`{"cells":2}`)} })
		})
		p, ok := newAgreement(s, func() int { return 350 }).Run(context.Background())
		require.True(t, ok)
		require.Len(t, p.Cells, 2)
	})
}

// TestOneAuthor starts many instances at once, of which the first to become the author ends
// before it has made a plan. Only one at a time must read the runners, and all must get the
// same plan.
func TestOneAuthor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		began := time.Now()
		first, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var mu sync.Mutex
		var authors []string
		for i := range 40 {
			a := newAgreement(s, func() int { return 350 })
			a.Node, a.ProposeAfter = fmt.Sprint(i), time.Duration(10*i)*time.Millisecond
			a.OnPropose = func() {
				mu.Lock()
				defer mu.Unlock()
				authors = append(authors, a.Node)
			}
			ctx := context.Background()
			if i == 0 {
				ctx = first
			}
			wg.Go(func() {
				p, ok := a.Run(ctx)
				if i > 0 {
					require.True(t, ok)
					require.Len(t, p.Cells, 6)
				}
			})
		}
		time.AfterFunc(time.Second, stop)
		wg.Wait()
		require.Equal(t, []string{"0", "1"}, authors)
		require.Less(t, time.Since(began), 8*time.Second)
	})
}
