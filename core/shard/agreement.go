package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/monotonic"
	"gypsumward/core/table"
)

// PlanKey is the key of the row that holds the plan.
const PlanKey = "plan/plan/cells"

// Timeouts and intervals of an Agreement.
const (
	callTimeout      = 700 * time.Millisecond
	retryInterval    = 50 * time.Millisecond
	stableTime       = 2500 * time.Millisecond // for which the number of runners must not change before a plan is made for it
	noRunnersTimeout = 6 * time.Second         // without any runner, after which a plan is made nevertheless
)

// Store reads and writes rows.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// Agreement reads the plan from the store, or makes one if there is none. Its fields must
// be set before Run.
type Agreement struct {
	Store       Store
	RunnerCount func() int // returns the number of runners in the directory
	Clock       interface{ Now() time.Time }
	Log         log.Logger
}

// Run returns the plan, waiting until one is stored. A stored plan that is invalid counts
// as a plan of one cell. Ok is false if ctx ends first.
func (a *Agreement) Run(ctx context.Context) (p Plan, ok bool) {
	began := a.Clock.Now()
	count, stableSince := 0, began
	for ctx.Err() == nil {
		row, err := a.read(ctx)
		if err == nil && row.Version != 0 {
			return a.decode(row), true
		}
		now := a.Clock.Now()
		if n := a.RunnerCount(); n != count {
			count, stableSince = n, now
		}
		stable := count > 0 && now.Sub(stableSince) >= stableTime
		if err == nil && (stable || now.Sub(began) >= noRunnersTimeout) {
			a.propose(ctx, NewPlan(count))
			continue
		}
		monotonic.Sleep(ctx, retryInterval)
	}
	return Plan{}, false
}

// read returns the row of the plan. Its version is zero if there is none.
func (a *Agreement) read(ctx context.Context) (table.Row, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := a.Store.Read(limited, table.Read{Keys: []string{PlanKey}})
	if err != nil || len(found.Rows) == 0 {
		return table.Row{}, err
	}
	return found.Rows[0], nil
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
	_ = a.Log.Log("event", "plan", "cells", p.Cells, "inserted", written.Committed, "err", err)
}

// decode returns the plan in a row, or a plan of one cell if the row is invalid.
func (a *Agreement) decode(row table.Row) Plan {
	var p Plan
	err := json.Unmarshal(row.Value, &p)
	if err != nil || p.Cells < 1 || p.Cells > MaxCells {
		_ = a.Log.Log("event", "badrow", "key", PlanKey, "err", err)
		return Plan{Cells: 1}
	}
	return p
}
