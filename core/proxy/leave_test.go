package proxy_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/cell"
	"gypsumward/core/hlc"
	"gypsumward/core/peer"
)

// holds waits until its caller is gone.
func holds(ctx context.Context, _ cell.Submission) (reply, error) {
	<-ctx.Done()
	return reply{}, ctx.Err()
}

// submitAndLeave submits a job whose caller leaves once the holder has it.
func submitAndLeave(t *testing.T, c *caller) time.Duration {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan time.Time, 1)
	time.AfterFunc(100*time.Millisecond, func() { left <- time.Now(); leave() })
	o := c.Submit(ctx, newJob(1200), time.Now(), false)
	require.Equal(t, cell.OutcomeUnknown, o.Verdict)
	return time.Since(<-left)
}

// TestLeaveNoticeRepeated guards against a notice that a caller has left which is lost, so that its
// job goes on.
func TestLeaveNoticeRepeated(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	h := startHolder(t, holds)
	h.leave = func(n int) error {
		if n < 3 {
			return &peer.Fault{Ran: api.RanNot, Text: "not the holder"}
		}
		return nil
	}
	c.follow(h.addr)
	_ = submitAndLeave(t, c)
	require.Eventually(t, func() bool { return h.leaveCount() == 3 }, time.Second, 5*time.Millisecond)
}

// TestLeaveNoticeToNextHolder guards against a holder of a later term that doesn't learn that a
// caller has left.
func TestLeaveNoticeToNextHolder(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	former, next := startHolder(t, holds), startHolder(t, holds)
	c.follow(former.addr)
	_ = submitAndLeave(t, c)
	require.Eventually(t, func() bool { return former.leaveCount() == 1 }, time.Second, 5*time.Millisecond)
	c.follow(next.addr)
	require.Eventually(t, func() bool { return next.leaveCount() == 1 }, time.Second, 5*time.Millisecond)
	require.Equal(t, 1, former.leaveCount())
}

// TestLeaveNoticeStatesAge guards against a holder that counts the time since a caller has left from
// the arrival of a notice that could not be delivered at first.
func TestLeaveNoticeStatesAge(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	h := startHolder(t, holds)
	began := time.Now()
	h.leave = func(int) error {
		if time.Since(began) < 500*time.Millisecond {
			return &peer.Fault{Ran: api.RanNot, Text: "not the holder"}
		}
		return nil
	}
	c.follow(h.addr)
	_ = submitAndLeave(t, c) // after 100 ms
	time.Sleep(700 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Less(t, h.ages[0], int64(300))
	require.GreaterOrEqual(t, h.ages[len(h.ages)-1], int64(350))
}

// TestLeaveNoticeGivenUp checks that a notice that nobody takes is given up and counted, and that the
// outcome of the submission doesn't wait for it.
func TestLeaveNoticeGivenUp(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	c.ResubmitAfter = 300 * time.Millisecond
	var lost atomic.Int64
	c.Count = func(what string, n int) {
		if what == "leave_lost" {
			lost.Add(int64(n))
		}
	}
	h := startHolder(t, holds)
	h.leave = func(int) error {
		time.Sleep(200 * time.Millisecond)
		return &peer.Fault{Ran: api.RanNot, Text: "not the holder"}
	}
	c.follow(h.addr)
	require.Less(t, submitAndLeave(t, c), 100*time.Millisecond)
	require.Zero(t, lost.Load())
	require.Eventually(t, func() bool { return lost.Load() == 1 }, time.Second, 5*time.Millisecond)
}

// TestLeaveNoticeNotTaken guards against a notice that counts as taken by an instance that is not the
// holder.
func TestLeaveNoticeNotTaken(t *testing.T) {
	t.Parallel()
	c := newCaller(t)
	s := &peer.Server{Clock: &hlc.Clock{}, DrainTimeout: time.Millisecond}
	c.RegisterMethods(s)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = s.Serve(ctx, listener); close(done) }()
	err = c.Client.Call(t.Context(), listener.Addr().String(), "cell.leave/c0", struct{}{}, nil)
	require.Equal(t, api.RanNot, peer.Ran(err))
	cancel()
	<-done
}
