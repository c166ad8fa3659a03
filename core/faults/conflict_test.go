package faults_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
)

// TestOtherContent checks that every instance refuses a job with a used id and
// different content, and that the tasks of the first job start once.
func TestOtherContent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 2)
		d := newDriver(sim)
		other := d.job
		other.Tasks = append([]api.Task(nil), d.job.Tasks...)
		other.Tasks[0].Kind = "stamp"
		d.submit(0)
		time.Sleep(time.Second)
		for _, in := range sim.allInstances() {
			_, r := in.owner.Submit(t.Context(), other)
			require.NotNil(t, r)
			require.Equal(t, api.ReasonConflict, r.Reason)
			require.Equal(t, api.RanNot, r.Ran)
		}
		time.Sleep(horizon)
		d.group.Wait()
		require.Empty(t, checkJob(d))
		require.Empty(t, d.checkAllComplete())
		cancel()
		sim.group.Wait()
		time.Sleep(2 * time.Hour) // all timers end by then
	})
}
