package election_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/fingerprint"
	"gypsumward/core/table"
)

// store is an in-memory store. Calls of unreachable members fail.
type store struct {
	mu          sync.Mutex
	rows        map[string]table.Row
	version     int64
	changed     chan struct{}
	unreachable map[string]bool          // names of members, or "all"
	late        map[string]time.Duration // by member: how late writes take effect, without an answer
	slowAnswers map[string]time.Duration // by member: the time from when writes take effect until their answer
}

func newStore() *store {
	return &store{rows: map[string]table.Row{}, changed: make(chan struct{}), unreachable: map[string]bool{}, late: map[string]time.Duration{}, slowAnswers: map[string]time.Duration{}}
}

// memberStore is the store as one member reaches it.
type memberStore struct {
	*store
	name string
}

var errDown = errors.New("no answer")

func (s memberStore) checkReachable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable[s.name] || s.unreachable["all"] {
		return errDown
	}
	return nil
}

func (s memberStore) Write(_ context.Context, w table.Write) (table.Written, error) {
	time.Sleep(12 * time.Millisecond)
	if err := s.checkReachable(); err != nil {
		return table.Written{}, err
	}
	s.mu.Lock()
	defer func() {
		d := s.slowAnswers[s.name]
		s.mu.Unlock()
		time.Sleep(d)
	}()
	if d := s.late[s.name]; d > 0 {
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(w)
		})
		return table.Written{}, errDown
	}
	return s.apply(w), nil
}

// apply executes a write. The caller holds the lock.
func (s *store) apply(w table.Write) table.Written {
	var conflict []table.Row
	for _, op := range w.Ops {
		row := s.rows[op.Key]
		row.Key = op.Key
		if op.IfVersion != table.AnyVersion && op.IfVersion != row.Version {
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflicts: conflict}
	}
	s.version++
	for _, op := range w.Ops {
		if !op.CheckOnly {
			s.rows[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return table.Written{Committed: true, Version: s.version}
}

func (s memberStore) since(prefix string, after int64) table.Found {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := table.Found{Version: s.version}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && row.Version > after {
			f.Rows = append(f.Rows, row)
		}
	}
	return f
}

func (s memberStore) Scan(_ context.Context, q table.Scan) (table.Found, error) {
	time.Sleep(4 * time.Millisecond)
	return s.since(q.Prefix, 0), s.checkReachable()
}

func (s memberStore) Watch(ctx context.Context, w table.Watch) (table.WatchResult, error) {
	limit := time.After(w.Wait.Duration())
	for {
		if err := s.checkReachable(); err != nil {
			return table.WatchResult{}, err
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if f := s.since(w.Prefix, w.After); len(f.Rows) > 0 {
			return table.WatchResult{Rows: f.Rows, Version: f.Version}, nil
		}
		select {
		case <-changed:
		case <-limit:
			return table.WatchResult{Version: w.After}, nil
		case <-ctx.Done():
			return table.WatchResult{}, ctx.Err()
		}
	}
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// member is one instance that may become the holder.
type member struct {
	elector *election.Elector
	stop    context.CancelFunc
	cluster *cluster
	name    string

	mu         sync.Mutex
	begunTerms []election.Term
	endReasons []string
	leaseUntil time.Time
	runners    fingerprint.Set // that may have runs
	reported   fingerprint.Set // last set that is in the row
	promisedAt time.Time       // time of the latest promise
	delay      time.Duration   // before a claim
}

func (m *member) BeginTerm(t election.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begunTerms = append(m.begunTerms, t)
}

func (m *member) Reported(_ election.Term, set fingerprint.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported = set
}

func (m *member) Renew(_ election.Term, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseUntil = until
}

func (m *member) EndTerm(_ election.Term, why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endReasons = append(m.endReasons, why)
}

// promisedUntil returns the end of the latest promise, 600 ms after it was given.
func (m *member) promisedUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promisedAt.Add(600 * time.Millisecond)
}

func (m *member) promise() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.promisedAt = time.Now()
}

// claimDelay returns the delay before a claim.
func (m *member) claimDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delay
}

// offer makes the member promise if it may. It reports whether it did.
func (m *member) offer() bool {
	return m.elector.Promise(m.promise)
}

// terms returns the terms that the member has begun.
func (m *member) terms() []election.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]election.Term(nil), m.begunTerms...)
}

func (m *member) losses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.endReasons)
}

func (m *member) Runners() (int, fingerprint.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 3, m.runners
}

// setRunners sets the runners of m, and returns the last set of m that is in the row.
func (m *member) setRunners(s fingerprint.Set) (reported fingerprint.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runners = s
	return m.reported
}

func (m *member) leads() bool {
	_, _, self := m.elector.Holder()
	return self
}

// holdsLease reports whether the member considers itself the holder: it leads and its
// lease has not expired.
func (m *member) holdsLease() bool {
	leads := m.leads()
	m.mu.Lock()
	defer m.mu.Unlock()
	return leads && time.Now().Before(m.leaseUntil)
}

// cluster is a store and the members that use it.
type cluster struct {
	store      *store
	members    map[string]*member
	unanswered bool                         // no holder answers hello messages
	refusing   map[string]bool              // addresses that refuse connections
	standbys   func(holder string) []string // returns the standbys of a holder; nil if every member is one
	reserves   func(holder string) []string // returns the reserves of a holder; nil if there are none
	evidence   func(context.Context) bool   // reports whether a member reaches the runners of the cell
	running    sync.WaitGroup
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	return newClusterWith(t, nil, names...)
}

// newClusterWith is like newCluster for members that choose standbys.
func newClusterWith(t *testing.T, standbys func(holder string) []string, names ...string) *cluster {
	t.Helper()
	c := &cluster{store: newStore(), members: map[string]*member{}, refusing: map[string]bool{}, standbys: standbys}
	c.startAll(t, names)
	return c
}

// startAll starts members that run until the test ends.
func (c *cluster) startAll(t *testing.T, names []string) {
	t.Helper()
	for _, name := range names {
		c.start(name, name+"@1")
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			m.stop()
		}
		c.running.Wait()
	})
}

// setUnreachable sets whether the store is unreachable for a member, or for "all".
func (c *cluster) setUnreachable(name string, unreachable bool) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.unreachable[name] = unreachable
}

// refuseConnections makes an address refuse connections from now on.
func (c *cluster) refuseConnections(addr string) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.refusing[addr] = true
}

func (c *cluster) start(name, incarnation string) *member {
	m := &member{cluster: c, name: name, runners: 33}
	e := election.New("c0", election.Settings{})
	e.Self = election.Member{Node: name, Incarnation: incarnation, Addr: name}
	e.Store, e.Clock, e.Leader = memberStore{c.store, name}, clock{}, m
	e.ConnectionRefused = func(_ context.Context, addr string) bool {
		time.Sleep(time.Millisecond)
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		return c.refusing[addr]
	}
	e.PromisedUntil, e.ClaimDelay = m.promisedUntil, m.claimDelay
	if c.standbys != nil {
		e.ChooseStandbys = func(holder election.Member) []string { return c.standbys(holder.Node) }
	}
	if c.reserves != nil {
		e.ChooseReserves = func(holder election.Member) []string { return c.reserves(holder.Node) }
		e.RunnersReachable = c.evidence
	}
	if c.unanswered {
		e.HolderReachable = func() bool { return false }
	}
	m.elector = e
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	c.members[name] = m
	c.running.Go(func() { e.Run(ctx) })
	return m
}

// holder returns the only member that leads, and fails the test if there is none or more
// than one.
func (c *cluster) holder(t *testing.T) *member {
	t.Helper()
	var found *member
	for _, m := range c.members {
		if m.leads() {
			require.Nil(t, found, "two holders")
			found = m
		}
	}
	require.NotNil(t, found, "no holder")
	return found
}

func TestOneHolder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		time.Sleep(time.Second)
		m := c.holder(t)
		require.Equal(t, []election.Term{{Epoch: 1, Number: 1}}, m.terms())
		time.Sleep(time.Minute)
		require.Equal(t, m, c.holder(t))
		require.Len(t, m.terms(), 1)
		require.True(t, m.holdsLease())
	})
}

func TestTakeover(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		cause  func(c *cluster, m *member)
		within time.Duration
	}{
		{"killed", func(c *cluster, m *member) { m.stop(); delete(c.members, m.name); c.refuseConnections(m.name) }, 800 * time.Millisecond},
		{"power loss", func(c *cluster, m *member) { m.stop(); delete(c.members, m.name) }, 1800 * time.Millisecond},
		{"restarted", func(c *cluster, m *member) { m.stop(); c.start(m.name, m.name+"@2") }, 400 * time.Millisecond},
		{"resigns", func(c *cluster, m *member) {
			for _, other := range c.members {
				if other != m {
					m.elector.StopClaiming()
					m.elector.Transfer(context.Background(), other.elector.Self)
					return
				}
			}
		}, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, "a", "b", "c")
				time.Sleep(3 * time.Second)
				m := c.holder(t)
				test.cause(c, m)
				time.Sleep(test.within)
				next := c.holder(t)
				require.NotSame(t, m, next)
				require.Equal(t, 2, next.terms()[0].Number)
				require.Equal(t, fingerprint.Set(33), next.terms()[0].PreviousRunners, "as reported by the previous holder")
				require.Greater(t, next.terms()[0].Epoch, m.terms()[0].Epoch)
			})
		})
	}
}

// TestCutHolder cuts the holder off from the store, so that another member takes over.
// At no time may both consider themselves the holder.
func TestCutHolder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		c.setUnreachable(m.name, true)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			counting := 0
			for _, other := range c.members {
				if other.holdsLease() {
					counting++
				}
			}
			require.LessOrEqual(t, counting, 1)
		}
		c.setUnreachable(m.name, false)
		time.Sleep(2 * time.Second)
		require.NotSame(t, m, c.holder(t))
		require.Equal(t, 1, m.losses())
	})
}

// TestReported changes the runners of a holder while the store is unreachable. It must take them
// for reported once a heartbeat with them has been written, not before.
func TestReported(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b")
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		require.Equal(t, fingerprint.Set(33), m.setRunners(33))
		c.setUnreachable("all", true)
		m.setRunners(44)
		time.Sleep(time.Second)
		require.Equal(t, fingerprint.Set(33), m.setRunners(44))
		c.setUnreachable("all", false)
		time.Sleep(time.Second)
		require.Equal(t, fingerprint.Set(44), m.setRunners(44))
	})
}

// TestStoreDown makes the store unreachable for all members. No member may take over
// when the store is back, although no heartbeat was seen for long.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		c.setUnreachable("all", true)
		time.Sleep(9 * time.Second)
		require.Equal(t, m, c.holder(t))
		c.setUnreachable("all", false)
		time.Sleep(5 * time.Second)
		require.Same(t, m, c.holder(t))
		require.Len(t, m.terms(), 1)
	})
}

// TestPromisesWithoutStore cuts the holder off from the store while the other members
// keep renewing their promises. The holder must stay until the promises expire.
func TestPromisesWithoutStore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b")
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		c.setUnreachable(m.name, true)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			for _, other := range c.members {
				other.promise()
			}
		}
		require.Same(t, m, c.holder(t))
		time.Sleep(4 * time.Second)
		require.False(t, m.holdsLease())
		leading := 0
		for _, other := range c.members {
			if other != m && other.leads() {
				leading++
			}
		}
		require.Equal(t, 1, leading, "another member takes over once the promises have expired")
	})
}

// TestReconnectedMembersSeeHeartbeat cuts the other members off from the holder and the
// store, and then restores only the store. They must not take over from the holder,
// whose heartbeats they missed in between.
func TestReconnectedMembersSeeHeartbeat(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		for _, other := range c.members {
			if other != m {
				c.setUnreachable(other.name, true)
			}
		}
		c.refuseConnections(m.name)
		time.Sleep(5 * time.Second)
		for _, other := range c.members {
			c.setUnreachable(other.name, false)
		}
		time.Sleep(2 * time.Second)
		require.Same(t, m, c.holder(t))
		require.Zero(t, m.losses())
	})
}

// TestPromiseKept stops the holder while the promises of the others are valid. No member
// may take over before they expire, whether the holder's address is silent or refuses
// connections.
func TestPromiseKept(t *testing.T) {
	t.Parallel()
	for _, refuses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			time.Sleep(3 * time.Second)
			m := c.holder(t)
			for _, other := range c.members {
				other.mu.Lock()
				other.promisedAt = time.Now().Add(4400 * time.Millisecond)
				other.mu.Unlock()
			}
			m.stop()
			if refuses {
				c.refuseConnections(m.name)
			}
			time.Sleep(4900 * time.Millisecond)
			for _, other := range c.members {
				require.True(t, other == m || len(other.terms()) == 0)
			}
			delete(c.members, m.name)
			time.Sleep(time.Second)
			require.NotNil(t, c.holder(t))
		})
	}
}

// TestRefusedBehindCut makes the address of a live holder refuse connections, as a cut
// link may. The holder must stay while its heartbeats arrive, and must no longer consider
// itself the holder once another member has taken over.
func TestRefusedBehindCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		m := c.holder(t)
		c.refuseConnections(m.name)
		time.Sleep(10 * time.Second)
		require.Same(t, m, c.holder(t))
		c.setUnreachable(m.name, true)
		replaced := false
		for range 150 {
			time.Sleep(10 * time.Millisecond)
			for _, other := range c.members {
				if other != m && other.leads() {
					replaced = true
					require.False(t, m.holdsLease(), "both consider themselves the holder")
				}
			}
		}
		require.True(t, replaced)
	})
}
