package election_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFailedTerm guards against a cell without holder after the term of its holder has failed, while
// the process goes on: another instance takes over at once, or the same one if there is no other.
func TestFailedTerm(t *testing.T) {
	t.Parallel()
	for _, alone := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			names := []string{"a", "b"}
			if alone {
				names = names[:1]
			}
			c := newCluster(t, names...)
			time.Sleep(3 * time.Second)
			failed := c.holder(t)
			terms := failed.terms()
			last := terms[len(terms)-1]
			failed.elector.Release(t.Context(), last)
			began := time.Now()
			for {
				_, epoch, _ := failed.elector.Holder()
				if epoch != last.Epoch {
					break
				}
				time.Sleep(10 * time.Millisecond)
				require.Less(t, time.Since(began), 3*time.Second)
			}
			if alone {
				require.Same(t, failed, c.holder(t))
				require.Len(t, failed.terms(), len(terms)+1)
				time.Sleep(time.Second)
				require.True(t, failed.holdsLease())
			} else {
				require.Less(t, time.Since(began), 300*time.Millisecond)
				require.NotSame(t, failed, c.holder(t))
			}
		})
	}
}
