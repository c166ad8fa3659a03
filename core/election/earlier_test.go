package election_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTermAfterReserve guards against a holder that does not know of a cut-off one, since a reserve held
// the cell in between: it may have been lost, or have handed the cell over, before it had accounted for
// what that one has left.
func TestTermAfterReserve(t *testing.T) {
	t.Parallel()
	for _, accounted := range []bool{false, true} {
		for _, transferred := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var reachable atomic.Bool
				reachable.Store(true)
				c := newReserveCluster(t, &reachable)
				former := c.holder(t)
				epoch := former.terms()[0].Epoch
				limit := former.elector.StoredLimit()
				for _, m := range c.members {
					if m != former && !accounted {
						m.setRunners(0)
					}
				}
				c.lose(former.name, c.standbys(former.name)[0])
				for len(c.leading()) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				reserve := c.holder(t)
				require.Equal(t, epoch, reserve.terms()[0].ReplacedEpoch)
				require.Empty(t, reserve.terms()[0].Earlier)
				if accounted {
					time.Sleep(time.Second)
				}
				next := c.members[c.standbys(reserve.name)[0]]
				if transferred {
					require.True(t, reserve.elector.Transfer(t.Context(), next.elector.Self))
				} else {
					c.lose(reserve.name)
				}
				for !next.leads() {
					time.Sleep(10 * time.Millisecond)
				}
				earlier := next.terms()[0].Earlier
				if accounted {
					require.Empty(t, earlier)
					return
				}
				require.Len(t, earlier, 1)
				require.Equal(t, epoch, earlier[0].Epoch)
				require.True(t, earlier[0].Open)
				require.NotZero(t, earlier[0].Runners, "as the cut-off holder has reported")
				require.False(t, earlier[0].End.Before(limit))
			})
		}
	}
}

// TestLongChainOfTerms loses each holder before it has accounted for the one before. The last one must
// know of all that may go on, and the row must stay small.
func TestLongChainOfTerms(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b")
		time.Sleep(3 * time.Second)
		for n := range 20 {
			for _, m := range c.members {
				m.setRunners(0)
			}
			lost := c.holder(t).name
			c.lose(lost)
			for len(c.leading()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			c.start(lost, fmt.Sprintf("%s@%d", lost, n))
			time.Sleep(2 * time.Second)
		}
		last := c.holder(t).terms()[0].Earlier
		require.Len(t, last, 7, "the previous term is described apart")
		require.Zero(t, last[0].Epoch, "of several")
		require.NotZero(t, last[6].Epoch)
	})
}
