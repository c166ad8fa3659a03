package main

import (
	"fmt"
	"time"
)

// entryWithoutZone plays lasting jobs of which at most one task may be unavailable. The entry of one runner
// in the directory is once written by another writer, without its zone.
func entryWithoutZone(folder string) bool {
	w := newWorld(folder, threeZones)
	defer w.close()
	w.fleet(12, 2)
	const tasks = 6
	var ids []string
	for n := range 12 {
		id := newID()
		ids = append(ids, id)
		j := w.submit(w.instances[n%6], id, behaviour{}, step(tasks, 4000, 1000, "max_unavailable", 1), map[string]any{"long_running": true}, 4*time.Second)
		if j.status != 200 {
			must(fmt.Errorf("a lasting job was not accepted: %d", j.status))
		}
	}
	time.Sleep(8 * time.Second)
	// The runner with most tasks of one job, outside the zone whose name comes first.
	most, at := 0, ""
	for _, id := range ids {
		count := map[string]int{}
		w.mu.Lock()
		for _, p := range w.byJob[id] {
			if p.ended.IsZero() && p.runner[0] != 'a' {
				count[p.runner]++
				if count[p.runner] > most {
					most, at = count[p.runner], p.runner
				}
			}
		}
		w.mu.Unlock()
	}
	if most < 2 {
		must(fmt.Errorf("no runner outside the first zone has two tasks of one job"))
	}
	from := time.Now()
	if w.trouble {
		var r *runner
		for _, o := range w.runners {
			if o.id == at {
				r = o
			}
		}
		beats := r.beats.Load()
		for r.beats.Load() == beats { // right after a heartbeat, so that the next one is 1.5 s away
			time.Sleep(5 * time.Millisecond)
		}
		from = time.Now()
		w.note("world     the entry of runner %s is written once by another writer, without a zone; %d tasks of one job run there", at, most)
		entry := r.entry()
		delete(entry, "zone")
		w.store.put("servers", r.id, entry)
	}
	time.Sleep(12 * time.Second)
	return w.unavailable(ids, from, 1) > 0
}

// unavailable returns how many tasks at work were stopped while as many others of their step as may be
// unavailable had been ended by such an order and were not at work again.
func (w *world) unavailable(ids []string, from time.Time, allowed int) (broken int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		for _, p := range w.byJob[id] {
			if p.how != "stopped" || p.ended.Before(from) || p.ended.Sub(p.began) < startupTime {
				continue
			}
			away := 0
			for _, o := range w.byJob[id] {
				if o.task == p.task || o.how != "stopped" || o.ended.Before(from) || o.ended.After(p.ended) || (o.ended.Equal(p.ended) && o.task > p.task) {
					continue
				}
				back := false
				for _, q := range w.byJob[id] {
					back = back || (q.task == o.task && q.began.After(o.ended) && q.began.Add(startupTime).Before(p.ended))
				}
				if !back {
					away++
				}
			}
			if away >= allowed {
				broken++
				w.note("check     %s was stopped on %s while %d others of its step were away: AVAIL", p.task, p.runner, away)
			}
		}
	}
	w.note("check     %d tasks were stopped beyond what may be unavailable", broken)
	return broken
}
