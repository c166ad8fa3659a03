package main

import (
	"sync"
	"time"
)

// entryWithoutZone plays stored jobs of short tasks. The entries of ten runners in the directory are written
// by another writer, one after the other and each once, without their zones.
func entryWithoutZone(folder string) bool {
	w := newWorld(folder, threeZones)
	defer w.close()
	w.fleet(12, 2)
	var mu sync.Mutex
	var ids []string
	var clients sync.WaitGroup
	traffic := func(until time.Time) {
		for n := 0; time.Now().Before(until); n++ {
			clients.Go(func() {
				id := newID()
				j := w.submit(w.instances[n%6], id, behaviour{MS: 60}, step(8, 1000, 60), nil, 4*time.Second)
				if j.status == 200 {
					mu.Lock()
					ids = append(ids, id)
					mu.Unlock()
				}
			})
			time.Sleep(time.Second / 140)
		}
	}
	clients.Go(func() { traffic(time.Now().Add(40 * time.Second)) })
	time.Sleep(5 * time.Second)
	chosen := map[*runner]bool{}
	for n := 0; w.trouble && n < 10; n++ {
		r := w.busiest(func(r *runner) bool { return r.zone != w.zones[0] && !chosen[r] })
		chosen[r] = true
		beats := r.beats.Load()
		for r.beats.Load() == beats { // right after a heartbeat, so that the next one is 1.5 s away
			time.Sleep(5 * time.Millisecond)
		}
		entry := r.entry()
		delete(entry, "zone")
		w.store.put("servers", r.id, entry)
		w.note("world     the entry of runner %s is written once by another writer, without a zone", r.id)
		time.Sleep(2 * time.Second)
	}
	clients.Wait()
	time.Sleep(10 * time.Second)
	return w.repeated(ids) > 0
}

// busiest returns the runner with most runs of the last second, of those that may be chosen.
func (w *world) busiest(may func(*runner) bool) (best *runner) {
	count := map[string]int{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.places {
		if time.Since(p.began) < time.Second {
			count[p.runner]++
		}
	}
	for _, r := range w.runners {
		if may(r) && (best == nil || count[r.id] > count[best.id]) {
			best = r
		}
	}
	return best
}

// repeated returns how many tasks of stored jobs were started after a run of them had ended done, if that
// end was taken note of then or later.
func (w *world) repeated(ids []string) (broken int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		list := w.byJob[id]
		for n, p := range list {
			for _, q := range list[n+1:] {
				if p.task == q.task && p.how == "done" && p.noted && q.began.After(p.ended) {
					broken++
					w.note("check     %s: run %d began on %s %d ms after run %d was done on %s, which was taken note of: TWICE", p.task, q.n, q.runner, q.began.Sub(p.ended).Milliseconds(), p.n, p.runner)
				}
			}
		}
	}
	w.note("check     %d tasks of %d stored jobs were started again after they were done", broken, len(ids))
	return broken
}
