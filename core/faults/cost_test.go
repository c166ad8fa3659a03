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

// TestBenchStore prints what group commit costs and saves: the transactions of
// one instance and the latency it adds to a claim, at several rates of jobs and
// several limits on transactions. Writes of the fake table take 5 ms.
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
		c := commit.New(port{platform: p, life: newLife()}, clockwork.NewRealClock(), commit.Settings{Rate: limit})
		c.Divide(1)
		var run, group sync.WaitGroup
		run.Go(func() { c.Run(ctx) })
		var mutex sync.Mutex
		var took []time.Duration
		random := rand.New(rand.NewPCG(1, uint64(jobs)))
		for i := range jobs * seconds {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(jobs)))
			group.Go(func() {
				d := writeJob(c, i)
				mutex.Lock()
				took = append(took, d)
				mutex.Unlock()
			})
		}
		group.Wait()
		cancel()
		run.Wait()
		sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
		counts := c.Counts()
		name := fmt.Sprintf("%.0f", limit)
		if limit > 1e5 {
			name = "none"
		}
		fmt.Printf("%8s %10d %8.1f %10.1f %10.1f %10.1f\n", name, jobs, float64(counts.Transactions)/seconds,
			float64(counts.Rows)/float64(len(took)), ms(took[len(took)/2]), ms(took[len(took)*99/100]))
	})
}

// writeJob writes the changes of one job and returns how long the claim took.
func writeJob(c *commit.Committer, i int) time.Duration {
	row := claim.Row{Key: claim.JobKey(api.Key{Team: "crew", ID: fmt.Sprint(i)}), Owner: "a@1", Centre: centre, Nonce: fmt.Sprint(i, "c")}
	began := time.Now()
	o := <-c.Submit(claim.Claim(row, 0))
	took := time.Since(began)
	time.Sleep(100 * time.Millisecond)
	row.Nonce = fmt.Sprint(i, "m")
	o = <-c.Submit(claim.Extend(row, o.Version))
	time.Sleep(200 * time.Millisecond)
	row.Nonce, row.State = fmt.Sprint(i, "f"), api.Complete
	<-c.Submit(claim.Finish(row, o.Version))
	return took
}

func ms(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// TestBenchKills prints how many jobs a killed owner costs, by the number of
// tasks that are marked ahead of a worker's room. Without marks at all (the
// largest number) every task of an open job may have been started.
func TestBenchKills(t *testing.T) {
	const plays, jobs = 60, 6
	fmt.Printf("\nkills: %d kills of the owner of %d jobs of 6 tasks each, half of which wait\n", plays, jobs)
	fmt.Printf("%8s %10s %10s %10s %12s\n", "ahead", "complete", "failed", "lost/kill", "p50 ms")
	for _, ahead := range []int{0, 2, 1200} {
		states := make(map[api.State]int)
		var took []time.Duration
		for i := range plays {
			killOwner(t, ahead, jobs, time.Duration(20+i*11)*time.Millisecond, states)
			took = append(took, undisturbed(t, ahead, jobs)...)
		}
		sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
		fmt.Printf("%8d %10d %10d %10.2f %12.1f\n", ahead, states[api.Complete], states[api.Failed],
			float64(states[api.Failed])/plays, ms(took[len(took)/2]))
	}
}

// submitJobs submits jobs at the first instance and returns them.
func submitJobs(w *world, jobs int) *play {
	p := newPlay(w)
	base := p.job
	for i := range jobs {
		p.job = base
		p.job.ID = fmt.Sprintf("k%d", i)
		p.submit(0)
	}
	return p
}

func killOwner(t *testing.T, ahead, jobs int, after time.Duration, states map[api.State]int) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 2)
		w.instances[0].owner.Settings.Ahead = ahead
		w.platform.set(func(p *platform) { p.delay = 4 * time.Millisecond })
		time.Sleep(3 * time.Second)
		p := submitJobs(w, jobs)
		time.Sleep(after)
		w.instances[0].kill()
		time.Sleep(horizon)
		p.group.Wait()
		for key, r := range w.platform.rows {
			if strings.HasPrefix(key, claim.JobPrefix) {
				row, _ := claim.Decode(r)
				states[row.State]++
			}
		}
		cancel()
		w.group.Wait()
	})
}

func undisturbed(t *testing.T, ahead, jobs int) (took []time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 2)
		w.instances[0].owner.Settings.Ahead = ahead
		w.platform.set(func(p *platform) { p.delay = 4 * time.Millisecond })
		time.Sleep(3 * time.Second)
		p := submitJobs(w, jobs)
		p.group.Wait()
		for _, d := range p.told {
			took = append(took, d.answer.Took.Duration())
		}
		cancel()
		w.group.Wait()
	})
	return took
}
