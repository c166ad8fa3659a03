package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestEndsBeyondAReply guards against finished tasks that are run again: their ends are beyond those
// that a runner lists in a reply, as when the store is down for a while, so the holder, or the next
// one, does not see them.
func TestEndsBeyondAReply(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		takeover bool
	}{{"store down", false}, {"store down, then a takeover", true}} {
		for _, perReply := range []int{1, 5, 500} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(1, 2, 32000)
				w.endsPerReply = perReply
				p := w.takeOver()
				w.run(time.Second)
				for i := range 3 {
					w.submit(newJob(i+1, false, work.Step{Count: 40, CPU: 4000, Estimate: 200}))
				}
				w.run(300 * time.Millisecond)
				w.store.down = true
				w.run(3 * time.Second)
				w.store.down = false
				if test.takeover {
					p.kill()
					w.takeOver()
				}
				w.run(60 * time.Second)
				require.Empty(t, w.violations)
				checkSettled(t, w)
			})
		}
	}
}
