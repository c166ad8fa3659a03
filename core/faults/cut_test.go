package faults_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
	"gypsumward/core/span"
)

// cutDuration is the time for which the data centre is disconnected. It is longer
// than any lease.
const cutDuration = 60 * time.Second

// maxRefusalTime is the time within which work that cannot be accepted must be
// refused once the outage was detected.
const maxRefusalTime = 100 * time.Millisecond

// TestDataCentreCut disconnects a data centre from the platform and from its peers
// while a job runs. The job must be complete afterwards, since no instance that
// cannot reach its workers may take it. Repeatable requests must be served
// meanwhile, and other work must be refused at once as not run.
func TestDataCentreCut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 1)
		sim.instances = append(sim.instances, sim.startInstance("b", "varese"))
		in := sim.instances[0]
		d := newDriver(sim)
		d.job.Deadline = span.Of(3 * cutDuration)
		time.Sleep(3 * time.Second)
		d.submit(0)
		time.Sleep(50 * time.Millisecond)
		sim.cutOffCentre(in)
		time.Sleep(5 * time.Second)

		repeatable := d.request
		repeatable.Repeatable = true
		a, r := in.forward.Send(t.Context(), repeatable)
		require.Nil(t, r)
		require.Equal(t, api.StateComplete, a.State)

		start := time.Now()
		other := d.job
		other.ID = "j2"
		_, r = in.owner.Submit(t.Context(), other)
		require.NotNil(t, r)
		require.Equal(t, api.RanNot, r.Ran)
		nonRepeatable := d.request
		nonRepeatable.ID = "q2"
		_, r = in.forward.Send(t.Context(), nonRepeatable)
		require.NotNil(t, r)
		require.Equal(t, api.RanNot, r.Ran)
		require.Less(t, time.Since(start), maxRefusalTime)

		time.Sleep(2 * cutDuration)
		d.group.Wait()
		require.Empty(t, checkJob(d))
		require.Empty(t, d.checkAllComplete())
		require.Empty(t, sim.fleet.starts("crew/j2/"))
		require.Empty(t, sim.fleet.starts("crew/q2/"))
		cancel()
		sim.group.Wait()
		time.Sleep(2 * time.Hour) // all timers end by then
	})
}

// cutOffCentre disconnects the data centre of the targets, with its instance in,
// from all others for cutDuration.
func (sim *simulation) cutOffCentre(in *instance) {
	in.state.cutLink(linkPlatform, cutDuration)
	in.state.cutLink(linkPeers, cutDuration)
	sim.fleet.setIsolated(true)
	time.AfterFunc(cutDuration, func() { sim.fleet.setIsolated(false) })
}

// setIsolated sets whether other data centres are cut off from the targets.
func (f *fleet) setIsolated(isolated bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isolated = isolated
}
