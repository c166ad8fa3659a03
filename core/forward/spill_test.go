package forward_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/dial"
	"gypsumward/core/fair"
	"gypsumward/core/forward"
	"gypsumward/core/retry"
	"gypsumward/core/span"
	"gypsumward/core/spill"
	"gypsumward/core/table"
	"gypsumward/core/target"
)

// rows is a table that always answers.
type rows struct {
	mutex sync.Mutex
	last  map[string]claim.Row
}

func (r *rows) Down() bool { return false }

func (r *rows) Submit(ch commit.Change) <-chan commit.Outcome {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, op := range ch.Ops {
		if row, err := claim.Decode(table.Row{Key: op.Key, Value: op.Value}); err == nil && row.Key == op.Key {
			r.last[op.Key] = row
		}
	}
	done := make(chan commit.Outcome, 1)
	done <- commit.Outcome{Result: commit.Written, Version: 1}
	return done
}

// runners counts the calls that run and echoes their input.
type runners struct {
	mutex sync.Mutex
	names map[string]int
}

func (r *runners) Run(_ context.Context, _ string, c target.Call) dial.Outcome {
	time.Sleep(100 * time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.names[c.ID]++
	return dial.Outcome{Ran: api.RanYes, Reply: target.Reply{ID: c.ID, Output: c.Input}}
}

// way is the way to an instance of another data centre, with a fault.
type way struct {
	to    *forward.Forwarder
	fault string
	calls int
}

func (w *way) Room(context.Context, string) []spill.Report {
	return []spill.Report{{Instance: w.to.ID, Centre: w.to.Centre, Room: 8}}
}

func (w *way) Spill(ctx context.Context, h forward.Handed) (forward.Taken, api.Ran, error) {
	w.calls++
	if w.fault == "refused" {
		return forward.Taken{}, api.RanNot, errors.New("connection refused")
	}
	taken := w.to.Take(ctx, h)
	if w.fault == "lost" {
		return forward.Taken{}, api.RanUnknown, errors.New("the answer is lost")
	}
	return taken, api.RanYes, nil
}

// newCentre returns an instance of a data centre with the given number of runners.
func newCentre(centre string, count int, r *runners, store *rows) *forward.Forwarder {
	f := forward.New(fair.Settings{}, choose.Settings{}, retry.Settings{})
	f.ID, f.Centre, f.Clock, f.Runners, f.Commit = centre+"-1@1", centre, clockwork.NewRealClock(), r, store
	f.Nonce = func() string { return "n" }
	var members []table.Member
	for i := range count {
		id := centre + string(rune('a'+i))
		members = append(members, table.Member{ID: id, Kind: table.Runner, Centre: centre, Addr: id, Slots: 8, Conns: 60})
	}
	go func() {
		f.Divide(1, 0)
		f.Members(members)
	}()
	return f
}

// TestSpill hands a request from a data centre without runners to another one, and
// checks what the caller is told against what ran.
func TestSpill(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		fault      string
		runners    int // of the other data centre
		repeatable bool
		complete   bool
		ran        api.Ran
		runs       int
		calls      int
	}{
		{"claimed", "", 1, false, true, "", 1, 1},
		{"repeatable", "", 1, true, true, "", 1, 1},
		{"not reached", "refused", 1, false, false, api.RanNot, 0, 1},
		{"answer lost", "lost", 1, false, false, api.RanUnknown, 1, 1},
		{"answer lost, repeatable", "lost", 1, true, false, api.RanUnknown, 1, 1},
		{"no loop", "", 0, false, false, api.RanNot, 0, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := &runners{names: map[string]int{}}
			store := &rows{last: map[string]claim.Row{}}
			here, there := newCentre("como", 0, r, store), newCentre("varese", c.runners, r, store)
			out, back := &way{to: there, fault: c.fault}, &way{to: here}
			here.Centres, there.Centres = out, back
			go here.Run(ctx)
			go there.Run(ctx)
			synctest.Wait()
			spec := api.Request{Team: "crew", ID: "r1", Kind: "price", Repeatable: c.repeatable, Deadline: 2 * span.Second, Input: json.RawMessage(`{"b":1,"a":2}`)}
			a, refused := here.Send(ctx, spec)
			synctest.Wait()
			require.Len(t, r.names, c.runs, c.name)
			require.Equal(t, c.calls, out.calls, c.name)
			require.Zero(t, back.calls, c.name)
			row, claimed := store.last[claim.RequestKey(api.Key{Team: "crew", ID: "r1"})]
			require.Equal(t, !c.repeatable, claimed, c.name)
			if c.complete {
				require.NotNil(t, a, c.name)
				require.Equal(t, api.Complete, a.State, c.name)
				require.Equal(t, spec.Input, a.Output, c.name)
				require.Equal(t, "r1", a.ID, c.name)
			} else {
				require.NotNil(t, refused, c.name)
				require.Equal(t, c.ran, refused.Ran, c.name)
			}
			if claimed {
				require.Equal(t, c.ran == api.RanNot, row.Spent, c.name)
				require.Equal(t, c.complete, row.Final(), c.name)
				require.Equal(t, "como", row.Centre, c.name)
			}
			cancel()
			synctest.Wait()
		})
	}
}
