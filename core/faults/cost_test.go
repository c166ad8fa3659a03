//go:build bench

package faults_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
)

// TestBenchStore prints the transactions of one instance and the latency of claims
// with group commit, at several rates of jobs and several limits on transactions.
// Writes to the fake table take 5 ms.
func TestBenchStore(t *testing.T) {
	fmt.Println("\nstore: one instance, three changes a job (claim, mark, answer), a synced write takes 5 ms")
	fmt.Printf("%8s %10s %8s %10s %10s %10s\n", "limit/s", "jobs/s", "tx/s", "rows/job", "p50 ms", "p99 ms")
	for _, limit := range []float64{15, 30, 60, 1e6} {
		for _, jobs := range []int{5, 50, 400} {
			printStore(t, limit, jobs)
		}
	}
}

func printStore(t *testing.T, limit float64, jobs int) {
	t.Helper()
	const seconds = 20
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := newPlatform()
		p.delay = 4 * time.Millisecond
		c := commit.New(platformClient{platform: p, state: newInstanceState()}, clockwork.NewRealClock(), commit.Settings{MaxRate: limit})
		c.SetInstances(1)
		var run, group sync.WaitGroup
		run.Go(func() { c.Run(ctx) })
		var mutex sync.Mutex
		var latencies []time.Duration
		random := rand.New(rand.NewPCG(1, uint64(jobs)))
		for i := range jobs * seconds {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(jobs)))
			group.Go(func() {
				latency := writeJob(c, i)
				mutex.Lock()
				latencies = append(latencies, latency)
				mutex.Unlock()
			})
		}
		group.Wait()
		cancel()
		run.Wait()
		sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
		counts := c.Counts()
		name := fmt.Sprintf("%.0f", limit)
		if limit > 1e5 {
			name = "none"
		}
		fmt.Printf("%8s %10d %8.1f %10.1f %10.1f %10.1f\n", name, jobs, float64(counts.Transactions)/seconds,
			float64(counts.Rows)/float64(len(latencies)), ms(latencies[len(latencies)/2]), ms(latencies[len(latencies)*99/100]))
	})
}

// writeJob writes the changes of one job and returns the latency of the claim.
func writeJob(c *commit.Committer, i int) time.Duration {
	row := claim.Row{Key: claim.JobKey(api.Key{Team: "crew", ID: fmt.Sprint(i)}), Owner: "a@1", Centre: centre, Nonce: fmt.Sprint(i, "c")}
	start := time.Now()
	o := <-c.Submit(claim.Claim(row, 0))
	latency := time.Since(start)
	time.Sleep(100 * time.Millisecond)
	row.Nonce = fmt.Sprint(i, "m")
	o = <-c.Submit(claim.RaiseMark(row, o.Version))
	time.Sleep(200 * time.Millisecond)
	row.Nonce, row.State = fmt.Sprint(i, "f"), api.StateComplete
	<-c.Submit(claim.Finish(row, o.Version))
	return latency
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// TestBenchKills prints how many jobs are lost when their owner is killed, by the
// number of tasks that are marked ahead of the free capacity of a worker. With the
// largest number, which amounts to no marks, every task of an open job may have been
// started.
func TestBenchKills(t *testing.T) {
	const kills, jobs = 60, 6
	fmt.Printf("\nkills: %d kills of the owner of %d jobs of 6 tasks each, half of which wait\n", kills, jobs)
	fmt.Printf("%8s %10s %10s %10s %12s\n", "ahead", "complete", "failed", "lost/kill", "p50 ms")
	for _, ahead := range []int{0, 2, 1200} {
		states := make(map[api.State]int)
		var latencies []time.Duration
		for i := range kills {
			killOwner(t, ahead, jobs, time.Duration(20+i*11)*time.Millisecond, states)
			latencies = append(latencies, runUndisturbed(t, ahead, jobs)...)
		}
		sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
		fmt.Printf("%8d %10d %10d %10.2f %12.1f\n", ahead, states[api.StateComplete], states[api.StateFailed],
			float64(states[api.StateFailed])/kills, ms(latencies[len(latencies)/2]))
	}
}

// submitJobs submits jobs at the first instance and returns them.
func submitJobs(sim *simulation, jobs int) *driver {
	d := newDriver(sim)
	base := d.job
	for i := range jobs {
		d.job = base
		d.job.ID = fmt.Sprintf("k%d", i)
		d.submit(0)
	}
	return d
}

// killOwner kills the owner of jobs some time after their submission and counts the
// final states of the jobs in states.
func killOwner(t *testing.T, ahead, jobs int, after time.Duration, states map[api.State]int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 2)
		sim.instances[0].owner.Settings.MarkAhead = ahead
		sim.platform.update(func(p *platform) { p.delay = 4 * time.Millisecond })
		time.Sleep(3 * time.Second)
		d := submitJobs(sim, jobs)
		time.Sleep(after)
		sim.instances[0].kill()
		time.Sleep(horizon)
		d.group.Wait()
		for key, r := range sim.platform.rows {
			if strings.HasPrefix(key, claim.JobPrefix) {
				row, _ := claim.Decode(r)
				states[row.State]++
			}
		}
		cancel()
		sim.group.Wait()
	})
}

// runUndisturbed returns the latencies of jobs without a fault.
func runUndisturbed(t *testing.T, ahead, jobs int) (latencies []time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 2)
		sim.instances[0].owner.Settings.MarkAhead = ahead
		sim.platform.update(func(p *platform) { p.delay = 4 * time.Millisecond })
		time.Sleep(3 * time.Second)
		d := submitJobs(sim, jobs)
		d.group.Wait()
		for _, reply := range d.replies {
			latencies = append(latencies, reply.answer.Elapsed.Duration())
		}
		cancel()
		sim.group.Wait()
	})
	return latencies
}
