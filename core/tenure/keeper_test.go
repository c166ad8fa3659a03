package tenure_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/table"
	"gypsumward/core/tenure"
)

// store is a store in memory. A caller that it turns away hears of no answer.
type store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int64
	changed chan struct{}
	away    map[string]bool // members that it does not answer
}

func newStore() *store {
	return &store{rows: map[string]table.Row{}, changed: make(chan struct{}), away: map[string]bool{}}
}

// seat is a store as one member sees it.
type seat struct {
	*store
	name string
}

var errDown = errors.New("no answer")

func (s seat) reach() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away[s.name] || s.away["all"] {
		return errDown
	}
	return nil
}

func (s seat) Write(_ context.Context, w table.Write) (table.Written, error) {
	time.Sleep(12 * time.Millisecond)
	if err := s.reach(); err != nil {
		return table.Written{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict []table.Row
	for _, op := range w.Ops {
		row := s.rows[op.Key]
		row.Key = op.Key
		if op.If != table.Any && op.If != row.Version {
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflict: conflict}, nil
	}
	s.version++
	for _, op := range w.Ops {
		if !op.Check {
			s.rows[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return table.Written{Done: true, Version: s.version}, nil
}

func (s seat) since(prefix string, after int64) table.Found {
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

func (s seat) Scan(_ context.Context, q table.Scan) (table.Found, error) {
	time.Sleep(4 * time.Millisecond)
	return s.since(q.Prefix, 0), s.reach()
}

func (s seat) Watch(ctx context.Context, w table.Watch) (table.Changes, error) {
	limit := time.After(w.Wait.Duration())
	for {
		if err := s.reach(); err != nil {
			return table.Changes{}, err
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if f := s.since(w.Prefix, w.After); len(f.Rows) > 0 {
			return table.Changes{Rows: f.Rows, Version: f.Version}, nil
		}
		select {
		case <-changed:
		case <-limit:
			return table.Changes{Version: w.After}, nil
		case <-ctx.Done():
			return table.Changes{}, ctx.Err()
		}
	}
}

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// member is one instance that may become the holder.
type member struct {
	keeper *tenure.Keeper
	stop   context.CancelFunc
	hall   *hall
	name   string

	mu    sync.Mutex
	led   []tenure.Term
	lost  []string
	until time.Time
	heard time.Time // when it last promised
}

func (m *member) Lead(t tenure.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.led = append(m.led, t)
}

func (m *member) Renew(_ tenure.Term, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.until = until
}

func (m *member) Lose(_ tenure.Term, why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = append(m.lost, why)
}

// promised is for 600 ms after the last time that the member heard of the holder.
func (m *member) promised() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard.Add(600 * time.Millisecond)
}

func (m *member) hear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = time.Now()
}

// terms returns the terms that the member has led.
func (m *member) terms() []tenure.Term {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]tenure.Term(nil), m.led...)
}

func (m *member) losses() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.lost)
}

func (m *member) Runners() int { return 3 }

func (m *member) leads() bool {
	_, _, self := m.keeper.Holder()
	return self
}

// counts reports whether the member counts itself as the holder.
func (m *member) counts() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leads() && time.Now().Before(m.until)
}

// hall is a store with members.
type hall struct {
	store   *store
	members map[string]*member
	gone    map[string]bool // addresses at which nothing listens
	running sync.WaitGroup
}

func newHall(t *testing.T, names ...string) *hall {
	t.Helper()
	h := &hall{store: newStore(), members: map[string]*member{}, gone: map[string]bool{}}
	for _, name := range names {
		h.join(name, name+"@1")
	}
	t.Cleanup(func() {
		for _, m := range h.members {
			m.stop()
		}
		h.running.Wait()
	})
	return h
}

// turnAway tells whether the store answers a member, or "all".
func (h *hall) turnAway(name string, away bool) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.away[name] = away
}

// leave lets nothing listen at an address.
func (h *hall) leave(addr string) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.gone[addr] = true
}

func (h *hall) join(name, life string) *member {
	m := &member{hall: h, name: name}
	k := tenure.New("c0", tenure.Settings{})
	k.Self = tenure.Member{Node: name, Life: life, Addr: name}
	k.Store, k.Clock, k.Leader = seat{h.store, name}, clock{}, m
	k.Refuses = func(_ context.Context, addr string) bool {
		time.Sleep(time.Millisecond)
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		return h.gone[addr]
	}
	k.Promised = m.promised
	m.keeper = k
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	h.members[name] = m
	h.running.Go(func() { k.Run(ctx) })
	return m
}

// holder returns the one member that leads.
func (h *hall) holder(t *testing.T) *member {
	t.Helper()
	var found *member
	for _, m := range h.members {
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
		h := newHall(t, "a", "b", "c")
		time.Sleep(time.Second)
		m := h.holder(t)
		require.Equal(t, []tenure.Term{{Epoch: 1, Round: 1}}, m.terms())
		time.Sleep(time.Minute)
		require.Equal(t, m, h.holder(t))
		require.Len(t, m.terms(), 1)
		require.True(t, m.counts())
	})
}

func TestTakeover(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		strike func(h *hall, m *member)
		within time.Duration
	}{
		{"killed", func(h *hall, m *member) { m.stop(); delete(h.members, m.name); h.leave(m.name) }, 800 * time.Millisecond},
		{"without power", func(h *hall, m *member) { m.stop(); delete(h.members, m.name) }, 1800 * time.Millisecond},
		{"started anew", func(h *hall, m *member) { m.stop(); h.join(m.name, m.name+"@2") }, 400 * time.Millisecond},
		{"resigns", func(h *hall, m *member) {
			for _, other := range h.members {
				if other != m {
					m.keeper.Retire()
					m.keeper.Resign(context.Background(), other.keeper.Self)
					return
				}
			}
		}, 100 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				h := newHall(t, "a", "b", "c")
				time.Sleep(3 * time.Second)
				m := h.holder(t)
				test.strike(h, m)
				time.Sleep(test.within)
				next := h.holder(t)
				require.NotSame(t, m, next)
				require.Equal(t, 2, next.terms()[0].Round)
				require.Equal(t, 3, next.terms()[0].Runners, "as the former holder told")
				require.Greater(t, next.terms()[0].Epoch, m.terms()[0].Epoch)
			})
		})
	}
}

// TestCutHolder cuts the holder from the store: it does not count itself as the holder
// any more when another does.
func TestCutHolder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		m := h.holder(t)
		h.turnAway(m.name, true)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			counting := 0
			for _, other := range h.members {
				if other.counts() {
					counting++
				}
			}
			require.LessOrEqual(t, counting, 1)
		}
		h.turnAway(m.name, false)
		time.Sleep(2 * time.Second)
		require.NotSame(t, m, h.holder(t))
		require.Equal(t, 1, m.losses())
	})
}

// TestStoreDown takes the store from all members: nobody is replaced when it is back.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		m := h.holder(t)
		h.turnAway("all", true)
		time.Sleep(9 * time.Second)
		require.Equal(t, m, h.holder(t))
		h.turnAway("all", false)
		time.Sleep(5 * time.Second)
		require.Same(t, m, h.holder(t))
		require.Len(t, m.terms(), 1)
	})
}

// TestHeard lets the others hear from a holder that is cut from the store.
func TestHeard(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, "a", "b")
		time.Sleep(3 * time.Second)
		m := h.holder(t)
		h.turnAway(m.name, true)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			for _, other := range h.members {
				other.hear()
			}
		}
		require.Same(t, m, h.holder(t))
		time.Sleep(4 * time.Second)
		require.False(t, m.counts())
		leading := 0
		for _, other := range h.members {
			if other != m && other.leads() {
				leading++
			}
		}
		require.Equal(t, 1, leading, "replaced once it is not heard any more")
	})
}

// TestReturnToBeat lets members that were cut off from the holder and the store come
// back to the store first: the holder, whose signs of life they missed, stays.
func TestReturnToBeat(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, "a", "b", "c", "d")
		time.Sleep(3 * time.Second)
		m := h.holder(t)
		for _, other := range h.members {
			if other != m {
				h.turnAway(other.name, true)
			}
		}
		h.leave(m.name)
		time.Sleep(5 * time.Second)
		for _, other := range h.members {
			h.turnAway(other.name, false)
		}
		time.Sleep(2 * time.Second)
		require.Same(t, m, h.holder(t))
		require.Zero(t, m.losses())
	})
}

// TestPromiseKept lets a holder that is gone stay until the promises of the others end,
// whether it is silent or nothing listens at its address.
func TestPromiseKept(t *testing.T) {
	t.Parallel()
	for _, refuses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			h := newHall(t, "a", "b", "c")
			time.Sleep(3 * time.Second)
			m := h.holder(t)
			for _, other := range h.members {
				other.mu.Lock()
				other.heard = time.Now().Add(4400 * time.Millisecond)
				other.mu.Unlock()
			}
			m.stop()
			if refuses {
				h.leave(m.name)
			}
			time.Sleep(4900 * time.Millisecond)
			for _, other := range h.members {
				require.True(t, other == m || len(other.terms()) == 0)
			}
			delete(h.members, m.name)
			time.Sleep(time.Second)
			require.NotNil(t, h.holder(t))
		})
	}
}

// TestRefusedBehindCut lets a cut refuse connections to a holder that is alive: it stays
// while its signs of life come, and when it is replaced it does not count itself as the
// holder any more.
func TestRefusedBehindCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		h := newHall(t, "a", "b", "c")
		time.Sleep(3 * time.Second)
		m := h.holder(t)
		h.leave(m.name)
		time.Sleep(10 * time.Second)
		require.Same(t, m, h.holder(t))
		h.turnAway(m.name, true)
		replaced := false
		for range 150 {
			time.Sleep(10 * time.Millisecond)
			for _, other := range h.members {
				if other != m && other.leads() {
					replaced = true
					require.False(t, m.counts(), "both count themselves as the holder")
				}
			}
		}
		require.True(t, replaced)
	})
}
