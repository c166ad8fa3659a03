package election_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/fingerprint"
)

// TestTransferLate hands a cell over while the store carries writes out late and without an
// answer, so that the former holder goes on. When the next one begins its term, it must allow
// for all leases that the former one may still have: by its last heartbeat, and by promises.
func TestTransferLate(t *testing.T) {
	t.Parallel()
	for _, promised := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			time.Sleep(3 * time.Second)
			former := c.holder(t)
			next := c.members["b"]
			if former == next {
				next = c.members["a"]
			}
			epoch := former.terms()[0].Epoch
			c.store.mu.Lock()
			c.store.late[former.name] = 1900 * time.Millisecond
			c.store.mu.Unlock()
			require.False(t, former.elector.Transfer(t.Context(), next.elector.Self), "not known")
			c.store.mu.Lock()
			c.store.late[former.name] = 0
			c.store.mu.Unlock()
			for len(next.terms()) == 0 {
				if promised {
					require.True(t, next.offer())
				}
				time.Sleep(10 * time.Millisecond)
			}
			former.mu.Lock()
			lease := former.leaseUntil
			former.mu.Unlock()
			require.True(t, lease.After(time.Now()), "the former holder does not know it yet")
			term := next.terms()[0]
			require.Equal(t, epoch, term.PreviousEpoch)
			require.False(t, term.PreviousEnd.Before(lease))
			if promised {
				require.False(t, term.PreviousEnd.Before(next.promisedUntil()))
			}
			time.Sleep(time.Second)
			require.Equal(t, 1, former.losses())
		})
	}
}

// TestClaimAfterEnd checks that a term begun by a claim, after the lease of the holder has
// expired, waits for no former holder beyond its beginning.
func TestClaimAfterEnd(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b")
		time.Sleep(3 * time.Second)
		former := c.holder(t)
		former.stop()
		time.Sleep(5 * time.Second)
		for _, m := range c.members {
			if m != former {
				require.Len(t, m.terms(), 1)
				require.Zero(t, m.terms()[0].PreviousEpoch)
				require.True(t, m.terms()[0].PreviousEnd.Before(time.Now().Add(-2*time.Second)))
			}
		}
	})
}

// TestRelease ends the term of a holder that has nobody to hand the cell over to. A standby
// that comes later takes over at once, though it has been told nothing, and learns on which
// runners the holder may have runs. The heartbeats of the holder end.
func TestRelease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a")
		time.Sleep(3 * time.Second)
		former := c.holder(t)
		former.elector.StopClaiming()
		former.elector.Release(t.Context(), former.terms()[0])
		time.Sleep(50 * time.Millisecond)
		next := c.start("b", "b@1")
		next.promise()
		time.Sleep(400 * time.Millisecond)
		require.Len(t, next.terms(), 1)
		require.Equal(t, fingerprint.Set(33), next.terms()[0].PreviousRunners)
		require.Equal(t, 1, former.losses())
		time.Sleep(3 * time.Second)
		require.True(t, next.leads())
	})
}
