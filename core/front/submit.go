package front

import (
	"context"
	"strconv"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/lead"
	"gypsumward/core/tenure"
	"gypsumward/core/work"
)

// Submit hands a job in and returns what became of it. It goes from holder to holder
// until one answers or ctx ends. If ctx was cancelled by the caller, the holder is
// told that nobody waits any more.
func (f *Front) Submit(ctx context.Context, j work.Job) cell.Outcome {
	h := cell.Handed{Job: j, Caller: f.Self.Life + "/" + strconv.FormatInt(f.calls.Add(1), 10)}
	began := f.Clock.Now()
	var err error
	for {
		var o cell.Outcome
		var open bool
		h.Age = f.Clock.Now().Sub(began).Milliseconds()
		o, open, err = f.hand(ctx, h)
		if err == nil && final(o, h.Again) {
			return f.checked(ctx, j, o)
		}
		h.Again = h.Again || open || (err == nil && o.Verdict == cell.Open)
		f.Keeper.Look()
		if ctx.Err() != nil || (!h.Again && f.Clock.Now().Sub(began) > findTime) {
			break
		}
		f.pause(ctx)
	}
	o := cell.Outcome{Verdict: cell.Refused, Reason: ReasonHolder, After: comeBack}
	if h.Again {
		o = cell.Outcome{Verdict: cell.Open, Reason: ReasonHolder}
		f.leave(j.ID, h.Caller)
	}
	_ = f.Log.Log("event", "nosubmit", "job", j.ID, "queue", j.Queue.Name, "open", h.Again, "took", f.Clock.Now().Sub(began),
		"gone", ctx.Err() != nil, "err", err)
	return o
}

// checked returns o, unless it refuses a job that a former holder has stored and this
// one does not know.
func (f *Front) checked(ctx context.Context, j work.Job, o cell.Outcome) cell.Outcome {
	if o.Verdict != cell.Refused || j.Transient {
		return o
	}
	state, known, err := f.stored(ctx, j.ID)
	switch {
	case err != nil:
		return cell.Outcome{Verdict: cell.Open, Reason: o.Reason}
	case known:
		return cell.Outcome{Verdict: cell.Accepted, State: state}
	}
	return o
}

// final reports whether o may be told to the caller. A refusal may not if another
// holder may have run the job.
func final(o cell.Outcome, again bool) bool {
	return o.Verdict == cell.Accepted || (o.Verdict == cell.Refused && !again)
}

// ReasonHolder is the reason of an answer without a holder.
const ReasonHolder = "holder"

// hand hands a job to the holder of now, until that changes.
func (f *Front) hand(ctx context.Context, h cell.Handed) (o cell.Outcome, open bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, version, _ := f.Keeper.Holder()
	go f.until(ctx, cancel, version)
	var s submitted
	open, err = f.try(ctx, methodSubmit, &h, &s, func(ctx context.Context, l *lead.Lead) error {
		o, err := l.Submit(ctx, h)
		s = newSubmitted(o)
		return err
	})
	return cell.Outcome{Verdict: s.Verdict, State: s.State, Reason: s.Reason, After: s.After.Duration()}, open, err
}

// until cancels when the holder is another than that of a version.
func (f *Front) until(ctx context.Context, cancel context.CancelFunc, version int64) {
	for {
		changed := f.Keeper.Changed()
		if _, now, _ := f.Keeper.Holder(); now != version {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leave tells the holder that a caller waits no more.
func (f *Front) leave(id, caller string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = f.try(ctx, methodLeave, leaving{id, caller}, nil, func(_ context.Context, l *lead.Lead) error {
		l.Leave(id, caller)
		return nil
	})
}

var _ tenure.Leader = (*Front)(nil)
