package settings_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/settings"
	"gypsumward/core/settings/tabletest"
	"gypsumward/core/table"
)

const errLost = errors.ConstError("answer lost")

// gate controls the calls of all operators to a table. Each read of a row and each
// write waits until run releases it, with a fault drawn at random.
type gate struct {
	table         tabletest.Table
	rand          *rand.Rand
	faultPercent  int // percentage of calls that get a fault
	mu            sync.Mutex
	pending       []chan int    // waiting call of each operator; nil if there is none
	delayedWrites []table.Write // sent but not yet executed
}

// Faults of a call. A read or scan fails with any of them.
const (
	faultNone         = iota
	faultNotSent      // the call is not executed
	faultResponseLost // the call is executed, its response is lost
	faultDelayed      // the call is executed later, its response is lost
	faultKinds
)

// gatedTable gives one operator access to the table through the gate.
type gatedTable struct {
	*gate
	operator int
}

// awaitTurn waits until the call is released and returns its fault.
func (t gatedTable) awaitTurn() int {
	ch := make(chan int)
	t.mu.Lock()
	t.pending[t.operator] = ch
	t.mu.Unlock()
	return <-ch
}

func (t gatedTable) Write(ctx context.Context, w table.Write) (table.Written, error) {
	switch t.awaitTurn() {
	case faultNotSent:
		return table.Written{}, errLost
	case faultResponseLost:
		_, _ = t.table.Write(ctx, w)
		return table.Written{}, errLost
	case faultDelayed:
		t.mu.Lock()
		t.delayedWrites = append(t.delayedWrites, w)
		t.mu.Unlock()
		return table.Written{}, errLost
	}
	return t.table.Write(ctx, w)
}

// Read reads each row at a different moment, in reverse order for operators with
// an odd number.
func (t gatedTable) Read(ctx context.Context, r table.Read) (table.Found, error) {
	all := table.Found{Rows: make([]table.Row, len(r.Keys))}
	for i := range r.Keys {
		if t.awaitTurn() != faultNone {
			return table.Found{}, errLost
		}
		if t.operator%2 == 1 {
			i = len(r.Keys) - 1 - i
		}
		found, _ := t.table.Read(ctx, table.Read{Keys: r.Keys[i : i+1]})
		all.Rows[i] = found.Rows[0]
	}
	return all, nil
}

func (t gatedTable) Scan(ctx context.Context, s table.Scan) (table.Found, error) {
	if t.awaitTurn() != faultNone {
		return table.Found{}, errLost
	}
	return t.table.Scan(ctx, s)
}

// run releases the calls one at a time, in random order, until done returns true
// and all delayed writes were executed.
func (g *gate) run(done func() bool) {
	for {
		synctest.Wait()
		g.mu.Lock()
		waiting := g.waiting()
		if len(g.delayedWrites) > 0 && (len(waiting) == 0 || g.rand.IntN(4) == 0) {
			i := g.rand.IntN(len(g.delayedWrites))
			_, _ = g.table.Write(context.Background(), g.delayedWrites[i])
			g.delayedWrites = slices.Delete(g.delayedWrites, i, i+1)
		}
		if len(waiting) > 0 {
			g.release(waiting[g.rand.IntN(len(waiting))])
		}
		finished := done() && len(g.delayedWrites) == 0
		g.mu.Unlock()
		if finished {
			return
		}
		if len(waiting) == 0 {
			time.Sleep(settings.DefaultRetryDelay)
		}
	}
}

// waiting returns the operators with a waiting call.
func (g *gate) waiting() []int {
	var list []int
	for i, ch := range g.pending {
		if ch != nil {
			list = append(list, i)
		}
	}
	return list
}

// release releases the call of an operator, with or without a fault.
func (g *gate) release(operator int) {
	fault := faultNone
	if g.rand.IntN(100) < g.faultPercent {
		fault = 1 + g.rand.IntN(faultKinds-1)
	}
	g.pending[operator] <- fault
	g.pending[operator] = nil
}

// operator makes changes to one team, each based on the version last read.
type operator struct {
	team    string
	store   *settings.Store
	changes []settings.Change
	results []settings.Result
}

func (o *operator) run(ctx context.Context, name string, remove []bool) {
	for i, removed := range remove {
		c := settings.Change{Team: o.team, Text: fmt.Sprintf("count = %d # %s", 1+i, name), Remove: removed, Author: name}
		if list, err := o.store.History(ctx, o.team); err == nil && len(list) > 0 {
			c.Base = list[0].Version
		}
		c.Nonce = fmt.Sprintf("%s-%d", name, i)
		r := o.store.Put(ctx, c)
		if r.Outcome == settings.OutcomeUnknown {
			if resent := o.store.Put(ctx, c); resent.Outcome != settings.OutcomeFailed {
				r = resent
			}
		}
		o.changes, o.results = append(o.changes, c), append(o.results, r)
	}
}

// committedChange is the change of a transaction that took effect.
type committedChange struct {
	settings.Subtree
	version int64
}

// committedChanges returns the changes in the table's log by nonce and in order.
func committedChanges(t *tabletest.Table) (byNonce map[string][]committedChange, order []committedChange) {
	byNonce = make(map[string][]committedChange)
	for i, w := range t.Log() {
		a := committedChange{version: int64(i) + 1}
		_ = json.Unmarshal(w.Ops[0].Value, &a.Subtree)
		byNonce[a.Nonce] = append(byNonce[a.Nonce], a)
		order = append(order, a)
	}
	return byNonce, order
}

// TestOperatorsRace guards against lost updates, changes that take effect twice
// and wrong outcomes. Operators change the same and different teams at the same
// time while calls fail, responses are lost and writes are delayed.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		teams := rapid.SliceOfN(rapid.IntRange(0, 1), 1, 5).Draw(rt, "teams")
		removes := rapid.SliceOfN(rapid.SliceOfN(rapid.Bool(), 1, 4), len(teams), len(teams)).Draw(rt, "removes")
		faulty := rapid.SampledFrom([]int{0, 5, 20, 50}).Draw(rt, "faulty")
		seed := rapid.Uint64().Draw(rt, "seed")
		g := &gate{rand: rand.New(rand.NewPCG(seed, 0)), faultPercent: faulty, pending: make([]chan int, len(teams))}
		var operators []*operator
		synctest.Test(t, func(t *testing.T) {
			var ended atomic.Int64
			for i, team := range teams {
				store := &settings.Store{Table: gatedTable{gate: g, operator: i}, Clock: clockwork.NewRealClock()}
				o := &operator{team: fmt.Sprintf("team%d", team), store: store}
				operators = append(operators, o)
				go func() {
					o.run(t.Context(), fmt.Sprintf("op%d", i), removes[i])
					ended.Add(1)
				}()
			}
			g.run(func() bool { return int(ended.Load()) == len(teams) })
		})
		verify(rt, g, operators, teams, faulty)
	})
}

// verify checks the results that operators got against the log of the table.
func verify(t require.TestingT, g *gate, operators []*operator, teams []int, faulty int) {
	byNonce, order := committedChanges(&g.table)
	last := make(map[string]int64)
	for _, a := range order {
		require.Equal(t, last[a.Team], a.Base, "an update of %s was lost", a.Team)
		last[a.Team] = a.version
	}
	for i, o := range operators {
		for j, r := range o.results {
			committed := byNonce[o.changes[j].Nonce]
			require.LessOrEqual(t, len(committed), 1, "a change took effect twice")
			switch r.Outcome {
			case settings.OutcomeWritten:
				require.Len(t, committed, 1)
				require.Equal(t, committed[0].version, r.Revision)
			case settings.OutcomeUnknown:
				require.Positive(t, faulty)
			default:
				require.Empty(t, committed, "%s got the outcome %s but was written", o.changes[j].Nonce, r.Outcome)
			}
			if r.Outcome == settings.OutcomeConflict {
				require.Equal(t, startVersion(order, o.changes[j].Base), startVersion(order, r.Winner.Base))
				require.NotEqual(t, o.changes[j].Nonce, r.Winner.Nonce)
				require.NotEqual(t, o.changes[j].Base, r.Current.Version)
			}
			if isOnlyOperator(teams, i) && faulty == 0 {
				require.Contains(t, []settings.Outcome{settings.OutcomeWritten, settings.OutcomeUnchanged}, r.Outcome)
			}
		}
	}
	store := settings.Store{Table: &g.table, Clock: clockwork.NewFakeClock()}
	tree, err := store.Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, int64(len(order)), tree.Revision())
	for team, version := range last {
		list, err := store.History(context.Background(), team)
		require.NoError(t, err)
		require.Equal(t, version, list[0].Version)
		require.Equal(t, order[version-1].Nonce, list[0].Nonce)
		_, ok := tree.Team(team)
		require.Equal(t, !list[0].Removed, ok)
		for i := range list[:len(list)-1] {
			require.Equal(t, list[i+1].Version, list[i].Base)
		}
	}
}

// startVersion returns the version that a change with the given base starts from:
// zero for a removed subtree, which counts as none.
func startVersion(order []committedChange, base int64) int64 {
	if base > 0 && order[base-1].Removed {
		return 0
	}
	return base
}

// isOnlyOperator reports whether operator i is the only one of its team.
func isOnlyOperator(teams []int, i int) bool {
	for j, team := range teams {
		if j != i && team == teams[i] {
			return false
		}
	}
	return true
}
