package proxy_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/eventloop"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
	"gypsumward/core/proxy"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// emptyStore is a store without rows.
type emptyStore struct{}

func (emptyStore) Read(_ context.Context, r table.Read) (table.Found, error) {
	return table.Found{Rows: []table.Row{{Key: r.Keys[0]}}}, nil
}

// reply is what a fake holder replies to a submission.
type reply struct {
	Verdict cell.Verdict `json:"verdict"`
	State   work.State   `json:"state,omitempty"`
	Reason  string       `json:"reason,omitempty"`
}

// holder is a fake instance that replies to submissions.
type holder struct {
	addr   string
	answer func(ctx context.Context, s cell.Submission) (reply, error)
	stop   func()

	cancelled func() eventloop.Cancelled // reply to a cancellation

	leave func(n int) error // reply to the n-th notice that a caller no longer waits; nil takes it

	mu   sync.Mutex
	seen []cell.Submission
	left int     // notices that a caller no longer waits
	ages []int64 // of these notices, in milliseconds
}

func (h *holder) leaveCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.left
}

func (h *holder) submissions() []cell.Submission {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]cell.Submission(nil), h.seen...)
}

// startHolder serves a fake holder of cell c0.
func startHolder(t *testing.T, answer func(ctx context.Context, s cell.Submission) (reply, error)) *holder {
	t.Helper()
	h := &holder{answer: answer}
	s := &peer.Server{Clock: &hlc.Clock{}, DrainTimeout: time.Millisecond}
	peer.Handle(s, "cell.submit/c0", func(ctx context.Context, submission cell.Submission) (reply, error) {
		h.mu.Lock()
		h.seen = append(h.seen, submission)
		h.mu.Unlock()
		return h.answer(ctx, submission)
	})
	peer.Handle(s, "cell.hello/c0", answerHello)
	peer.Handle(s, "cell.cancel/c0", func(context.Context, struct{}) (eventloop.Cancelled, error) { return h.cancelled(), nil })
	peer.Handle(s, "cell.leave/c0", func(_ context.Context, notice struct {
		AgeMS int64 `json:"age"`
	},
	) (struct{}, error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.left++
		h.ages = append(h.ages, notice.AgeMS)
		if h.leave != nil {
			return struct{}{}, h.leave(h.left)
		}
		return struct{}{}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.addr = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, listener); close(done) }()
	h.stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(h.stop)
	return h
}

// caller is an instance that holds no cell.
type caller struct {
	*proxy.Proxy
	dials int
	mu    sync.Mutex
	epoch int64
}

func newCaller(t *testing.T) *caller {
	t.Helper()
	c := &caller{}
	client := &peer.Client{Clock: &hlc.Clock{}, DialBackoff: time.Millisecond}
	client.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c.mu.Lock()
		c.dials++
		c.mu.Unlock()
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	}
	t.Cleanup(client.Close)
	e := election.New("c0", election.Settings{})
	e.Clock = clock{}
	c.Proxy = &proxy.Proxy{
		Cell: "c0", Self: election.Member{Node: "a", Incarnation: "a@1"}, Elector: e, Client: client, Store: emptyStore{}, Clock: clock{},
		Log: log.NewNopLogger(), NewLoop: func(election.Term) *eventloop.Loop { panic("no term") }, HeldCells: func() int { return 0 },
	}
	return c
}

// follow makes addr the holder of the next epoch.
func (c *caller) follow(addr string) {
	c.epoch++
	c.Elector.ApplyNotice(election.Notice{Holder: election.Holder{Member: election.Member{Node: "h", Incarnation: "h@1", Addr: addr}}, Epoch: c.epoch})
}

func (c *caller) dialCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// newJob returns a transient job that is late after an objective of that many milliseconds.
func newJob(objective int) work.Job {
	return work.Job{
		ID: "j", Transient: true, Steps: []work.Step{{Count: 1, CPU: 1, Estimate: 1}},
		Queue: work.Queue{Name: "q", Service: "s", TargetLatency: objective},
	}
}

// deadAddr returns an address at which nothing listens. No other test gets its port: they listen at
// another address.
func deadAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.77:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func accepts(context.Context, cell.Submission) (reply, error) {
	return reply{Verdict: cell.Accepted, State: work.Succeeded}, nil
}

func refuses(context.Context, cell.Submission) (reply, error) {
	return reply{Verdict: cell.Refused, Reason: cell.ReasonLoad}, nil
}

// TestSubmit checks that the outcome of the holder is returned as it is.
func TestSubmit(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	h := startHolder(t, accepts)
	c.follow(h.addr)
	o := c.Submit(t.Context(), newJob(400), time.Now(), false)
	require.Equal(t, cell.Outcome{Verdict: cell.Accepted, State: work.Succeeded}, o)
	h.answer = refuses
	o = c.Submit(t.Context(), newJob(400), time.Now(), true)
	require.Equal(t, cell.Outcome{Verdict: cell.Refused, Reason: cell.ReasonLoad}, o)
	require.False(t, h.submissions()[0].Resubmitted)
	require.True(t, h.submissions()[1].RoomOnly)
	require.True(t, c.Connected())
}

// TestNoHolder submits jobs while nothing listens at the address of the holder. They must be
// refused, since they cannot have run, within a quarter of the time that they have; once the
// holder is lost, without calling it.
func TestNoHolder(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	c.follow(deadAddr(t))
	for _, objective := range []int{100, 400} {
		began := time.Now()
		o := c.Submit(t.Context(), newJob(objective), began, false)
		require.Equal(t, cell.Refused, o.Verdict)
		require.Positive(t, o.RetryAfter)
		require.InDelta(t, objective/4, time.Since(began).Milliseconds(), 60)
	}
	time.Sleep(200 * time.Millisecond)
	require.False(t, c.Connected())
	dials := c.dialCount()
	o := c.Submit(t.Context(), newJob(400), time.Now(), false)
	require.Equal(t, cell.Refused, o.Verdict)
	require.Equal(t, dials, c.dialCount())
	began := time.Now()
	o = c.Submit(t.Context(), newJob(400), began.Add(-time.Second), false)
	require.Equal(t, cell.Refused, o.Verdict)
	require.Less(t, time.Since(began), 60*time.Millisecond, "the time was spent with other cells")
}

// TestNextHolder has a holder that is gone, and another one that takes over while a job
// waits, and before a next one. Both must run.
func TestNextHolder(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	h := startHolder(t, accepts)
	c.follow(deadAddr(t))
	_ = c.Submit(t.Context(), newJob(1200), time.Now(), false)
	require.False(t, c.Connected())
	time.AfterFunc(50*time.Millisecond, func() { c.follow(h.addr) })
	o := c.Submit(t.Context(), newJob(1200), time.Now(), false)
	require.Equal(t, cell.Accepted, o.Verdict)
	require.False(t, h.submissions()[0].Resubmitted, "the former holder cannot have it")
	require.True(t, c.Connected())
}

// hookedClock calls a function, once set, with the next look at it.
type hookedClock struct {
	mu   sync.Mutex
	hook func()
}

func (c *hookedClock) Now() time.Time {
	c.mu.Lock()
	hook := c.hook
	c.hook = nil
	c.mu.Unlock()
	if hook != nil {
		hook()
	}
	return time.Now()
}

// TestNotHolder has an instance that is no longer the holder, so that a job is submitted to
// the next one as if for the first time. The holder changes between two calls: one that is in
// flight at that moment may have been handled.
func TestNotHolder(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	clock := &hookedClock{}
	c.Clock = clock
	next := startHolder(t, refuses)
	calls := 0
	former := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
		if calls++; calls == 3 {
			clock.mu.Lock()
			clock.hook = func() { c.follow(next.addr) }
			clock.mu.Unlock()
		}
		return reply{}, &peer.Fault{Ran: api.RanNot, Text: "not the holder"}
	})
	c.follow(former.addr)
	o := c.Submit(t.Context(), newJob(1200), time.Now(), false)
	require.Equal(t, cell.Refused, o.Verdict)
	require.Len(t, former.submissions(), 3)
	require.False(t, next.submissions()[0].Resubmitted)
}

// TestOpen loses the connection to a holder that has received a job. The job may have run, so
// it must never be refused: it is submitted again, as such, to the next holder, whose refusal
// counts for nothing, until the caller leaves.
func TestOpen(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	received := make(chan struct{})
	first := startHolder(t, func(ctx context.Context, _ cell.Submission) (reply, error) {
		close(received)
		<-ctx.Done()
		return reply{}, ctx.Err()
	})
	next := startHolder(t, refuses)
	c.follow(first.addr)
	go func() {
		<-received
		first.stop()
		c.follow(next.addr)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	o := c.Submit(ctx, newJob(100), time.Now(), true)
	require.Equal(t, cell.OutcomeUnknown, o.Verdict)
	require.NotEmpty(t, next.submissions())
	for _, s := range next.submissions() {
		require.True(t, s.Resubmitted)
		require.False(t, s.RoomOnly)
	}
	require.Eventually(t, func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.left == 1
	}, time.Second, 5*time.Millisecond, "the holder is notified that the caller has left")
}

// pausedClock is a clock that also counts pauses.
type pausedClock struct {
	mu     sync.Mutex
	paused time.Duration
}

func (c *pausedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.paused)
}

// TestPausedSubmission guards against a job that is submitted again after a pause of the process:
// its caller has given up meanwhile and may have submitted it elsewhere.
func TestPausedSubmission(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	clock := &pausedClock{}
	c.Clock = clock
	h := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
		clock.mu.Lock()
		defer clock.mu.Unlock()
		clock.paused = 4 * time.Second
		return reply{Verdict: cell.OutcomeUnknown}, nil
	})
	c.follow(h.addr)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	o := c.Submit(ctx, newJob(400), clock.Now(), false)
	require.Equal(t, cell.OutcomeUnknown, o.Verdict)
	require.Equal(t, 1, len(h.submissions()))
}

// TestOpenAccepted is as TestOpen, but the next holder runs the job.
func TestOpenAccepted(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	first := startHolder(t, func(context.Context, cell.Submission) (reply, error) {
		return reply{Verdict: cell.OutcomeUnknown}, nil
	})
	next := startHolder(t, accepts)
	c.follow(first.addr)
	time.AfterFunc(40*time.Millisecond, func() { c.follow(next.addr) })
	o := c.Submit(t.Context(), newJob(100), time.Now(), false)
	require.Equal(t, cell.Outcome{Verdict: cell.Accepted, State: work.Succeeded}, o)
	require.True(t, next.submissions()[0].Resubmitted)
}
