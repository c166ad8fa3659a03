package faults_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOutageLapsesNobody guards against takeovers from live instances after an
// outage of the platform, during which no lease could be renewed. It has instances
// in two data centres. An instance killed after the outage must be taken over.
func TestOutageLapsesNobody(t *testing.T) {
	t.Parallel()
	for begin := range 12 { // so that outages end before each kind of read
		t.Run(strconv.Itoa(begin), func(t *testing.T) { runOutage(t, time.Duration(begin)*time.Second) })
	}
}

// runOutage runs a simulation with an outage that starts begin after the first 20 s.
func runOutage(t *testing.T, begin time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 2)
		sim.instances = append(sim.instances, sim.startInstance("c", "varese"))
		time.Sleep(20*time.Second + begin)
		sim.platform.outage(3 * faultDuration)
		time.Sleep(6 * faultDuration)
		for _, in := range sim.instances {
			require.Zero(t, in.takeovers.Load(), in.name)
		}
		sim.instances[0].kill()
		time.Sleep(2 * faultDuration)
		require.NotZero(t, sim.instances[1].takeovers.Load())
		cancel()
		sim.group.Wait()
		time.Sleep(2 * time.Hour) // calls to a platform that is down end by then
	})
}
