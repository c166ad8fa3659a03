package cell_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/work"
)

// cells is several worlds, of one cell each, that share their jobs and run side by side.
type cells []*world

// newCells returns the worlds of the cells c0, c1 and so on, with runners of their own, and takes
// each over.
func newCells(seed uint64, count, runners int) cells {
	var list cells
	for n := range count {
		w := newWorld(seed+uint64(n), 0, 32000)
		w.cellName = fmt.Sprintf("c%d", n)
		w.store.cellName = w.cellName
		for i := range runners {
			id := fmt.Sprintf("%s-r%d", w.cellName, i)
			w.runners[id] = newSimRunner(w, id, 32000)
			w.runners[id].label, w.runners[id].zone = w.cellName, w.cellName
		}
		list = append(list, w)
	}
	for _, w := range list {
		w.others = map[string]*world{}
		for _, other := range list {
			if other != w {
				w.others[other.cellName] = other
			}
		}
		first := list[0]
		w.submitted, w.finished, w.lastRuns = first.submitted, first.finished, first.lastRuns
		w.ackedFinished, w.ackedFailures = first.ackedFinished, first.ackedFailures
		w.takeOver()
	}
	list.run(time.Second)
	return list
}

// run advances the clocks of all cells by d, together.
func (l cells) run(d time.Duration) {
	const step = time.Millisecond
	for ; d > 0; d -= step {
		for _, w := range l {
			w.run(min(step, d))
		}
	}
}

// violations returns those of all cells.
func (l cells) violations() []string {
	var list []string
	for _, w := range l {
		for _, v := range w.violations {
			list = append(list, w.cellName+" "+v)
		}
	}
	return list
}

// rowsLeft returns all rows of jobs and their progress.
func (l cells) rowsLeft() []string {
	var keys []string
	for _, w := range l {
		for _, row := range append(w.store.scan(w.cellName+"/jobs/"), w.store.scan(w.cellName+"/progress/")...) {
			keys = append(keys, row.Key+" "+string(row.Value))
		}
	}
	return keys
}

// cancel cancels a job at its home, or in the cell that has it, until its end is stored.
func (l cells) cancel(id string, done func(work.State)) {
	var attempt func()
	attempt = func() {
		w := l[0]
		if to := w.holder().cell.MovedTo(id); to != "" {
			w = w.others[to]
		}
		p := w.holder()
		p.exec(func() {
			p.cell.Cancel(w.now, id, func(s work.State, stored bool) {
				if stored && s != work.Unknown {
					done(s)
					return
				}
				w.after(50*time.Millisecond, attempt)
			})
		})
		if p.killed {
			w.after(50*time.Millisecond, attempt)
		}
	}
	attempt()
}

// call carries a call to the holder of another cell and its reply back. A lost call or reply is
// answered by none after a second.
func call(p *process, to string, do func(p *process, reply func(answer func())), none func()) {
	w, other := p.world, p.world.others[to]
	replied := false
	reply := func(answer func()) {
		w.after(w.jitter(), func() {
			if !replied {
				replied = true
				p.exec(answer)
			}
		})
	}
	w.after(time.Second, func() { reply(none) })
	if w.chance(w.faults.lostReply) {
		return
	}
	lost := w.chance(w.faults.lostReply)
	other.after(other.jitter(), func() {
		holder := other.holder()
		holder.exec(func() {
			do(holder, func(answer func()) {
				if !lost {
					reply(answer)
				}
			})
		})
	})
}

func (p *process) Search(q cell.Query) {
	var answers []cell.Answer
	for _, to := range slices.Sorted(maps.Keys(p.world.others)) {
		call(p, to, func(other *process, reply func(func())) {
			if a, ok := other.cell.Answers(other.world.now, q); ok {
				reply(func() { answers = append(answers, a) })
			}
		}, func() {})
	}
	p.world.after(20*time.Millisecond, func() {
		p.exec(func() { cell.SearchReply{Query: q, Answers: answers}.Apply(p.cell, p.world.now) })
	})
}

func (p *process) Move(to string, m cell.MovedJob) {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	done := func(stored bool) func() {
		return func() {
			cell.MoveReply{To: to, ID: m.Job.ID, Number: m.Place.Number, Stored: stored}.Apply(p.cell, p.world.now)
		}
	}
	call(p, to, func(other *process, reply func(func())) {
		var received cell.MovedJob
		if err := json.Unmarshal(raw, &received); err != nil {
			panic(err)
		}
		other.cell.Take(other.world.now, received, func(stored bool) { reply(done(stored)) })
	}, done(false))
}

func (p *process) ReportEnds(to string, ends []cell.MovedEnd) {
	from := p.world.cellName
	call(p, to, func(other *process, reply func(func())) {
		noted := other.cell.NoteEnds(other.world.now, from, ends)
		reply(func() { cell.EndsReply{Noted: noted}.Apply(p.cell, p.world.now) })
	}, func() {})
}
