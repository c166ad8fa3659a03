package cell_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/order"
)

// TestLostAnswers plays a load of a third of the capacity while a fifth of the replies of
// runners are lost, or a fifth of the orders are carried out seconds late. Most jobs must end
// in time nevertheless: a runner that has not replied once must soon be used again.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name   string
		faults faults
		least  float64 // share of the jobs that end in time
	}{
		{"none", faults{}, 0.99},
		{"lost replies", faults{lostReply: 0.2}, 0.95},
		{"late orders", faults{delayedOrder: 0.2}, 0.95},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(7, 8, 32000)
			w.takeOver()
			w.run(time.Second)
			train(w)
			test.faults.delay = time.Millisecond
			w.faults = test.faults
			inTime := 0
			const jobs = 400
			for i := range jobs {
				j := urgentJob(i+1, 2)
				sent := w.now
				w.submit(j)
				for range 5 {
					w.run(4 * time.Millisecond)
				}
				w.after(270*time.Millisecond-w.now.Sub(sent), func() {
					if !w.callerWaits[j.ID] {
						inTime++
					}
				})
			}
			w.run(time.Second)
			t.Logf("%s: %d of %d in time, ends %v", test.name, inTime, jobs, w.endCounts)
			require.GreaterOrEqual(t, float64(inTime)/jobs, test.least)
			w.heal()
			w.run(20 * time.Second)
			checkSettled(t, w)
			require.LessOrEqual(t, w.endCounts[order.Stopped], jobs/10)
		})
	}
}
