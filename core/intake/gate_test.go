package intake_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/intake"
)

// clock is a clock that a test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// world is a gate with the names of the claims that were evicted, in order, and its decisions.
type world struct {
	*intake.Gate
	clock   *clock
	evicted []string
	kinds   []intake.Kind
}

func newWorld(bytes int64, conns int) *world {
	w := &world{clock: &clock{now: time.Unix(1000, 0)}}
	w.Gate = &intake.Gate{Bytes: bytes, Conns: conns, Clock: w.clock, Observe: func(kind intake.Kind, _ int64, _ int) { w.kinds = append(w.kinds, kind) }}
	return w
}

func (w *world) open(name string) *intake.Claim {
	return w.Open(func(intake.Kind) { w.evicted = append(w.evicted, name) })
}

// reader opens a claim that has read n bytes.
func (w *world) reader(t require.TestingT, name string, n int64) *intake.Claim {
	c := w.open(name)
	require.NotNil(t, c)
	require.True(t, c.Read())
	require.True(t, c.Grow(n))
	return c
}

func (w *world) pass(d time.Duration) { w.clock.now = w.clock.now.Add(d) }

// TestIdleFirst guards against a connection that is refused, or closes one in use, while others are
// idle, and against an order of idle ones by anything but the time for which they have been.
func TestIdleFirst(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<30, 16)
	var claims []*intake.Claim
	for i := range 16 {
		claims = append(claims, w.open(string(rune('a'+i))))
		w.pass(time.Second)
	}
	require.True(t, claims[0].Read())
	require.True(t, claims[1].Work())
	require.True(t, claims[2].Read())
	require.True(t, claims[2].Wait()) // its request has ended just now
	require.NotNil(t, w.open("x"))
	require.NotNil(t, w.open("y"))
	require.Equal(t, []string{"d", "e"}, w.evicted)
	require.Equal(t, []intake.Kind{intake.IdleClosed, intake.IdleClosed}, w.kinds)
	require.False(t, claims[3].Read(), "evicted")
}

// TestConnectionsInUse guards against an accepted request that gives way to a new connection, and
// against connections beyond the limit if nobody closes those that were evicted.
func TestConnectionsInUse(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<30, 8)
	for range 7 {
		require.True(t, w.open("working").Work())
	}
	w.reader(t, "stalled", 100)
	w.pass(intake.StallTime)
	require.NotNil(t, w.open("new"))
	require.Equal(t, []string{"stalled"}, w.evicted)
	require.Nil(t, w.open("newer"), "one above the limit is not closed yet")
	require.Equal(t, []intake.Kind{intake.StalledEvicted, intake.ConnRefused}, w.kinds)
	_, conns := w.Used()
	require.Equal(t, 9, conns)
}

// TestUnreadReplies guards against clients that read no replies and keep their connections, or bytes that
// others need, and against a client that is only slow to read for a moment and gives way.
func TestUnreadReplies(t *testing.T) {
	t.Parallel()
	w := newWorld(4*intake.ConnBytes, 3)
	unread, idle, slow := w.open("unread"), w.open("idle"), w.open("slow")
	require.True(t, unread.Work())
	unread.BeginWrite()
	require.True(t, slow.Work())
	w.pass(intake.StallTime)
	slow.BeginWrite()
	require.NotNil(t, w.open("new"))
	require.Equal(t, []string{"unread"}, w.evicted)
	unread.Close()
	slow.EndWrite()
	w.pass(intake.StallTime)
	require.False(t, slow.Grow(2*intake.ConnBytes))
	idle.BeginWrite()
	w.pass(intake.StallTime)
	require.True(t, slow.Grow(2*intake.ConnBytes))
	require.Equal(t, []intake.Kind{intake.UnreadClosed, intake.BytesRefused, intake.UnreadClosed}, w.kinds)
}

// TestPipelinedRequests guards against clients that send each request before they have the reply to the
// one before, and so never have an idle connection. A request that is alone on its connection stays, and
// a connection that is new is not closed before its client could send anything.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<30, 3)
	alone, ahead := w.open("alone"), w.open("ahead")
	require.True(t, alone.Work())
	require.True(t, ahead.WorkPipelined())
	require.NotNil(t, w.open("first"))
	require.NotNil(t, w.open("second"))
	require.Equal(t, []string{"ahead"}, w.evicted)
	require.False(t, ahead.Wait(), "evicted")
	require.True(t, alone.Wait())
	require.True(t, alone.WorkPipelined())
	require.NotNil(t, w.open("third"), "the others have had no time to send anything")
	require.Equal(t, []string{"ahead", "alone"}, w.evicted)
	require.Equal(t, []intake.Kind{intake.PipelinedClosed, intake.PipelinedClosed}, w.kinds)
}

// TestLongWaits guards against clients that keep all connections by requests for which they wait for long,
// and against one that gives way although its client waits for no longer than usual, or before the request
// has had time to be carried out.
func TestLongWaits(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<30, 3)
	usual, long, next := w.open("usual"), w.open("long"), w.open("next")
	usual.SetWait(intake.LongWait)
	long.SetWait(intake.LongWait + 1)
	require.True(t, long.Read())
	require.True(t, long.Work())
	require.True(t, usual.Work())
	require.True(t, next.Work())
	require.Nil(t, w.open("refused"))
	w.pass(intake.IdleGrace)
	next.SetWait(time.Minute)
	require.True(t, next.Wait())
	require.True(t, next.Work(), "a request that declares no time")
	w.pass(intake.IdleGrace)
	require.NotNil(t, w.open("new"))
	require.True(t, next.Wait())
	require.True(t, next.Work())
	require.Equal(t, []string{"long"}, w.evicted)
	require.Equal(t, []intake.Kind{intake.ConnRefused, intake.LongClosed}, w.kinds)
}

// TestFirstRequest guards against new connections that displace one whose client has not had the time to
// send its first request, while there are others that give way.
func TestFirstRequest(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<30, 3)
	used, ahead := w.open("used"), w.open("ahead")
	require.True(t, used.Read())
	require.True(t, used.Wait())
	require.True(t, ahead.WorkPipelined())
	w.pass(intake.IdleGrace)
	first := w.open("first")
	w.pass(intake.StallTime - time.Millisecond)
	require.NotNil(t, w.open("second"))
	require.NotNil(t, w.open("third"))
	require.Equal(t, []string{"used", "ahead"}, w.evicted)
	require.True(t, first.Read())
	require.True(t, first.Wait())
	w.pass(intake.IdleGrace)
	require.NotNil(t, w.open("fourth"))
	require.Equal(t, []string{"used", "ahead", "first"}, w.evicted)
}

// TestLongReaders guards against new connections that displace requests which are only just being sent,
// and against requests that hold a connection for as long as they send a byte now and then.
func TestLongReaders(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<30, 2)
	long := w.reader(t, "long", 100)
	w.pass(intake.StallTime - time.Millisecond)
	w.reader(t, "short", 200)
	require.True(t, long.Read())
	require.Nil(t, w.open("new"))
	w.pass(time.Millisecond)
	require.NotNil(t, w.open("newer"))
	require.Equal(t, []string{"long"}, w.evicted)
	require.Equal(t, []intake.Kind{intake.ConnRefused, intake.LargeEvicted}, w.kinds)
}

// TestAllWorking guards against an accepted request that gives way.
func TestAllWorking(t *testing.T) {
	t.Parallel()
	w := newWorld(10*intake.ConnBytes, 4)
	for range 4 {
		c := w.open("working")
		require.True(t, c.Grow(intake.ConnBytes))
		require.True(t, c.Work())
	}
	w.pass(time.Minute)
	require.Nil(t, w.open("new"))
	require.Empty(t, w.evicted)
}

// TestStalledBeforeProgress guards against a request that makes progress and gives way while another
// one has stalled, and against small stalled requests that give way before large ones.
func TestStalledBeforeProgress(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<20+4*intake.ConnBytes, 100)
	w.reader(t, "stalled, large", 300<<10)
	w.reader(t, "stalled, small", 100<<10)
	w.pass(intake.StallTime)
	w.reader(t, "in progress", 600<<10)
	c := w.reader(t, "new", 1<<10)
	require.True(t, c.Grow(30<<10))
	require.Equal(t, []string{"stalled, large"}, w.evicted)
	require.Equal(t, []intake.Kind{intake.StalledEvicted}, w.kinds)
}

// TestSmallBeforeLarge guards against a large request that keeps out a small one, or that takes the
// place of a small one.
func TestSmallBeforeLarge(t *testing.T) {
	t.Parallel()
	w := newWorld(1<<20+3*intake.ConnBytes, 100)
	large := w.reader(t, "large", 700<<10)
	small := w.reader(t, "small", 300<<10)
	require.False(t, large.Grow(100<<10))
	require.Equal(t, []intake.Kind{intake.BytesRefused}, w.kinds)
	require.True(t, small.Grow(100<<10))
	require.Equal(t, []string{"large"}, w.evicted)
	require.False(t, large.Grow(1), "evicted")
	large.Close()
	large.Close()
	used, conns := w.Used()
	require.Equal(t, int64(400<<10+intake.ConnBytes), used)
	require.Equal(t, 1, conns)
}

// TestEvictedNotClosed guards against memory that grows without bound while a busy process has not
// closed the claims that were evicted.
func TestEvictedNotClosed(t *testing.T) {
	t.Parallel()
	const limit = 1 << 20
	w := newWorld(limit, 100)
	for range 50 {
		if c := w.open("reader"); c != nil && c.Read() {
			c.Grow(200 << 10)
		}
		w.pass(intake.StallTime)
	}
	used, _ := w.Used()
	require.LessOrEqual(t, used, int64(limit+limit/4))
	require.Contains(t, w.kinds, intake.BytesRefused)
}

// drawnClient is a client of TestBounds.
type drawnClient struct {
	claim    *intake.Claim
	working  bool
	ahead    bool // working on a request that was sent ahead
	writing  bool
	long     bool // the client waits for long
	evicted  bool
	detached bool
}

// evict records that the claim has given way. Accepted requests may do so only if they were sent ahead or
// the client does not read.
func (c *drawnClient) evict(t require.TestingT, kind intake.Kind) {
	switch kind {
	case intake.UnreadClosed:
		require.True(t, c.writing)
	case intake.PipelinedClosed:
		require.True(t, c.working && c.ahead)
	case intake.LongClosed:
		require.True(t, c.working && c.long)
	default:
		require.False(t, c.working, "accepted")
	}
	c.evicted, c.detached = true, kind.Closes()
}

// do makes a call of the claim, with a number of bytes if it reads, and returns what it returned.
func (c *drawnClient) do(does string, bytes int64) (ok bool) {
	switch does {
	case "read":
		ok = c.claim.Read() && (c.claim.Grow(bytes) || !c.evicted)
		c.working = c.working && !ok
	case "work":
		ok = c.claim.Work()
		c.working, c.ahead = ok, false
	case "ahead":
		ok = c.claim.WorkPipelined()
		c.working, c.ahead = ok, ok
	case "write":
		c.claim.BeginWrite()
		c.writing, ok = true, !c.evicted
	case "written":
		c.claim.EndWrite()
		c.writing, ok = false, !c.evicted
	case "long":
		c.claim.SetWait(time.Minute)
		c.long, ok = true, !c.evicted
	case "wait":
		c.claim.ReleaseInput()
		ok = c.claim.Wait()
		c.long = c.long && !ok
		c.working = c.working && !ok
	case "close":
		c.claim.Close()
		ok = !c.evicted
	}
	return ok
}

// TestBounds draws clients that open, read, finish and close. Neither the bytes nor the connections may
// exceed their limits by more than those of evicted claims, and no accepted request may be evicted unless
// it was sent ahead or its client does not read.
func TestBounds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		bytes, conns := int64(rapid.IntRange(10, 100).Draw(t, "budget"))*intake.ConnBytes, rapid.IntRange(1, 40).Draw(t, "conns")
		w := newWorld(bytes, conns)
		var clients []*drawnClient
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.pass(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if len(clients) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				c := &drawnClient{}
				c.claim = w.Open(func(kind intake.Kind) { c.evict(t, kind) })
				if c.claim != nil {
					clients = append(clients, c)
				}
			} else {
				n := rapid.IntRange(0, len(clients)-1).Draw(t, "client")
				c := clients[n]
				does := rapid.SampledFrom([]string{"read", "work", "ahead", "write", "written", "long", "wait", "close"}).Draw(t, "does")
				ok := c.do(does, int64(rapid.IntRange(0, 400<<10).Draw(t, "bytes")))
				if does == "close" {
					clients = append(clients[:n], clients[n+1:]...)
				}
				require.Equal(t, !c.evicted, ok)
			}
			used, open := w.Used()
			require.LessOrEqual(t, used, bytes+bytes/4)
			require.LessOrEqual(t, open, conns+max(1, conns/8))
			require.Equal(t, open, len(slices.DeleteFunc(slices.Clone(clients), func(c *drawnClient) bool { return c.detached })))
		}
		for _, c := range clients {
			c.claim.Close()
		}
		used, open := w.Used()
		require.Zero(t, used)
		require.Zero(t, open)
	})
}

// TestLimitsOf checks the limits of processes from the smallest to the largest machine: connections
// leave half of the bytes for input, and stay below the descriptors.
func TestLimitsOf(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		mb, descriptors int
		bytes           int64
		conns           int
	}{
		{144, 3075, 36 << 20, 768},
		{284, 3075, 71 << 20, 1437},
		{674, 10250, 674 << 18, 3594},
		{674, 0, 674 << 18, 3594},
		{96, 700, 24 << 20, 250},
		{0, 700, 1 << 40, 250},
		{96, 160, 24 << 20, 20},
		{96, 1, 24 << 20, 1},
	} {
		bytes, conns := intake.LimitsOf(int64(test.mb)<<20, test.descriptors)
		require.Equal(t, test.bytes, bytes)
		require.Equal(t, test.conns, conns)
	}
}
