package faults_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
)

// waveJobs is the number of jobs, of 6 tasks each, that are cancelled.
const waveJobs = 500

// cancelLag is the lag of the cancel of every other job behind its submission,
// counted in jobs, of which one is submitted per millisecond. It is about the time
// of a claim, so that some jobs are just being started when they are cancelled.
const cancelLag = 36

// cancelJob cancels job i through instance via.
func (d *driver) cancelJob(via, i int) {
	k := api.Key{Team: d.job.Team, ID: fmt.Sprintf("w%d", i)}
	d.callAsync(via, k.ID, true, func(ctx context.Context, in *instance) (*api.Answer, *api.Refusal) {
		return in.owner.Cancel(ctx, k, "")
	})
}

// TestCancelWave guards against tasks that start after their cancel was confirmed.
// It cancels hundreds of jobs: every other one about when it is claimed or started,
// the others in one burst through the other instance. Every caller must get a final
// answer. That of a cancelled job must say for certain whether tasks ran, and no
// task of it may start later.
func TestCancelWave(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 2)
		d := newDriver(sim)
		base := d.job
		members := slices.Clone(sim.members)
		for i := range members {
			members[i].Cores *= waveJobs // capacity for all jobs at once
		}
		sim.instances[0].owner.SetMembers(members)
		time.Sleep(3 * time.Second)
		for i := range waveJobs {
			d.job = base
			d.job.ID = fmt.Sprintf("w%d", i)
			d.submit(0)
			time.Sleep(time.Millisecond)
			if i > cancelLag && i%2 == 1 {
				d.cancelJob(0, i-cancelLag)
			}
		}
		for i := waveJobs - cancelLag + 1; i < waveJobs; i += 2 {
			d.cancelJob(0, i)
		}
		time.Sleep(100 * time.Millisecond) // all claims are written
		for i := 0; i < waveJobs; i += 2 {
			d.cancelJob(1, i)
		}
		time.Sleep(horizon)
		d.group.Wait()
		last := make(map[string]time.Time)
		for _, r := range sim.fleet.starts("") {
			last[strings.Split(r.id, "/")[1]] = r.at
		}
		cancelled := 0
		for _, a := range d.replies {
			require.NotNil(t, a.answer, a.id)
			require.True(t, a.answer.Final(), a.id)
			if a.answer.Reason != api.ReasonCancelled {
				require.Equal(t, api.StateComplete, a.answer.State, a.id)
				continue
			}
			cancelled++
			require.NotEqual(t, api.RanUnknown, a.answer.Ran, a.id)
			require.Equal(t, a.answer.Ran == api.RanNot, last[a.id].IsZero(), a.id)
			require.False(t, last[a.id].After(a.receivedAt), "%s started after its cancel was confirmed", a.id)
		}
		require.Len(t, d.replies, 2*waveJobs)
		require.Greater(t, cancelled, waveJobs)
		cancel()
		sim.group.Wait()
		time.Sleep(2 * time.Hour) // all timers end by then
	})
}
