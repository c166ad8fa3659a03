package member_test

import (
	"context"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/member"
	"gypsumward/core/span"
	"gypsumward/core/table"
	"gypsumward/core/target"
	"gypsumward/core/targetclient"
)

// fakeTarget is a runner and a worker that returns the results set in its fields.
type fakeTarget struct {
	member.Worker
	outcome targetclient.Outcome
	started target.Started
	seen    target.Outcomes
	err     error
}

func (f *fakeTarget) Run(context.Context, string, target.Call) targetclient.Outcome { return f.outcome }

func (f *fakeTarget) Start(context.Context, string, target.Start) (target.Started, api.RunStatus, error) {
	return f.started, api.RanYes, f.err
}

func (f *fakeTarget) Watch(context.Context, string, target.Watch) (target.Outcomes, api.RunStatus, error) {
	return f.seen, api.RanYes, f.err
}

// The results of calls to runners and workers decide whether a target is seen as
// leaving or down. A refusal for another reason and a connection that breaks after
// it was made must change neither.
func TestTargetObservations(t *testing.T) {
	t.Parallel()
	refusal := target.Started{Tasks: []target.TaskState{{Phase: target.NotStarted, Reason: string(target.RefusedLeaving)}}}
	unreached := errors.Annotate(&net.OpError{Op: "dial", Err: net.ErrClosed}, "worker")
	for _, test := range []struct {
		name          string
		target        fakeTarget
		leaving, down bool
	}{
		{"fine", fakeTarget{}, false, false},
		{"run refused", fakeTarget{outcome: targetclient.Outcome{Reply: target.Reply{Refused: target.RefusedLeaving}, Ran: api.RanNot}}, true, false},
		{"run refused as full", fakeTarget{outcome: targetclient.Outcome{Reply: target.Reply{Refused: target.RefusedFull}, Ran: api.RanNot}}, false, false},
		{"run not reached", fakeTarget{outcome: targetclient.Outcome{Err: "refused", Unreachable: true, Ran: api.RanNot}, err: unreached}, false, true},
		{"run unknown", fakeTarget{outcome: targetclient.Outcome{Err: "reset", Ran: api.RanUnknown}, err: errors.New("reset")}, false, false},
		{"start refused", fakeTarget{started: refusal}, true, false},
		{"leaving seen", fakeTarget{seen: target.Outcomes{Usage: target.Usage{Leaving: true}}}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			clock := clockwork.NewFakeClock()
			state := member.New(member.Settings{}, member.Record{ID: "a", Incarnation: "1", Peer: "10.0.0.1:1"}, clock.Now())
			state.ApplyList(table.LiveList{Age: span.Second, Members: []table.Member{{ID: "r1", Kind: table.KindRunner, Addr: "10.0.0.2:1"}}}, clock.Now())
			runners := member.ObservedRunners{Next: &test.target, State: state, Clock: clock}
			workers := member.ObservedWorkers{Worker: &test.target, State: state, Clock: clock}
			runners.Run(t.Context(), "10.0.0.2:1", target.Call{})
			_, ran, err := workers.Start(t.Context(), "10.0.0.2:1", target.Start{})
			require.Equal(t, api.RanYes, ran)
			require.Equal(t, test.target.err, err)
			_, ran, err = workers.Watch(t.Context(), "10.0.0.2:1", target.Watch{})
			require.Equal(t, api.RanYes, ran)
			require.Equal(t, test.target.err, err)
			runners.Run(t.Context(), "10.0.0.9:9", target.Call{})
			seen := state.View(clock.Now()).Runners[0]
			require.Equal(t, test.leaving, seen.Leaving)
			require.Equal(t, test.down, seen.Down)
		})
	}
}

// Neighbours are ordered by how likely they can be reached: an instance that calls
// from here do not reach comes before one that has died.
func TestNeighbours(t *testing.T) {
	t.Parallel()
	f := newFleet(6, 2, 0)
	a, cut, silent := f.nodes[0], f.nodes[2], f.nodes[4]
	f.runRound()
	silent.dead = true
	f.isCut = func(from, to *node) bool { return from == a && to == cut }
	for range 30 {
		f.runRound()
	}
	v := a.State.View(f.clock.Now())
	require.Equal(t, []string{cut.addr, silent.addr}, v.Neighbours("centre-0"))
	addr, found := v.PeerAddr(cut.id)
	require.True(t, found)
	require.Equal(t, cut.addr, addr)
	_, found = v.PeerAddr("none")
	require.False(t, found)

	d := member.Directory{Gossip: a.Gossip}
	require.True(t, d.Ready())
	require.Equal(t, v.Neighbours("centre-0"), d.Neighbours())
	addr, _ = d.PeerAddr(cut.id)
	require.Equal(t, cut.addr, addr)
	require.Contains(t, d.Members(), api.Member{ID: silent.id, Kind: "entry", Centre: "centre-0", State: "silent"})
	require.Len(t, v.Members(), 6)
	require.Equal(t, a.id, v.Members()[0].ID)
}
