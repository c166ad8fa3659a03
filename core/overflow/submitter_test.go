package overflow_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/cell"
	"gypsumward/core/overflow"
	"gypsumward/core/work"
)

// fakeCell is a cell with a fixed outcome after some time.
type fakeCell struct {
	clock       *clock
	unreachable bool
	takes       time.Duration
	full        bool          // cannot start a job at once
	wait        time.Duration // until the jobs that wait have started
	outcome     cell.Outcome
	arrived     []time.Time // of the jobs submitted
	onSubmit    func()      // called by each submission; may be nil
}

func (c *fakeCell) Name() string { return "c" }

func (c *fakeCell) Connected() bool { return !c.unreachable }

func (c *fakeCell) Submit(_ context.Context, _ work.Job, arrived time.Time, roomOnly bool) cell.Outcome {
	c.arrived = append(c.arrived, arrived)
	if c.onSubmit != nil {
		c.onSubmit()
	}
	c.clock.now = c.clock.now.Add(c.takes)
	if roomOnly && c.full {
		return cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonNoRoom, RetryAfter: c.wait}
	}
	return c.outcome
}

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// submit submits a job to cells and returns the outcome and the reasons of the refusals
// after which it was handed over.
func submit(ctx context.Context, clock *clock, fakes ...*fakeCell) (cell.Outcome, []string) {
	var reasons []string
	s := overflow.Submitter{Clock: clock, OnHandedOver: func(_ work.Job, _ overflow.Cell, o cell.Outcome) { reasons = append(reasons, o.Reason) }}
	var cells []overflow.Cell
	for _, f := range fakes {
		f.clock = clock
		cells = append(cells, f)
	}
	return s.Submit(ctx, work.Job{ID: "j"}, cells), reasons
}

var (
	full      = cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonLoad, RetryAfter: 900 * time.Millisecond}
	nearlyDue = cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonLease, RetryAfter: 200 * time.Millisecond}
	done      = cell.Outcome{Verdict: cell.Accepted, State: work.Succeeded}
)

// TestRoomElsewhere has a cell without capacity beside one with. The job must run in the
// second one, and its objective counts from its arrival at the first.
func TestRoomElsewhere(t *testing.T) {
	t.Parallel()
	c := &clock{now: time.Unix(100, 0)}
	first, second := &fakeCell{outcome: full, takes: 30 * time.Millisecond}, &fakeCell{outcome: done}
	o, reasons := submit(context.Background(), c, first, second)
	require.Equal(t, done, o)
	require.Equal(t, []string{cell.ReasonLoad}, reasons)
	require.Equal(t, []time.Time{time.Unix(100, 0)}, second.arrived)
}

// TestRunnersElsewhere guards against a job that is refused since its runners are in none of the first
// cells, though another cell has them.
func TestRunnersElsewhere(t *testing.T) {
	t.Parallel()
	unfit := cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonNoRunnerFits, RetryAfter: time.Second}
	var cells []*fakeCell
	for range 2 * overflow.MaxCells {
		cells = append(cells, &fakeCell{outcome: unfit})
	}
	last := &fakeCell{outcome: done}
	o, _ := submit(context.Background(), &clock{}, append(cells, last)...)
	require.Equal(t, done, o)
	o, _ = submit(context.Background(), &clock{}, cells...)
	require.Equal(t, unfit, o)
	crowded := []*fakeCell{{outcome: unfit}}
	for range overflow.MaxCells {
		crowded = append(crowded, &fakeCell{outcome: full})
	}
	last = &fakeCell{outcome: done}
	_, _ = submit(context.Background(), &clock{}, append(crowded, last)...)
	require.Empty(t, last.arrived, "enough cells that can run it were asked")
}

// TestEvacuatedElsewhere guards against a job that is refused since the runners of the first cells are
// evacuated, though another cell has runners; and against the wrong reason if none has.
func TestEvacuatedElsewhere(t *testing.T) {
	t.Parallel()
	unfit := cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonNoRunnerFits, RetryAfter: time.Second}
	evacuated := cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonEvacuated, RetryAfter: time.Second}
	cells := []*fakeCell{{outcome: unfit}}
	for range overflow.MaxCells {
		cells = append(cells, &fakeCell{outcome: evacuated})
	}
	o, _ := submit(context.Background(), &clock{}, append(cells, &fakeCell{outcome: done})...)
	require.Equal(t, done, o)
	o, _ = submit(context.Background(), &clock{}, cells...)
	require.Equal(t, evacuated, o)
	o, _ = submit(context.Background(), &clock{}, append(cells, &fakeCell{outcome: full})...)
	require.Equal(t, full, o, "a cell has runners that are not evacuated")
}

// TestNeverTwice has first cells that accept, fail or may have the job. No other cell may
// get it.
func TestNeverTwice(t *testing.T) {
	t.Parallel()
	for _, o := range []cell.Outcome{
		done, {Verdict: cell.Accepted, State: work.Failed}, {Verdict: cell.OutcomeUnknown, Reason: "holder"}, {Verdict: cell.HandingOver},
	} {
		second := &fakeCell{outcome: done}
		got, _ := submit(context.Background(), &clock{}, &fakeCell{outcome: o}, second)
		require.Equal(t, o, got)
		require.Empty(t, second.arrived)
	}
}

// TestAllRefuse checks that the caller hears the first reason with the shortest time, after
// a bounded number of cells.
func TestAllRefuse(t *testing.T) {
	t.Parallel()
	last := &fakeCell{outcome: done}
	o, reasons := submit(context.Background(), &clock{}, &fakeCell{outcome: full}, &fakeCell{outcome: nearlyDue}, &fakeCell{outcome: full}, last)
	require.Equal(t, cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonLoad, RetryAfter: nearlyDue.RetryAfter}, o)
	require.Len(t, reasons, overflow.MaxCells)
	require.Empty(t, last.arrived)
}

// TestStartAtOnce has cells that would let the job wait. It must start at once in one with
// room, or wait in the first of them if there is none.
func TestStartAtOnce(t *testing.T) {
	t.Parallel()
	c := &clock{now: time.Unix(100, 0)}
	waits, starts := &fakeCell{full: true, outcome: full}, &fakeCell{outcome: done}
	o, reasons := submit(context.Background(), c, waits, waits, starts)
	require.Equal(t, done, o)
	require.Equal(t, []string{cell.ReasonNoRoom, cell.ReasonNoRoom}, reasons)
	first, second := &fakeCell{full: true, outcome: done}, &fakeCell{full: true, outcome: done}
	o, _ = submit(context.Background(), c, first, second)
	require.Equal(t, done, o)
	require.Len(t, first.arrived, 2)
	require.Len(t, second.arrived, 1)
}

// TestLeastWait has cells without room in which a job would wait for different times. It must
// wait in the one with the least work, and those that cannot be asked come last.
func TestLeastWait(t *testing.T) {
	t.Parallel()
	long, short := &fakeCell{full: true, wait: time.Second, outcome: done}, &fakeCell{full: true, wait: time.Millisecond, outcome: done}
	lost := &fakeCell{unreachable: true, outcome: done}
	o, _ := submit(context.Background(), &clock{}, lost, long, short)
	require.Equal(t, done, o)
	require.Empty(t, lost.arrived)
	require.Len(t, long.arrived, 1)
	require.Len(t, short.arrived, 2)
}

// TestReachableFirst has a cell whose holder cannot be reached. It is asked last.
func TestReachableFirst(t *testing.T) {
	t.Parallel()
	lost, next := &fakeCell{unreachable: true, outcome: done}, &fakeCell{outcome: done}
	_, _ = submit(context.Background(), &clock{}, lost, next)
	require.Empty(t, lost.arrived)
	next.outcome = full
	o, _ := submit(context.Background(), &clock{}, lost, next)
	require.Equal(t, done, o)
}

// TestPausedBetweenCells guards against a job that is submitted to the next cell after a pause of the
// process, when its caller may have submitted it elsewhere.
func TestPausedBetweenCells(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, first := range []*fakeCell{{outcome: full, takes: 2 * time.Minute}, {full: true, outcome: full, takes: 2 * time.Minute}} {
		second := &fakeCell{outcome: done}
		o, _ := submit(ctx, &clock{now: time.Unix(100, 0)}, first, second)
		require.Equal(t, cell.Refused, o.Verdict)
		require.Empty(t, second.arrived)
	}
}

// TestCallerGone ends the context during the first refusal.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	second := &fakeCell{outcome: done}
	o, _ := submit(ctx, &clock{}, &fakeCell{outcome: full, onSubmit: cancel}, second)
	require.Equal(t, full, o)
	require.Empty(t, second.arrived)
}

// TestCallerGoneBefore guards against a job that runs for a client whose connection broke before its
// submission was read, and which has submitted the job again elsewhere.
func TestCallerGoneBefore(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		name string
		ctx  context.Context
		gone func(context.Context) bool
	}{
		{"context ended", ctx, nil},
		{"connection closed", context.Background(), func(context.Context) bool { return true }},
	} {
		for _, cells := range [][]overflow.Cell{{&fakeCell{outcome: done}}, {&fakeCell{outcome: done}, &fakeCell{outcome: done}}} {
			s := overflow.Submitter{Clock: &clock{}, Gone: test.gone}
			o := s.Submit(test.ctx, work.Job{ID: "j"}, cells)
			require.Equal(t, cell.Refused, o.Verdict, test.name)
			require.Equal(t, overflow.ReasonGone, o.Reason, test.name)
			for _, c := range cells {
				require.Empty(t, c.(*fakeCell).arrived, test.name)
			}
		}
	}
}

// TestCallerGoneBetweenCells has a client whose connection breaks while the first cell refuses.
func TestCallerGoneBetweenCells(t *testing.T) {
	t.Parallel()
	for _, first := range []*fakeCell{{outcome: full}, {full: true, outcome: done}} {
		gone := false
		first.clock, first.onSubmit = &clock{}, func() { gone = true }
		second := &fakeCell{clock: &clock{}, outcome: done}
		s := overflow.Submitter{Clock: &clock{}, OnHandedOver: func(work.Job, overflow.Cell, cell.Outcome) {}, Gone: func(context.Context) bool { return gone }}
		o := s.Submit(context.Background(), work.Job{ID: "j"}, []overflow.Cell{first, second})
		require.Equal(t, cell.Refused, o.Verdict)
		require.Len(t, first.arrived, 1)
		require.Empty(t, second.arrived)
	}
}
