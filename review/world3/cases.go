package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

var threeZones = []string{"alpha", "beta", "gamma"}

// fleet starts runners and instances, so many for each zone, and waits until they are ready.
func (w *world) fleet(runners, instances int) {
	for z, zone := range w.zones {
		for n := range runners {
			w.startRunner(fmt.Sprintf("%s-%04x%04x", zone[:1], rand.IntN(1<<16), n), zone, fmt.Sprintf("r%d-%d", z, n/8), 32)
		}
	}
	for n := range instances * len(w.zones) {
		w.startInstance(w.zones[n%len(w.zones)])
	}
	w.awaitReady()
	time.Sleep(2 * time.Second)
}

func step(count, cpu int, estimate int64, more ...any) []map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, nMemory: 64, nEstimate: estimate}
	for i := 0; i < len(more); i += 2 {
		s[more[i].(string)] = more[i+1]
	}
	return []map[string]any{s}
}

// gangAfterFailures plays jobs that can never be done, and then a gang that more than half of the
// runners could hold several times over.
func gangAfterFailures(folder string) bool {
	w := newWorld(folder, threeZones)
	defer w.close()
	w.fleet(4, 1)
	var clients sync.WaitGroup
	hopeless := 0
	// 6 s of traffic, 12 jobs a second; 2 jobs of the last 3 s can never be done.
	for n := range 72 {
		bad := w.trouble && n >= 70
		if bad {
			hopeless++
		}
		clients.Go(func() {
			b := behaviour{MS: 60, Fails: bad}
			w.submit(w.instances[n%3], newID(), b, step(12, 14000, 60), nil, 4*time.Second)
		})
		time.Sleep(time.Second / 12)
	}
	clients.Wait()
	w.note("world     the jobs that can never be done are over in 8 s: %d of 36 in 3 s", hopeless)
	time.Sleep(8 * time.Second)
	id := newID()
	j := w.submit(w.instances[0], id, behaviour{MS: 500}, step(24, 1000, 500, "gang", true), nil, 4*time.Second)
	if j.status != 200 {
		must(fmt.Errorf("the gang was not accepted: %d", j.status))
	}
	return w.awaitStart(id, map[string]int{id: 1}, 40*time.Second)
}

// awaitStart waits until a run of a job begins, for a time that is longer than finish_s and the 3 s of the
// rule. It reports whether none has.
func (w *world) awaitStart(id string, cores map[string]int, limit time.Duration) (broken bool) {
	began := time.Now()
	for time.Since(began) < limit {
		time.Sleep(time.Second)
		now, all, _ := w.running(id)
		if all > 0 {
			time.Sleep(2 * time.Second)
			w.state(w.instances[0], id)
			w.note("check     job %s began %.1f s after it was accepted", id, time.Since(began).Seconds())
			return time.Since(began) > 19*time.Second
		}
		if int(time.Since(began).Seconds())%5 == 0 {
			w.note("check     job %s: %d runs now, %d in all; %.0f%% of the cores are in use", id, now, all, 100*w.inUse(cores))
		}
	}
	w.state(w.instances[1], id)
	w.note("check     job %s was accepted and has not begun in %.0f s: LOST", id, time.Since(began).Seconds())
	return true
}

// replicaElsewhere plays a lasting job with one task on each runner of a zone. One of these runners is lost
// for good; the other zones have idle runners.
func replicaElsewhere(folder string) bool {
	w := newWorld(folder, threeZones)
	defer w.close()
	w.fleet(12, 2)
	id := newID()
	j := w.submit(w.instances[0], id, behaviour{}, step(12, 4000, 1000, "anti_affinity", 1), map[string]any{"long_running": true}, 4*time.Second)
	if j.status != 200 {
		must(fmt.Errorf("the lasting job was not accepted: %d", j.status))
	}
	time.Sleep(6 * time.Second)
	if now, _, _ := w.running(id); now != 12 {
		must(fmt.Errorf("%d of 12 tasks run at first", now))
	}
	if w.trouble {
		w.mu.Lock()
		at := ""
		for _, p := range w.places {
			if p.ended.IsZero() {
				at = p.runner
			}
		}
		list := w.runners
		w.mu.Unlock()
		for _, r := range list {
			if r.id == at {
				w.note("world     runner %s is lost for good: 1 of %d", at, len(list))
				r.crash()
			}
		}
	}
	short, longest, shortFrom := false, time.Duration(0), time.Time{}
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(200 * time.Millisecond) {
		now, _, _ := w.running(id)
		if now == 12 {
			short = false
			continue
		}
		if !short {
			short, shortFrom = true, time.Now()
		}
		longest = max(longest, time.Since(shortFrom))
	}
	w.state(w.instances[0], id)
	now, all, _ := w.running(id)
	w.note("check     %d of 12 tasks run, %d runs in all; %.0f%% of the cores are in use; longest without 12: %.1f s", now, all, 100*w.inUse(map[string]int{id: 4}), longest.Seconds())
	return longest > 13*time.Second
}

// cancelElsewhere plays jobs that need not be stored and are cancelled at another instance.
func cancelElsewhere(folder string) bool {
	w := newWorld(folder, []string{"alpha", "beta", "gamma", "delta"})
	defer w.close()
	w.fleet(12, 2)
	broken := 0
	var clients sync.WaitGroup
	type cancelled struct {
		id     string
		status int
		at     time.Time
	}
	list := make([]cancelled, 60)
	for n := range list {
		id := newID()
		clients.Go(func() {
			w.submit(w.instances[n%8], id, behaviour{MS: 9000}, step(2, 1000, 9000), map[string]any{nTransient: true}, 14*time.Second)
		})
		if w.trouble && n%3 == 0 {
			clients.Go(func() {
				time.Sleep(time.Second)
				status, _ := w.call(w.instances[(n+1)%8], "DELETE", id, nil, 1500*time.Millisecond)
				w.note("%-9s DELETE %s at %s: %d", "client", id, w.instances[(n+1)%8].name, status)
				list[n] = cancelled{id, status, time.Now()}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	for _, c := range list {
		if c.status != 200 && c.status != 410 {
			continue
		}
		w.mu.Lock()
		late := time.Duration(0)
		for _, p := range w.places {
			if p.task[:16] == c.id {
				late = max(late, p.ended.Sub(c.at))
			}
		}
		w.mu.Unlock()
		if late > 3050*time.Millisecond {
			broken++
			w.note("check     job %s: a task ran on %.1f s after its cancel was answered with %d: UNASKED", c.id, late.Seconds(), c.status)
		}
	}
	return broken > 0
}
