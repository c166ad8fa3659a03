package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/steady"
	"gypsumward/core/table"
)

// Row is the key of the row of the plan.
const Row = "plan/plan/cells"

// Times of an Agreement.
const (
	callTime  = 700 * time.Millisecond
	retryTime = 50 * time.Millisecond
	stillTime = 2500 * time.Millisecond // for which the number of runners is the same, before it is taken
	emptyTime = 6 * time.Second         // without any runner, before a plan is made all the same
)

// Store reads and writes rows.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// Agreement finds or makes the plan. Its fields are set before Run.
type Agreement struct {
	Store   Store
	Runners func() int // that are listed now
	Clock   interface{ Now() time.Time }
	Log     log.Logger
}

// Run returns the plan. Ok is false if ctx ended before.
func (a *Agreement) Run(ctx context.Context) (p Plan, ok bool) {
	began := a.Clock.Now()
	count, since := 0, began
	for ctx.Err() == nil {
		row, err := a.read(ctx)
		if err == nil && row.Version != 0 {
			return a.decode(row), true
		}
		now := a.Clock.Now()
		if n := a.Runners(); n != count {
			count, since = n, now
		}
		still := count > 0 && now.Sub(since) >= stillTime
		if err == nil && (still || now.Sub(began) >= emptyTime) {
			a.propose(ctx, For(count))
			continue
		}
		steady.Sleep(ctx, retryTime)
	}
	return Plan{}, false
}

func (a *Agreement) read(ctx context.Context) (table.Row, error) {
	limited, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	found, err := a.Store.Read(limited, table.Read{Keys: []string{Row}})
	if err != nil || len(found.Rows) == 0 {
		return table.Row{}, err
	}
	return found.Rows[0], nil
}

// propose inserts a plan, unless another instance has done so.
func (a *Agreement) propose(ctx context.Context, p Plan) {
	value, err := json.Marshal(p)
	if err != nil {
		panic("shard: a plan cannot be encoded: " + err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	written, err := a.Store.Write(limited, table.Write{Ops: []table.Op{{Key: Row, Value: value}}})
	_ = a.Log.Log("event", "plan", "cells", p.Cells, "inserted", written.Done, "err", err)
}

func (a *Agreement) decode(row table.Row) Plan {
	var p Plan
	err := json.Unmarshal(row.Value, &p)
	if err != nil || p.Cells < 1 || p.Cells > MaxCells {
		_ = a.Log.Log("event", "badrow", "key", Row, "err", err)
		return Plan{Cells: 1}
	}
	return p
}
