package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/cell"
	"gypsumward/core/lead"
	"gypsumward/core/peer"
	"gypsumward/core/promise"
	"gypsumward/core/span"
	"gypsumward/core/table"
	"gypsumward/core/tenure"
	"gypsumward/core/work"
)

// Methods between instances.
const (
	methodSubmit  = "cell.submit"
	methodLeave   = "cell.leave"
	methodCancel  = "cell.cancel"
	methodState   = "cell.state"
	methodPending = "cell.pending"
	methodHello   = "cell.hello"
)

// Times of calls.
const (
	tryTime    = 400 * time.Millisecond // for one try
	findTime   = 120 * time.Millisecond // for a holder to be found, before a job is refused
	retryPause = 10 * time.Millisecond
	helloEvery = 200 * time.Millisecond
	helloLife  = 700 * time.Millisecond
	comeBack   = time.Second
	readTime   = 500 * time.Millisecond
)

// ErrUnknown is the error of a question that nobody could answer in time.
const ErrUnknown = errors.ConstError("no holder answers")

// Store reads rows.
type Store interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// Front is what one instance does for callers. Its exported fields are set before
// Run.
type Front struct {
	Cell   string
	Self   tenure.Member
	Keeper *tenure.Keeper
	Client *peer.Client
	Store  Store
	Clock  tenure.Clock
	Log    log.Logger
	Begin  func(t tenure.Term) *lead.Lead // makes the lead of a term
	Cells  func() int                     // that this instance holds

	ctx     context.Context
	calls   atomic.Int64
	running sync.WaitGroup
	mu      sync.Mutex
	lead    *lead.Lead
	ledger  promise.Ledger // what the others have promised
	given   promise.Given  // to the holder
}

// Mount registers the methods between instances.
func (f *Front) Mount(s *peer.Server) {
	peer.Handle(s, f.method(methodSubmit), func(ctx context.Context, h cell.Handed) (submitted, error) {
		l, err := f.local()
		if err != nil {
			return submitted{}, err
		}
		o, err := l.Submit(ctx, h)
		return newSubmitted(o), over(err)
	})
	peer.Handle(s, f.method(methodLeave), func(_ context.Context, h leaving) (struct{}, error) {
		if l := f.current(); l != nil {
			l.Leave(h.Name, h.Caller)
		}
		return struct{}{}, nil
	})
	peer.Handle(s, f.method(methodCancel), func(ctx context.Context, q question) (lead.Cancelled, error) {
		l, err := f.local()
		if err != nil {
			return lead.Cancelled{}, err
		}
		v, err := l.Cancel(ctx, q.Name)
		return v, over(err)
	})
	peer.Handle(s, f.method(methodState), func(ctx context.Context, q question) (told, error) {
		l, err := f.local()
		if err != nil {
			return told{}, err
		}
		v, err := l.State(ctx, q.Name)
		return told{State: v}, over(err)
	})
	peer.Handle(s, f.method(methodPending), func(ctx context.Context, q question) (told, error) {
		l, err := f.local()
		if err != nil {
			return told{}, err
		}
		v, err := l.Pending(ctx, q.Name)
		return told{Count: v}, over(err)
	})
	peer.Handle(s, f.method(methodHello), f.hello)
}

// method returns the name of a method for the cell of f.
func (f *Front) method(name string) string {
	return name + "/" + f.Cell
}

type submitted struct {
	Verdict cell.Verdict `json:"verdict"`
	State   work.State   `json:"state,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	After   span.Span    `json:"after,omitempty"`
}

func newSubmitted(o cell.Outcome) submitted {
	return submitted{Verdict: o.Verdict, State: o.State, Reason: o.Reason, After: span.Of(o.After)}
}

type leaving struct {
	Name   string `json:"name"`
	Caller string `json:"caller"`
}

type question struct {
	Name string `json:"name"`
}

type told struct {
	State work.State `json:"state,omitempty"`
	Count int        `json:"count,omitempty"`
}

// over makes an error of a lead that of a call whose outcome is open.
func over(err error) error {
	if err == nil {
		return nil
	}
	ran := api.RanUnknown
	if errors.Is(err, lead.ErrFull) {
		ran = api.RanNot
	}
	return &peer.Fault{Ran: ran, Text: err.Error()}
}

// local returns the lead of this instance, or the fault of a call that should go
// elsewhere.
func (f *Front) local() (*lead.Lead, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lead == nil {
		return nil, &peer.Fault{Ran: api.RanNot, Text: "not the holder"}
	}
	return f.lead, nil
}

// Run greets the holder until ctx ends. Leads end with it.
func (f *Front) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	f.ledger.Life = f.Self.Life
	f.given.Begin(f.Clock.Now())
	f.mu.Unlock()
	ticker := time.NewTicker(helloEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.greet(ctx)
		case <-ctx.Done():
			f.running.Wait()
			return
		}
	}
}

// Lead begins a term.
func (f *Front) Lead(t tenure.Term) {
	l := f.Begin(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx := f.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	f.lead = l
	f.running.Go(func() {
		l.Run(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.lead == l {
			f.lead = nil
		}
	})
}

// Renew tells until when no other can have become the holder.
func (f *Front) Renew(t tenure.Term, until time.Time) {
	if l := f.current(); l != nil && l.Term.Epoch == t.Epoch {
		l.Renew(until)
	}
}

// Lose ends a term.
func (f *Front) Lose(t tenure.Term, why string) {
	if l := f.current(); l != nil && l.Term.Epoch == t.Epoch {
		l.Depose(why)
	}
}

// Runners returns the number of runners that orders can be given to.
func (f *Front) Runners() int {
	if l := f.current(); l != nil {
		return l.Count()
	}
	return 0
}

// Current returns the lead of this instance, or nil.
func (f *Front) Current() *lead.Lead { return f.current() }

func (f *Front) current() *lead.Lead {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lead
}

// Successor returns the member heard lately that should hold the cell next. Ok is false
// if none was heard.
func (f *Front) Successor() (m tenure.Member, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Best(f.Clock.Now(), helloLife)
}

// Calm reports whether the holder answered the latest greetings.
func (f *Front) Calm() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.given.Answered()
	return !at.IsZero() && f.Clock.Now().Sub(at) < 2*helloEvery
}

// Connected reports whether this instance is the holder or was answered by it lately.
func (f *Front) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.given.Answered()
	return f.lead != nil || (!at.IsZero() && f.Clock.Now().Sub(at) < helloLife)
}

// try calls a method of the holder once, or do if this instance is it. Open is true
// if the holder may have handled it without an answer.
func (f *Front) try(ctx context.Context, method string, params, result any, do func(context.Context, *lead.Lead) error) (open bool, err error) {
	if l := f.current(); l != nil {
		err = over(do(ctx, l))
	} else {
		h, version, self := f.Keeper.Holder()
		if version == 0 || self || h.Addr == "" {
			return false, ErrUnknown
		}
		err = f.Client.Call(ctx, h.Addr, f.method(method), params, result)
		if err != nil {
			f.Keeper.Look()
		}
	}
	return err != nil && peer.Ran(err) != api.RanNot, err
}

// repeat tries until it succeeds, for as long as ctx lasts once a try is open, and
// for findTime before.
func (f *Front) repeat(ctx context.Context, method string, params, result any, do func(context.Context, *lead.Lead) error) error {
	began := f.Clock.Now()
	open := false
	for {
		limited, cancel := context.WithTimeout(ctx, tryTime)
		again, err := f.try(limited, method, params, result, do)
		cancel()
		open = open || again
		if err == nil || ctx.Err() != nil || (!open && f.Clock.Now().Sub(began) > findTime) {
			return err
		}
		f.pause(ctx)
	}
}

// pause waits a little, or for another holder.
func (f *Front) pause(ctx context.Context) {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.Keeper.Changed():
	case <-ctx.Done():
	}
}

// Cancel ends a job. Known is false if there is no such job.
func (f *Front) Cancel(ctx context.Context, id string) (state work.State, known bool, err error) {
	var v lead.Cancelled
	err = f.repeat(ctx, methodCancel, question{id}, &v, func(ctx context.Context, l *lead.Lead) error {
		var err error
		v, err = l.Cancel(ctx, id)
		return err
	})
	if err != nil {
		return work.Unknown, false, err
	}
	if v.State == work.Unknown {
		return f.stored(ctx, id)
	}
	if !v.Stored {
		return v.State, true, ErrUnknown
	}
	return v.State, true, nil
}

// State returns the state of a job. Known is false if there is no such job.
func (f *Front) State(ctx context.Context, id string) (state work.State, known bool, err error) {
	var v told
	err = f.repeat(ctx, methodState, question{id}, &v, func(ctx context.Context, l *lead.Lead) error {
		var err error
		v.State, err = l.State(ctx, id)
		return err
	})
	if err == nil && v.State != work.Unknown {
		return v.State, true, nil
	}
	return f.stored(ctx, id)
}

// stored reads the state of a job from its rows.
func (f *Front) stored(ctx context.Context, id string) (state work.State, known bool, err error) {
	limited, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	for range 2 { // the job may end between the two reads
		ends, err := f.Store.Read(limited, table.Read{Keys: []string{f.Cell + "/" + cell.TableEnds + "/" + id}})
		if err != nil {
			return work.Unknown, false, err
		}
		if s, ok := endState(ends); ok {
			return s, true, nil
		}
		jobs, err := f.Store.Read(limited, table.Read{Keys: []string{f.Cell + "/" + cell.TableJobs + "/" + id}})
		if err != nil {
			return work.Unknown, false, err
		}
		if len(jobs.Rows) > 0 && jobs.Rows[0].Version != 0 {
			return work.Running, true, nil
		}
	}
	return work.Unknown, false, nil
}

// Pending returns the number of jobs of a queue of which no task has started.
func (f *Front) Pending(ctx context.Context, queue string) (int, error) {
	var v told
	err := f.repeat(ctx, methodPending, question{queue}, &v, func(ctx context.Context, l *lead.Lead) error {
		var err error
		v.Count, err = l.Pending(ctx, queue)
		return err
	})
	return v.Count, err
}
