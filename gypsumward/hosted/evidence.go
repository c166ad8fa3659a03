package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/mirror"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/platform"
)

// Bounds of the look for evidence that the data centre of a cell is not cut off.
const (
	evidenceRunners = 5
	evidenceTimeout = 400 * time.Millisecond
)

// runnersReachable reports whether most of a few runners of the cell answer this instance.
func (p *participant) runnersReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	runners, ok := p.someRunners(ctx)
	if !ok || len(runners) == 0 {
		_ = p.log.Log("event", "evidence", "asked", len(runners), "read", ok)
		return false
	}
	var answered atomic.Int64
	var calls sync.WaitGroup
	for _, r := range runners {
		calls.Go(func() {
			// A hold without a token changes nothing at the runner.
			if v := p.host.runnerClient.Hold(ctx, order.Target{ID: r.ID, Addr: r.Addr}, order.Hold{}); v.Verdict != order.Unknown {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	_ = p.log.Log("event", "evidence", "asked", len(runners), "answered", answered.Load())
	return 2*int(answered.Load()) > len(runners)
}

// someRunners returns up to evidenceRunners runners of the cell, spread over their ids.
func (p *participant) someRunners(ctx context.Context) (list []cell.RunnerInfo, ok bool) {
	q := table.Scan{Prefix: platform.RunnerPrefix, Limit: table.MaxScanRows}
	if p.cell.After != "" {
		q.After = platform.RunnerPrefix + p.cell.After
	}
	if p.cell.Through != "" {
		q.Through = platform.RunnerPrefix + p.cell.Through
	}
	plan := p.host.plan.Load()
	for {
		found, ok := mirror.Page(ctx, p.host.store, q, evidenceTimeout)
		if !ok {
			return nil, false
		}
		for _, row := range found.Rows {
			if r, err := platform.DecodeRunner(row); err == nil && plan.CellOfRunner(r.ID, r.Zone) == p.number {
				list = append(list, r)
			}
		}
		if !found.Truncated || len(found.Rows) == 0 {
			break
		}
		q.After = found.Rows[len(found.Rows)-1].Key
	}
	if n := len(list); n > evidenceRunners {
		spread := make([]cell.RunnerInfo, evidenceRunners)
		for i := range spread {
			spread[i] = list[i*n/evidenceRunners]
		}
		list = spread
	}
	return list, true
}
