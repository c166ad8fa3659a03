package resubmit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/work"
)

// TestSubmissionAfterLeave guards against a job that is accepted for a caller that has left: the link
// to the holder holds the submission and the notice back, and the notice is handled first.
func TestSubmissionAfterLeave(t *testing.T) {
	t.Parallel()
	const runTime = 2500 * time.Millisecond // longer than until the client submits the job again
	for n := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(*firstSeed+n, 4, "a", "b")
			time.Sleep(settleTime)
			entry, elsewhere := w.instances[0], w.instances[1] // in different data centres
			holder, _, _ := entry.cells[0].elector.Holder()
			if holder.Addr == entry.name {
				entry = w.instances[2]
			}
			j := work.Job{
				ID: "0000000000000001", Spec: "x", Transient: true, Steps: []work.Step{{Count: 2, CPU: 1000, Memory: 64, Estimate: 800}},
				Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatency: 400},
			}
			for index := range 2 {
				w.durations[work.Task{Job: j.ID, Index: index}] = runTime
			}
			w.net.block(entry.name, holder.Addr, w.between(200*time.Millisecond, 400*time.Millisecond))
			time.AfterFunc(50*time.Millisecond, func() { w.breakCalls(entry) })
			_, answered := w.call(entry, j, patientDeadline)
			require.False(t, answered)
			time.Sleep(resubmitAfter)
			_, answered = w.call(elsewhere, j, patientDeadline)
			require.True(t, answered)
			w.end()
			w.report(t, "leave", *firstSeed+n)
		})
	}
}
