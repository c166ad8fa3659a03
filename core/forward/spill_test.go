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
	"gypsumward/core/fair"
	"gypsumward/core/forward"
	"gypsumward/core/retry"
	"gypsumward/core/span"
	"gypsumward/core/spill"
	"gypsumward/core/table"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// memoryTable is an in-memory table on which every write succeeds.
type memoryTable struct {
	mutex sync.Mutex
	last  map[string]claim.Row
}

func (r *memoryTable) IsDown() bool { return false }

func (r *memoryTable) Submit(ch commit.Change) <-chan commit.Outcome {
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

// echoRunner stands for all runners. It counts the runs of each call and returns the
// input of the call as its output.
type echoRunner struct {
	mutex      sync.Mutex
	runsByCall map[string]int
}

func (r *echoRunner) Run(_ context.Context, _ string, c target.Call) targetclient.Outcome {
	time.Sleep(100 * time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runsByCall[c.ID]++
	return targetclient.Outcome{Ran: api.RanYes, Reply: target.Reply{ID: c.ID, Output: c.Input}}
}

// spillLink connects to an instance of another data centre. The fault is empty,
// "refused" (the request is not delivered) or "lost" (its result is not).
type spillLink struct {
	to    *forward.Forwarder
	fault string
	calls int
}

func (w *spillLink) FreeCapacity(context.Context, string) []spill.Report {
	return []spill.Report{{Instance: w.to.ID, Centre: w.to.Centre, Capacity: 8}}
}

func (w *spillLink) Spill(ctx context.Context, h forward.SpillRequest) (forward.SpillResponse, api.RunStatus, error) {
	w.calls++
	if w.fault == "refused" {
		return forward.SpillResponse{}, api.RanNot, errors.New("connection refused")
	}
	taken := w.to.RunSpilled(ctx, h)
	if w.fault == "lost" {
		return forward.SpillResponse{}, api.RanUnknown, errors.New("the answer is lost")
	}
	return taken, api.RanYes, nil
}

// newCentre returns an instance of a data centre with the given number of runners,
// each of 8 slots.
func newCentre(centre string, count int, r *echoRunner, store *memoryTable) *forward.Forwarder {
	f := forward.New(fair.Settings{}, choose.Settings{}, retry.Settings{})
	f.ID, f.Centre, f.Clock, f.Runners, f.Committer = centre+"-1@1", centre, clockwork.NewRealClock(), r, store
	f.Nonce = func() string { return "n" }
	var members []table.Member
	for i := range count {
		id := centre + string(rune('a'+i))
		members = append(members, table.Member{ID: id, Kind: table.KindRunner, Centre: centre, Addr: id, Slots: 8, MaxConns: 60})
	}
	go func() {
		f.SetInstances(1, 0)
		f.SetMembers(members)
	}()
	return f
}

// TestSpill sends a request from a data centre without runners to another one. It
// guards against an answer that contradicts what ran, a second run after a lost
// answer, and requests that are sent back and forth.
func TestSpill(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		fault      string
		runners    int // number of runners of the other data centre
		repeatable bool
		complete   bool
		ran        api.RunStatus
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
			r := &echoRunner{runsByCall: map[string]int{}}
			store := &memoryTable{last: map[string]claim.Row{}}
			here, there := newCentre("como", 0, r, store), newCentre("varese", c.runners, r, store)
			out, back := &spillLink{to: there, fault: c.fault}, &spillLink{to: here}
			here.PeerCentres, there.PeerCentres = out, back
			go here.Run(ctx)
			go there.Run(ctx)
			synctest.Wait()
			spec := api.Request{Team: "crew", ID: "r1", Kind: "price", Repeatable: c.repeatable, Deadline: 2 * span.Second, Input: json.RawMessage(`{"b":1,"a":2}`)}
			a, refused := here.Send(ctx, spec)
			synctest.Wait()
			require.Len(t, r.runsByCall, c.runs, c.name)
			require.Equal(t, c.calls, out.calls, c.name)
			require.Zero(t, back.calls, c.name)
			row, claimed := store.last[claim.RequestKey(api.Key{Team: "crew", ID: "r1"})]
			require.Equal(t, !c.repeatable, claimed, c.name)
			if c.complete {
				require.NotNil(t, a, c.name)
				require.Equal(t, api.StateComplete, a.State, c.name)
				require.Equal(t, spec.Input, a.Output, c.name)
				require.Equal(t, "r1", a.ID, c.name)
			} else {
				require.NotNil(t, refused, c.name)
				require.Equal(t, c.ran, refused.Ran, c.name)
			}
			if claimed {
				require.Equal(t, c.ran == api.RanNot, row.ReleasedNotRun, c.name)
				require.Equal(t, c.complete, row.Final(), c.name)
				require.Equal(t, "como", row.Centre, c.name)
			}
			cancel()
			synctest.Wait()
		})
	}
}
