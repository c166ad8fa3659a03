package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/fingerprint"
	"gypsumward/core/hangup"
	"gypsumward/core/locate"
	"gypsumward/core/peer"
	"gypsumward/core/promise"
	"gypsumward/core/span"
	"gypsumward/core/table"
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
	methodHolder  = "cell.holder"
	methodRelease = "cell.release"
	methodAnswers = "cell.answers"
	methodTake    = "cell.take"
	methodEnds    = "cell.ends"
)

// Timeouts and intervals of calls.
const (
	attemptTimeout      = 400 * time.Millisecond // of one attempt
	holderSearchTimeout = 120 * time.Millisecond // for finding a holder, before a question fails
	retryInterval       = 10 * time.Millisecond
	helloInterval       = 200 * time.Millisecond
	helloTimeout        = 700 * time.Millisecond
	helloPatience       = 150 * time.Millisecond // without a reply until the rows are read
	refusalRetryAfter   = time.Second
	readTimeout         = 500 * time.Millisecond
)

// ErrNoHolder is returned when no holder replied in time, so that the result is not known.
const ErrNoHolder = errors.ConstError("no holder answers")

// Store reads rows.
type Store interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// Proxy passes the calls of callers to the holder of one cell, and runs the cell while
// this instance is the holder. Its exported fields must be set before Run.
type Proxy struct {
	Cell      string
	Zone      string // data centre of the runners; empty if they are in several
	Self      election.Member
	Elector   *election.Elector
	Client    *peer.Client
	Store     Store
	Clock     election.Clock
	Log       log.Logger
	NewLoop   func(t election.Term) *eventloop.Loop // returns a new loop for a term
	HeldCells func() int                            // returns the number of cells that this instance holds

	// ResubmitAfter is the time after which a client that lost its connection submits its job
	// again, possibly to another cell; zero means cell.DefaultResubmitAfter.
	ResubmitAfter time.Duration
	// Count adds n to the counter named what. It must not block and may be nil.
	Count func(what string, n int)

	ctx         context.Context
	submissions atomic.Int64
	leaving     atomic.Int64 // notices that callers have left which are being sent
	running     sync.WaitGroup
	mu          sync.Mutex
	loop        *eventloop.Loop  // nil unless this instance is the holder
	received    promise.Received // promises of the other instances to this one
	granted     promise.Granted  // promises of this instance to the holder
	exchanging  bool             // this instance exchanges hello messages with the holder
	holderAlive time.Time        // when the latest hello message was sent that a holder has answered
	reach       reach
}

// Name returns the name of the cell.
func (p *Proxy) Name() string { return p.Cell }

// RegisterMethods registers the methods of the cell that other instances call.
func (p *Proxy) RegisterMethods(s *peer.Server) {
	peer.Handle(s, p.method(methodSubmit), func(ctx context.Context, submission cell.Submission) (submitReply, error) {
		if err := validate(&submission); err != nil {
			return submitReply{}, &peer.Fault{Ran: api.RanNot, Text: err.Error()}
		}
		l, err := p.localLoop()
		if err != nil {
			return submitReply{}, err
		}
		o, err := l.Submit(ctx, submission)
		if ctx.Err() != nil {
			l.Abandon(submission.Job.ID, submission.Caller)
		}
		return newSubmitReply(o), toFault(err)
	})
	peer.Handle(s, p.method(methodLeave), p.handleLeave)
	peer.Handle(s, p.method(methodCancel), func(ctx context.Context, q query) (eventloop.Cancelled, error) {
		l, err := p.localLoop()
		if err != nil {
			return eventloop.Cancelled{}, err
		}
		v, err := l.Cancel(ctx, q.Name)
		return v, toFault(err)
	})
	peer.Handle(s, p.method(methodState), func(ctx context.Context, q query) (queryReply, error) {
		l, err := p.localLoop()
		if err != nil {
			return queryReply{}, err
		}
		state, to, err := l.State(ctx, q.Name)
		return queryReply{State: state, To: to}, toFault(err)
	})
	peer.Handle(s, p.method(methodPending), func(ctx context.Context, q query) (queryReply, error) {
		l, err := p.localLoop()
		if err != nil {
			return queryReply{}, err
		}
		v, err := l.Pending(ctx, q.Name)
		return queryReply{Count: v}, toFault(err)
	})
	p.registerNeighbourMethods(s)
	peer.Handle(s, p.method(methodHello), p.handleHello)
	peer.Handle(s, p.method(methodHolder), p.handleHanded)
	peer.Handle(s, p.method(methodRelease), func(_ context.Context, r release) (struct{}, error) {
		if _, epoch, _ := p.Elector.Holder(); epoch == r.Epoch {
			p.Elector.Released(r.Epoch)
		}
		return struct{}{}, nil
	})
}

// maxAge is the longest time since the first submission of a job that a peer may state.
const maxAge = time.Hour

// validate returns an error if a submission of a peer is malformed.
func validate(submission *cell.Submission) error {
	if age := submission.AgeMS; age < 0 || age > maxAge.Milliseconds() {
		return errors.Errorf("age of %d ms", age)
	}
	return submission.Job.Validate()
}

// method returns the name of a method of the cell of p.
func (p *Proxy) method(name string) string {
	return name + "/" + p.Cell
}

// submitReply is a cell.Outcome as encoded between instances.
type submitReply struct {
	Verdict cell.Verdict `json:"verdict"`
	State   work.State   `json:"state,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	After   span.Span    `json:"after,omitempty"`
}

func newSubmitReply(o cell.Outcome) submitReply {
	return submitReply{Verdict: o.Verdict, State: o.State, Reason: o.Reason, After: span.Of(o.RetryAfter)}
}

type query struct {
	Name string `json:"name"` // id of a job or name of a queue
}

type queryReply struct {
	State work.State `json:"state,omitempty"`
	To    string     `json:"to,omitempty"` // cell that has the job, if it is another one
	Count int        `json:"count,omitempty"`
}

// toFault converts an error of a Loop to a peer.Fault that says whether the call may have
// had an effect.
func toFault(err error) error {
	if err == nil {
		return nil
	}
	ran := api.RanUnknown
	if errors.Is(err, eventloop.ErrQueueFull) {
		ran = api.RanNot
	}
	return &peer.Fault{Ran: ran, Text: err.Error()}
}

// localLoop returns the loop of this instance, or the fault to return to a peer if this
// instance is not the holder.
func (p *Proxy) localLoop() (*eventloop.Loop, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loop == nil {
		return nil, &peer.Fault{Ran: api.RanNot, Text: notHolderText}
	}
	return p.loop, nil
}

const notHolderText = "not the holder"

// Run waits until ctx ends, and then for the loops of this instance, which end with ctx.
func (p *Proxy) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.received.Incarnation = p.Self.Incarnation
	p.granted.Restart(p.Clock.Now())
	p.mu.Unlock()
	<-ctx.Done()
	p.running.Wait()
}

// BeginTerm runs the cell for a new term in a goroutine. The previous holder was alive when it
// last answered a hello message of this instance.
func (p *Proxy) BeginTerm(t election.Term) {
	p.mu.Lock()
	t.PreviousAlive = p.holderAlive
	p.mu.Unlock()
	l := p.NewLoop(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	ctx := p.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	p.loop = l
	p.running.Go(func() {
		l.Run(ctx)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.loop == l {
			p.loop = nil
		}
		go p.endHeartbeats(t, l.Failed())
		p.running.Go(func() { p.reportEnd(ctx, l) })
	})
}

// endHeartbeats makes the elector send no more heartbeats for a term that is over. If the term has
// failed, the others are notified, so that one takes over at once.
func (p *Proxy) endHeartbeats(t election.Term, failed bool) {
	p.Elector.Released(t.Epoch)
	if !failed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	p.AnnounceRelease(ctx, t.Epoch)
	p.Elector.Release(ctx, t)
}

// Renew extends the lease of a term: no other instance can become the holder before
// until. It has no effect if the term is not the current one.
func (p *Proxy) Renew(t election.Term, until time.Time) {
	if l := p.currentLoop(); l != nil && l.Term.Epoch == t.Epoch {
		l.Renew(until)
	}
}

// Reported notifies the cell that a set of its runners is in the row of the heartbeat.
func (p *Proxy) Reported(t election.Term, set fingerprint.Set) {
	if l := p.currentLoop(); l != nil && l.Term.Epoch == t.Epoch {
		l.Reported(set)
	}
}

// EndTerm ends a term. It has no effect if the term is not the current one.
func (p *Proxy) EndTerm(t election.Term, why string) {
	if l := p.currentLoop(); l != nil && l.Term.Epoch == t.Epoch {
		l.Depose(why)
	}
}

// Runners returns the number of runners that orders can be sent to, and the fingerprint of
// those that may have runs; zero if this instance is not the holder.
func (p *Proxy) Runners() (count int, set fingerprint.Set) {
	if l := p.currentLoop(); l != nil {
		return l.RunnerCount(), l.RunnerSet()
	}
	return 0, 0
}

// CurrentLoop returns the loop of this instance, or nil if it is not the holder.
func (p *Proxy) CurrentLoop() *eventloop.Loop { return p.currentLoop() }

func (p *Proxy) currentLoop() *eventloop.Loop {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loop
}

// Successor returns the standby best suited to hold the cell next, of those that recently
// sent a hello message, preferably one in the data centre of the cell, and the number of
// cells that it holds. Ok is false if there is none.
func (p *Proxy) Successor() (m election.Member, cells int, ok bool) {
	standbys, known := p.Elector.Standbys()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received.BestSuccessor(p.Clock.Now(), helloTimeout, func(m election.Member) bool {
		return !known || slices.Contains(standbys, m.Node)
	}, p.Zone)
}

// HolderReachable reports whether the holder replied to a recent hello message.
func (p *Proxy) HolderReachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lastReply := p.granted.LastReply()
	return !lastReply.IsZero() && p.Clock.Now().Sub(lastReply) < helloInterval+helloPatience
}

// Connected reports whether this instance is the holder or reaches it: by the replies to
// hello messages if it sends any, otherwise by the last call.
func (p *Proxy) Connected() bool {
	_, version, _ := p.Elector.Holder()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exchanging && p.loop == nil {
		lastReply := p.granted.LastReply()
		return !lastReply.IsZero() && p.Clock.Now().Sub(lastReply) < helloTimeout
	}
	return p.loop != nil || (version != 0 && p.reach.failingSince(version).IsZero())
}

// FailingSince returns since when no call to the holder was answered; zero if the last one
// was.
func (p *Proxy) FailingSince() time.Time {
	_, version, _ := p.Elector.Holder()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.failingSince(version)
}

// holderLost reports whether calls to the holder have failed for some time. It is then
// called by hello messages and probes only.
func (p *Proxy) holderLost() bool {
	_, version, _ := p.Elector.Holder()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loop == nil && p.reach.lost(p.Clock.Now(), version)
}

// recordCall records whether a call reached the holder of an epoch.
func (p *Proxy) recordCall(epoch int64, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.record(p.Clock.Now(), epoch, reached)
}

// Probe calls the holder, for an instance whose last call did not reach it.
func (p *Proxy) Probe(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, version, _ := p.Elector.Holder()
	var v queryReply
	_, err := p.callHolder(limited, methodPending, query{}, &v, func(context.Context, *eventloop.Loop) error { return nil })
	if errors.Is(limited.Err(), context.DeadlineExceeded) && err != nil {
		p.recordCall(version, false)
	}
}

// callHolder calls a method of the holder once, or local if this instance is the holder.
// The result maybeHandled is true if the call failed but the holder may have handled it.
func (p *Proxy) callHolder(ctx context.Context, method string, params, result any, local func(context.Context, *eventloop.Loop) error) (maybeHandled bool, err error) {
	if l := p.currentLoop(); l != nil {
		err = toFault(local(ctx, l))
	} else {
		h, version, self := p.Elector.Holder()
		if version == 0 || self || h.Addr == "" {
			return false, ErrNoHolder
		}
		err = p.Client.Call(ctx, h.Addr, p.method(method), params, result)
		if err == nil || (ctx.Err() == nil && !hangup.Closed(ctx)) {
			p.recordCall(version, err == nil || isBusy(err))
		}
		if err != nil {
			p.Elector.Refresh()
		}
	}
	return err != nil && peer.Ran(err) != api.RanNot, err
}

// isBusy reports whether err is the reply of a holder that takes no further calls for now.
func isBusy(err error) bool {
	var fault *peer.Fault
	return errors.As(err, &fault) && (fault.Code == peer.CodeBusy || fault.Code == peer.CodeExpired || (fault.Code == peer.CodeFailed && fault.Text != notHolderText))
}

// callHolderRetrying repeats callHolder until it succeeds. It gives up after
// holderSearchTimeout as long as no holder can have handled the call, and otherwise when
// ctx ends.
func (p *Proxy) callHolderRetrying(ctx context.Context, method string, params, result any, local func(context.Context, *eventloop.Loop) error) error {
	began := p.Clock.Now()
	maybeHandled := false
	for {
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		maybeHandledNow, err := p.callHolder(limited, method, params, result, local)
		cancel()
		maybeHandled = maybeHandled || maybeHandledNow
		if err == nil || ctx.Err() != nil || (!maybeHandled && p.Clock.Now().Sub(began) > holderSearchTimeout) {
			return err
		}
		p.awaitRetry(ctx)
	}
}

// awaitRetry waits for retryInterval or until the holder changes.
func (p *Proxy) awaitRetry(ctx context.Context) { p.awaitHolder(ctx, retryInterval) }

// awaitHolder waits for d or until the holder changes.
func (p *Proxy) awaitHolder(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.Elector.Changed():
	case <-ctx.Done():
	}
}

// State asks for the state of a job, and looks at its rows if no holder reports it.
func (p *Proxy) State(ctx context.Context, id string) (locate.Answer, error) {
	var v queryReply
	err := p.callHolderRetrying(ctx, methodState, query{id}, &v, func(ctx context.Context, l *eventloop.Loop) error {
		var err error
		v.State, v.To, err = l.State(ctx, id)
		return err
	})
	if err == nil && (v.State != work.Unknown || v.To != "") {
		return locate.Answer{State: v.State, Known: v.To == "", To: v.To}, nil
	}
	return p.readStored(ctx, id)
}

// readStored returns what the rows of a job say of it.
func (p *Proxy) readStored(ctx context.Context, id string) (locate.Answer, error) {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for range 2 { // the job may end between the reads of the two tables
		ends, err := p.Store.Read(limited, table.Read{Keys: []string{p.Cell + "/" + cell.TableEnds + "/" + id}})
		if err != nil {
			return locate.Answer{}, err
		}
		if s, ok := decodeEndState(ends); ok {
			return locate.Answer{State: s, Known: true}, nil
		}
		jobs, err := p.Store.Read(limited, table.Read{Keys: []string{p.Cell + "/" + cell.TableJobs + "/" + id}})
		if err != nil {
			return locate.Answer{}, err
		}
		if len(jobs.Rows) > 0 && jobs.Rows[0].Version != 0 {
			if _, place, err := cell.DecodeJob(jobs.Rows[0]); err == nil && place.To != "" {
				return locate.Answer{To: place.To}, nil
			}
			return locate.Answer{State: work.Running, Known: true}, nil
		}
	}
	return locate.Answer{}, nil
}

// Pending returns the number of jobs of a queue of which no task has started yet.
func (p *Proxy) Pending(ctx context.Context, queue string) (int, error) {
	var v queryReply
	err := p.callHolderRetrying(ctx, methodPending, query{queue}, &v, func(ctx context.Context, l *eventloop.Loop) error {
		var err error
		v.Count, err = l.Pending(ctx, queue)
		return err
	})
	return v.Count, err
}
