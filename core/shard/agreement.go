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

// Keys of the rows of the plan: the plan itself, and the instance that makes it.
const (
	PlanKey   = "plan/plan/cells"
	AuthorKey = "plan/plan/author"
)

// Timeouts and intervals of an Agreement.
const (
	callTimeout      = 700 * time.Millisecond
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = 160 * time.Millisecond
	watchWait        = time.Second
	pollInterval     = 250 * time.Millisecond  // between checks of the runners while this instance makes a plan
	stableTime       = 2500 * time.Millisecond // for which the number of runners must not change before a plan is made for it
	stableReads      = 3                       // reads of the runners that must have shown the same number
	noRunnersTimeout = 6 * time.Second         // without any runner, after which a plan is made nevertheless
	makeTimeout      = 9 * time.Second         // with a number of runners that still changes
	authorTimeout    = 5 * time.Second         // without a plan of the author, after which another instance makes one
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
	Store Store
	Node  string
	// Fleet returns what a plan is made for and how often the runners have been read.
	Fleet func() (f Fleet, reads int)
	Clock interface{ Now() time.Time }
	Log   log.Logger
	// ProposeAfter is how long this instance waits for a plan of another one before it makes
	// one itself.
	ProposeAfter time.Duration
	// OnPropose is called once when this instance begins to make a plan. From then on
	// Fleet must be current. It may be nil.
	OnPropose func()

	proposeAt     time.Time
	authorVersion int64 // of the row of the author; zero if there is none
	badVersion    int64 // of the last row that could not be decoded
	author        bool  // this instance makes the plan
	startedAt     time.Time
	stable        stability
}

// stability tells whether a number of runners no longer changes.
type stability struct {
	count     int
	since     time.Time
	sinceRead int
}

// reached records a number of runners and reports whether it is stable.
func (s *stability) reached(now time.Time, count, reads int) bool {
	if count != s.count {
		s.count, s.since, s.sinceRead = count, now, reads
	}
	return count > 0 && now.Sub(s.since) >= stableTime && reads-s.sinceRead >= stableReads-1
}

// Run returns the plan, waiting until one is stored that can be decoded. Ok is false if ctx
// ends first.
func (a *Agreement) Run(ctx context.Context) (p Plan, ok bool) {
	a.proposeAt = a.Clock.Now().Add(a.ProposeAfter)
	retry := retryInterval
	for ctx.Err() == nil {
		row, version, err := a.read(ctx)
		if err != nil {
			monotonic.Sleep(ctx, retry)
			retry = min(2*retry, maxRetryInterval)
			continue
		}
		retry = retryInterval
		if row.Version != 0 {
			if p, ok := a.decode(row); ok {
				return p, true
			}
			a.await(ctx, max(version, row.Version), watchWait)
			continue
		}
		a.await(ctx, version, a.advance(ctx, a.Clock.Now()))
	}
	return Plan{}, false
}

// advance makes a plan if it is time to. It returns how long to wait for one.
func (a *Agreement) advance(ctx context.Context, now time.Time) time.Duration {
	if !a.author {
		if wait := a.proposeAt.Sub(now); wait > 0 {
			return min(wait, watchWait)
		}
		a.becomeAuthor(ctx, now)
		return 0
	}
	f, reads := a.Fleet()
	waited := now.Sub(a.startedAt)
	if a.stable.reached(now, len(f.Runners), reads) || (len(f.Runners) == 0 && waited >= noRunnersTimeout) || waited >= makeTimeout {
		a.propose(ctx, f.Plan())
		return 0
	}
	return pollInterval
}

// becomeAuthor makes this instance the author of the plan, unless another one has become it
// first.
func (a *Agreement) becomeAuthor(ctx context.Context, now time.Time) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.Store.Write(limited, table.Write{Ops: []table.Op{
		{Key: AuthorKey, IfVersion: a.authorVersion, Value: encode(a.Node)}, {Key: PlanKey, CheckOnly: true},
	}})
	switch {
	case err != nil:
		monotonic.Sleep(ctx, retryInterval)
	case written.Committed:
		a.author, a.startedAt, a.stable.since = true, now, now
		_ = a.Log.Log("event", "author", "plan", PlanKey)
		if a.OnPropose != nil {
			a.OnPropose()
		}
	default:
		a.proposeAt = now.Add(authorTimeout)
		for _, r := range written.Conflicts {
			if r.Key == AuthorKey {
				a.authorVersion = r.Version
			}
		}
	}
}

// await waits until the plan's table changes after a version, for at most wait.
func (a *Agreement) await(ctx context.Context, version int64, wait time.Duration) {
	if wait <= 0 {
		return
	}
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
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.Store.Write(limited, table.Write{Ops: []table.Op{{Key: PlanKey, Value: encode(p)}}})
	_ = a.Log.Log("event", "plan", "cells", len(p.Cells), "runners", a.stable.count, "inserted", written.Committed, "err", err)
}

// decode returns the plan in a row. Ok is false if the row cannot be decoded, which is logged
// once.
func (a *Agreement) decode(row table.Row) (p Plan, ok bool) {
	err := json.Unmarshal(row.Value, &p)
	if err != nil && row.Version != a.badVersion {
		a.badVersion = row.Version
		_ = a.Log.Log("event", "badrow", "key", PlanKey, "err", err)
	}
	return p, err == nil
}

// encode returns v as JSON. It panics if v cannot be encoded.
func encode(v any) json.RawMessage {
	value, err := json.Marshal(v)
	if err != nil {
		panic("shard: cannot encode row: " + err.Error())
	}
	return value
}
