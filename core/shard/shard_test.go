package shard_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/shard"
	"gypsumward/core/table"
)

func TestFor(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ runners, cells int }{
		{0, 1}, {1, 1}, {48, 1}, {64, 1}, {65, 2}, {350, 6}, {1100, 18}, {100000, shard.MaxCells},
	} {
		require.Equal(t, test.cells, shard.NewPlan(ids(test.runners), 0).Cells, "%d runners", test.runners)
	}
}

func TestOf(t *testing.T) {
	t.Parallel()
	require.Zero(t, shard.Plan{}.CellOf("x"))
	p := shard.Plan{Cells: 6}
	counts := make([]int, p.Cells)
	for i := range 6000 {
		id := fmt.Sprintf("i-%08x", i*2654435761)
		require.Equal(t, p.CellOf(id), p.CellOf(id))
		counts[p.CellOf(id)]++
	}
	for cell, n := range counts {
		require.InDelta(t, 1000, n, 150, "cell %d", cell)
	}
}

// ids returns n different ids that look random.
func ids(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("i-%08x", uint32(i)*2654435761)
	}
	return list
}

// TestRunnerRanges checks that every runner belongs to the cell whose range holds it, also
// one that joins later, and that cells are of equal size.
func TestRunnerRanges(t *testing.T) {
	t.Parallel()
	require.Equal(t, 4, shard.NewPlan(ids(120), 30).Cells)
	runners := ids(1100)
	p := shard.NewPlan(runners, 0)
	require.Len(t, p.Bounds, p.Cells-1)
	counts := make([]int, p.Cells)
	for _, id := range ids(2200) {
		cell := p.CellOfRunner(id)
		counts[cell]++
		after, through := p.RunnerRange(cell)
		require.True(t, after < id && (through == "" || id <= through), "%s in cell %d", id, cell)
	}
	for cell, n := range counts {
		require.InDelta(t, 2200/p.Cells, n, 15, "cell %d", cell)
	}
}

// TestRunnerHash checks that ids in sequence are not divided by ranges, since all later
// ones would join the last cell.
func TestRunnerHash(t *testing.T) {
	t.Parallel()
	for _, format := range []string{"server-%04d", "%08x", "runner-a-%d", "zone-%d"} {
		var list []string
		for i := range 350 {
			list = append(list, fmt.Sprintf(format, i))
		}
		p := shard.NewPlan(list, 0)
		require.Empty(t, p.Bounds, format)
		require.Equal(t, p.CellOf(list[7]), p.CellOfRunner(list[7]))
		after, through := p.RunnerRange(1)
		require.Empty(t, after+through)
	}
}

// store holds the row of the plan. Calls fail while it is down.
type store struct {
	mu   sync.Mutex
	row  table.Row
	down bool
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
	if s.row.Version != w.Ops[0].IfVersion {
		return table.Written{Conflicts: []table.Row{s.row}}, nil
	}
	s.row = table.Row{Key: shard.PlanKey, Version: 5, Value: w.Ops[0].Value}
	return table.Written{Committed: true, Version: 5}, nil
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

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
		{"stored plan", `{"cells":3}`, func(time.Duration) int { return 0 }, 0, 3, 10 * time.Millisecond},
		{"all runners known at the start", ``, func(time.Duration) int { return 350 }, 0, 6, 2700 * time.Millisecond},
		{"runners joining one by one", ``, func(d time.Duration) int { return min(int(d/(10*time.Millisecond)), 130) }, 0, 3, 4500 * time.Millisecond},
		{"no runners", ``, func(time.Duration) int { return 0 }, 0, 1, 6200 * time.Millisecond},
		{"store down at the start", ``, func(time.Duration) int { return 100 }, 5 * time.Second, 2, 5200 * time.Millisecond},
		{"malformed row", `"x"`, func(time.Duration) int { return 350 }, 0, 1, 10 * time.Millisecond},
		{"row out of range", `{"cells":900}`, func(time.Duration) int { return 350 }, 0, 1, 10 * time.Millisecond},
		{"bounds of another number of cells", `{"cells":3,"bounds":["b"]}`, func(time.Duration) int { return 350 }, 0, 1, 10 * time.Millisecond},
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
				a := &shard.Agreement{
					Store: s, Clock: clock{}, Log: log.NewNopLogger(),
					Runners: func() []string { return ids(test.runners(time.Since(began))) },
				}
				p, ok := a.Run(context.Background())
				require.True(t, ok)
				require.Equal(t, test.want, p.Cells)
				require.LessOrEqual(t, time.Since(began), test.maxElapsed)
			})
		})
	}
}

// TestAgreementOfOthers lets another instance insert its plan before this one would make
// one. It must not begin to read the runners.
func TestAgreementOfOthers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		a := &shard.Agreement{
			Store: s, Clock: clock{}, Log: log.NewNopLogger(), Runners: func() []string { return ids(350) },
			ProposeAfter: time.Second, OnPropose: func() { t.Error("it proposes") },
		}
		time.AfterFunc(900*time.Millisecond, func() {
			s.set(func() { s.row = table.Row{Key: shard.PlanKey, Version: 3, Value: json.RawMessage(`{"cells":2}`)} })
		})
		began := time.Now()
		p, ok := a.Run(context.Background())
		require.True(t, ok)
		require.Equal(t, 2, p.Cells)
		require.Less(t, time.Since(began), 910*time.Millisecond)
	})
}

// TestAgreementOnce lets another instance insert its plan while this one still waits for
// its number of runners to settle. The stored plan must prevail.
func TestAgreementOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		a := &shard.Agreement{Store: s, Clock: clock{}, Log: log.NewNopLogger(), Runners: func() []string { return ids(350) }}
		time.AfterFunc(500*time.Millisecond, func() {
			s.set(func() { s.row = table.Row{Key: shard.PlanKey, Version: 3, Value: json.RawMessage(`{"cells":2}`)} })
		})
		p, ok := a.Run(context.Background())
		require.True(t, ok)
		require.Equal(t, 2, p.Cells)
	})
}
