package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/monotonic"
	"gypsumward/core/span"
	"gypsumward/core/table"
)

// PlanKey is the key of the row that holds the plan.
const PlanKey = "plan/plan/cells"

// Timeouts and intervals of an Agreement.
const (
	callTimeout      = 700 * time.Millisecond
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = 160 * time.Millisecond
	watchWait        = time.Second
	stableTime       = 2500 * time.Millisecond // for which the number of runners must not change before a plan is made for it
	noRunnersTimeout = 6 * time.Second         // after ProposeAfter without any runner, after which a plan is made nevertheless
)

// Store reads and writes rows.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Read(ctx context.Context, r table.Read) (table.Found, error)
	Watch(ctx context.Context, w table.Watch) (table.WatchResult, error)
}

// Agreement reads the plan from the store, or makes one if there is none. Its fields must
// be set before Run.
type Agreement struct {
	Store   Store
	Runners func() []string // returns the ids of the runners in the directory
	Clock   interface{ Now() time.Time }
	Log     log.Logger
	// PerCell is the number of runners in a cell of a new plan; zero means RunnersPerCell.
	PerCell int
	// ProposeAfter is how long this instance waits for a plan of another one before it makes
	// one itself.
	ProposeAfter time.Duration
	// OnPropose is called once when this instance begins to make a plan. From then on
	// Runners must be current. It may be nil.
	OnPropose func()
}

// Run returns the plan, waiting until one is stored. A stored plan that is invalid counts
// as a plan of one cell. Ok is false if ctx ends first.
func (a *Agreement) Run(ctx context.Context) (p Plan, ok bool) {
	proposeAt := a.Clock.Now().Add(a.ProposeAfter)
	proposing := false
	count, stableSince := 0, time.Time{}
	retry := retryInterval
	for ctx.Err() == nil {
		row, version, err := a.read(ctx)
		if err == nil && row.Version != 0 {
			return a.decode(row), true
		}
		now := a.Clock.Now()
		if !proposing && !now.Before(proposeAt) {
			proposing, stableSince = true, now
			if a.OnPropose != nil {
				a.OnPropose()
			}
		}
		runners := a.Runners()
		if proposing && len(runners) != count {
			count, stableSince = len(runners), now
		}
		if err != nil {
			monotonic.Sleep(ctx, retry)
			retry = min(2*retry, maxRetryInterval)
			continue
		}
		retry = retryInterval
		if !proposing {
			a.await(ctx, version, min(watchWait, proposeAt.Sub(now)))
			continue
		}
		stable := count > 0 && now.Sub(stableSince) >= stableTime
		if stable || now.Sub(proposeAt) >= noRunnersTimeout {
			a.propose(ctx, NewPlan(runners, a.PerCell))
			continue
		}
		a.await(ctx, version, pollInterval)
	}
	return Plan{}, false
}

// pollInterval is the time between checks of the runners while this instance makes a plan.
const pollInterval = 250 * time.Millisecond

// await waits until the plan's table changes after a version, for at most wait.
func (a *Agreement) await(ctx context.Context, version int64, wait time.Duration) {
	limited, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	changes, err := a.Store.Watch(limited, table.Watch{Prefix: PlanKey, After: version, Wait: span.Of(wait)})
	if err != nil || changes.HistoryLost {
		monotonic.Sleep(ctx, wait)
	}
}

// read returns the row of the plan, whose version is zero if there is none, and the version
// of the store.
func (a *Agreement) read(ctx context.Context) (table.Row, int64, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := a.Store.Read(limited, table.Read{Keys: []string{PlanKey}})
	if err != nil || len(found.Rows) == 0 {
		return table.Row{}, found.Version, err
	}
	return found.Rows[0], found.Version, nil
}

// propose inserts a plan, unless another instance has inserted one first.
func (a *Agreement) propose(ctx context.Context, p Plan) {
	value, err := json.Marshal(p)
	if err != nil {
		panic("shard: cannot encode plan: " + err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.Store.Write(limited, table.Write{Ops: []table.Op{{Key: PlanKey, Value: value}}})
	_ = a.Log.Log("event", "plan", "cells", p.Cells, "ranges", len(p.Bounds) > 0, "inserted", written.Committed, "err", err)
}

// decode returns the plan in a row, or a plan of one cell if the row is invalid.
func (a *Agreement) decode(row table.Row) Plan {
	var p Plan
	err := json.Unmarshal(row.Value, &p)
	if err != nil || !p.valid() {
		_ = a.Log.Log("event", "badrow", "key", PlanKey, "err", err)
		return Plan{Cells: 1}
	}
	return p
}
