package notice_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/notice"
	"gypsumward/core/table"
	"gypsumward/core/table/memstore"
)

// newBoard returns a board that runs until the test ends.
func newBoard(t *testing.T, s *memstore.Store) *notice.Board {
	t.Helper()
	s.SetVersion(100)
	b := &notice.Board{Store: s, Log: log.NewNopLogger(), OnNotice: func(string, election.Notice) {}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return b
}

func newNotice(node string, epoch int64) election.Notice {
	return election.Notice{Epoch: epoch, Holder: election.Holder{Member: election.Member{Node: node}}, Standbys: []string{"s"}}
}

func TestPublish(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		a, b := newBoard(t, s), newBoard(t, s)
		require.False(t, a.Loaded())
		time.Sleep(20 * time.Millisecond)
		require.True(t, a.Loaded())
		_, ok := a.Get("c1")
		require.False(t, ok)
		a.Publish(t.Context(), "c1", newNotice("a", 5))
		time.Sleep(20 * time.Millisecond)
		n, ok := b.Get("c1")
		require.True(t, ok)
		require.Equal(t, newNotice("a", 5), n)
		require.True(t, n.Names("a") && n.Names("s") && !n.Names("b"))
	})
}

// TestPublishLate lets a former holder publish after the current one. The later epoch must
// stay, also if the former holder has not read it yet.
func TestPublishLate(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		b := newBoard(t, s)
		stale := &notice.Board{Store: s, Log: log.NewNopLogger(), OnNotice: func(string, election.Notice) {}}
		b.Publish(t.Context(), "c1", newNotice("b", 6))
		stale.Publish(t.Context(), "c1", newNotice("a", 5))
		time.Sleep(2 * time.Second)
		n, _ := b.Get("c1")
		require.Equal(t, newNotice("b", 6), n)
		n, _ = stale.Get("c1")
		require.Equal(t, newNotice("b", 6), n)
	})
}

// TestPublishRetries loses the answers of the store and then takes it down. The notice must
// be there in the end, and the calls spread out.
func TestPublishRetries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		b := newBoard(t, s)
		s.SetLossy(true)
		go b.Publish(t.Context(), "c1", newNotice("a", 5))
		time.Sleep(10 * time.Millisecond)
		s.SetLossy(false)
		time.Sleep(2 * time.Second)
		n, _ := b.Get("c1")
		require.Equal(t, newNotice("a", 5), n)
		s.SetDown(true)
		before := s.Writes()
		go b.Publish(t.Context(), "c1", newNotice("a", 7))
		time.Sleep(20 * time.Second)
		require.Less(t, s.Writes()-before, 30)
		s.SetDown(false)
		time.Sleep(3 * time.Second)
		n, _ = b.Get("c1")
		require.Equal(t, newNotice("a", 7), n)
	})
}

// TestOddRows writes rows that are no notices. They must not replace a notice.
func TestOddRows(t *testing.T) {
	t.Parallel()
	for _, value := range []string{`"x"`, `[]`, `{"epoch":"x"}`, `{}`, `null`, `{"epoch":5000,"holder":{"node":"x"}}`} {
		synctest.Test(t, func(t *testing.T) {
			s := &memstore.Store{}
			b := newBoard(t, s)
			b.Publish(t.Context(), "c1", newNotice("a", 5))
			for _, key := range []string{"c1", "", "c9"} {
				_, err := s.Write(t.Context(), table.Write{Ops: []table.Op{
					{Key: notice.Prefix + key, IfVersion: table.AnyVersion, Value: json.RawMessage(value)},
				}})
				require.NoError(t, err)
			}
			time.Sleep(time.Second)
			_, ok := b.Get("c9")
			require.False(t, ok)
			b.Publish(t.Context(), "c1", newNotice("a", 6))
			n, _ := b.Get("c1")
			require.Equal(t, newNotice("a", 6), n)
		})
	}
}
