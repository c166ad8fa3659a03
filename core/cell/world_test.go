package cell_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"gypsumward/core/cell"
	"gypsumward/core/order"
	"gypsumward/core/table"
	"gypsumward/core/work"
)

// world is a store, runners and one or more holders on one virtual clock. It records
// what breaks a promise.
type world struct {
	rng     *rand.Rand
	now     time.Time
	queue   events
	seq     int
	store   *rows
	runners map[string]*simRunner
	ports   []*port // holders so far; the last one holds the cell
	broken  []string
	faults  faults
	from    map[work.Task]string // checkpoint that the last run of a task was given
	asking  int                  // questions to the adviser that are open

	asked    map[string]*work.Job
	ended    map[work.Task]bool         // tasks of which a run has ended as done
	done     map[string]bool            // tasks whose end as done was acknowledged for good
	failures map[work.Task]map[int]bool // acknowledged failed runs by task or gang
	answers  map[string]cell.Outcome
	open     map[string]bool   // jobs whose caller still waits
	hows     map[order.How]int // ends so far
}

// faults are the odds of what goes wrong with one call.
type faults struct {
	lost  float64 // the answer of an order is lost
	late  float64 // an order is carried out seconds later, without an answer
	write float64 // the answer of a write is lost
	again float64 // an accepted job is handed in again up to 3 s later
	delay time.Duration
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newWorld(seed uint64, runners int, cpu int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		store: &rows{values: map[string]table.Row{}}, runners: map[string]*simRunner{},
		ended: map[work.Task]bool{},
		asked: map[string]*work.Job{}, done: map[string]bool{}, failures: map[work.Task]map[int]bool{}, hows: map[order.How]int{}, from: map[work.Task]string{},
		answers: map[string]cell.Outcome{}, open: map[string]bool{},
		faults: faults{delay: 2 * time.Millisecond},
	}
	for i := range runners {
		id := fmt.Sprintf("r%d", i)
		w.runners[id] = newSimRunner(w, id, cpu)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run plays until a time from now.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) jitter() time.Duration {
	return w.faults.delay/2 + time.Duration(w.rng.Int64N(int64(w.faults.delay)))
}

// heal ends all faults. A holder that was killed or cannot write is replaced.
func (w *world) heal() {
	w.faults = faults{delay: 2 * time.Millisecond}
	w.store.down = false
	for _, r := range w.runners {
		r.cut, r.fails, r.hangs, r.unfit, r.slow = false, false, false, false, 1
		r.takeBack()
	}
	p := w.holder()
	if p.gone || p.cut || len(p.blind) > 0 || p.slow > 0 {
		w.takeOver()
		p.release()
	}
}

// holder returns the port that holds the cell.
func (w *world) holder() *port { return w.ports[len(w.ports)-1] }

// takeOver makes a new holder, whose row is put now.
func (w *world) takeOver() *port {
	p := &port{world: w, round: len(w.ports) + 1}
	key := "c0/cells/holder"
	w.store.version++
	w.store.values[key] = table.Row{Key: key, Version: w.store.version, Value: json.RawMessage(`1`)}
	former := 0
	if p.round > 1 {
		former = len(w.runners)
	}
	p.cell = cell.New(cell.Tenure{Name: "c0", Row: "c0/cells/holder", Epoch: w.store.version, Round: p.round, Runners: former}, cell.Settings{}, w.now)
	p.epoch = w.store.version
	p.cell.Orders, p.cell.Store, p.cell.Adviser = p, p, p
	w.asking = 0
	p.cell.Wall = func() int64 { return w.now.UnixMilli() }
	w.ports = append(w.ports, p)
	p.tell(func() { p.cell.UpdateDirectory(w.now, w.listings()) })
	w.after(3*w.jitter(), func() {
		jobs, progress := w.store.scan("c0/jobs/"), w.store.scan("c0/progress/")
		w.after(w.jitter(), func() { p.tell(func() { p.cell.Load(w.now, jobs, progress) }) })
		ends := w.store.scan("c0/ends/")
		w.after(time.Second, func() { p.tell(func() { p.cell.LoadEnds(w.now, ends) }) })
	})
	p.renew()
	p.tick()
	return p
}

func (w *world) listings() []cell.Listing {
	var list []cell.Listing
	for _, id := range slices.Sorted(maps.Keys(w.runners)) {
		if r := w.runners[id]; r.listed {
			list = append(list, r.listing())
		}
	}
	return list
}

// relist tells the holder of the list of runners as it is.
func (w *world) relist() {
	p := w.holder()
	p.tell(func() { p.cell.UpdateDirectory(w.now, w.listings()) })
}

// submit hands a job in and goes from holder to holder until it is answered.
func (w *world) submit(j *work.Job) {
	w.asked[j.ID] = j
	w.open[j.ID] = true
	w.hand(j, false, 0)
}

func (w *world) hand(j *work.Job, again bool, tries int) {
	p := w.holder()
	told := false
	answer := func(o cell.Outcome) {
		if told || !w.open[j.ID] {
			return
		}
		told = true
		if o.Verdict == cell.Accepted || (o.Verdict == cell.Refused && !again) {
			w.open[j.ID] = false
			w.answers[j.ID] = o
			if o.Verdict == cell.Accepted && w.chance(w.faults.again) {
				w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() { w.repeat(j) })
			}
			return
		}
		w.after(20*time.Millisecond, func() { w.hand(j, again || o.Verdict == cell.Open, tries+1) })
	}
	caller := fmt.Sprintf("%s/%d", j.ID, tries)
	if p.gone {
		answer(cell.Outcome{Verdict: cell.HandingOver})
		return
	}
	p.waiting = append(p.waiting, func() { answer(cell.Outcome{Verdict: cell.Open}) })
	p.tell(func() {
		p.cell.Submit(w.now, cell.Handed{Job: *j, Caller: caller, Again: again}, func(o cell.Outcome) {
			w.after(w.jitter(), func() { answer(o) })
		})
	})
}

// repeat hands a stored job in once more, and checks that it is accepted or open.
func (w *world) repeat(j *work.Job) {
	p := w.holder()
	if j.Transient || p.gone {
		return
	}
	p.tell(func() {
		p.cell.Submit(w.now, cell.Handed{Job: *j, Caller: "again"}, func(o cell.Outcome) {
			// An instance looks for the rows of a job before it says that it is not accepted.
			if o.Verdict == cell.Refused && w.store.state(j.ID) == work.Unknown {
				w.breaks("REFUSED %s again", j.ID)
			}
		})
	})
}

// port joins one holder to the world.
type port struct {
	blind   map[string]bool // runners that it cannot reach
	slow    time.Duration   // that its writes take besides
	world   *world
	cell    *cell.Cell
	epoch   int64
	round   int
	gone    bool // killed
	cut     bool // from the store
	frozen  time.Time
	waiting []func() // callers that hear of its end
	holds   int      // sent
}

// tell does something in the goroutine of the holder: not after it was killed, and
// later if it is frozen.
func (p *port) tell(do func()) {
	if p.gone {
		return
	}
	if p.world.now.Before(p.frozen) {
		p.world.after(p.frozen.Sub(p.world.now), func() { p.tell(do) })
		return
	}
	do()
	p.cell.Settle(p.world.now)
}

func (p *port) tick() {
	if p.gone || p.cell.Deposed() {
		return
	}
	p.tell(func() { p.cell.Tick(p.world.now) })
	p.world.after(20*time.Millisecond, p.tick)
}

const simTenure = 600 * time.Millisecond // of a sign of life, from its sending

// renew writes a sign of life, as the keeper does.
func (p *port) renew() {
	if p.gone || p.cell.Deposed() {
		return
	}
	sent := p.world.now
	p.tell(func() {
		if !p.cut && !p.world.store.down && p.world.store.values["c0/cells/holder"].Version == p.epoch {
			p.cell.Lease(sent.Add(simTenure))
		}
	})
	p.world.after(300*time.Millisecond, p.renew)
}

// kill ends the process of the holder; its callers notice.
func (p *port) kill() {
	p.gone = true
	p.release()
}

// release tells the callers of the holder that its connection is broken.
func (p *port) release() {
	for _, w := range p.waiting {
		p.world.after(p.world.jitter(), w)
	}
	p.waiting = nil
}

func (p *port) Start(to order.Target, s order.Start) {
	send(p, to, func(r *simRunner) order.Reply { return r.start(s) }, 1500*time.Millisecond,
		func(v order.Reply) { p.cell.StartAnswered(p.world.now, to.ID, s, v) })
}

func (p *port) Stop(to order.Target, s order.Stop) {
	send(p, to, func(r *simRunner) order.Reply { return r.stop(s) }, 1500*time.Millisecond,
		func(v order.Reply) { p.cell.StopAnswered(p.world.now, to.ID, s, v) })
}

const holdTimeout = 400 * time.Millisecond // besides what a hold waits

func (p *port) Hold(to order.Target, h order.Hold, ticket int64) {
	w := p.world
	told := false
	answer := func(v order.Held) {
		if !told {
			told = true
			p.tell(func() { p.cell.HoldAnswered(w.now, to.ID, h, ticket, v) })
		}
	}
	w.after(h.Wait+holdTimeout, func() { answer(order.Held{}) })
	p.holds++
	lost := w.chance(w.faults.lost)
	w.after(w.jitter(), func() {
		r := w.runners[to.ID]
		if r == nil || r.cut || r.dead || p.blind[to.ID] {
			w.after(r.failTime(h.Wait+holdTimeout), func() { answer(order.Held{}) })
			return
		}
		if r.foreign {
			w.after(w.jitter(), func() { answer(order.Held{Verdict: order.Other}) })
			return
		}
		r.hold(h, func(v order.Held) {
			if lost {
				return
			}
			w.after(w.jitter(), func() { answer(v) })
		})
	})
}

// send carries an order to a runner and its answer back, or loses either.
func send(p *port, to order.Target, do func(*simRunner) order.Reply, timeout time.Duration, answer func(order.Reply)) {
	w := p.world
	none := order.Reply{}
	fail := func() { w.after(w.runners[to.ID].failTime(timeout), func() { p.tell(func() { answer(none) }) }) }
	if w.chance(w.faults.late) {
		life := 0
		if r := w.runners[to.ID]; r != nil {
			life = r.life
		}
		w.after(2*time.Second+time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
			// One that meets a later life comes before any token that could fence it.
			if r := w.runners[to.ID]; r != nil && !r.cut && !r.dead && !r.foreign && r.life == life {
				do(r)
			}
		})
		fail()
		return
	}
	lost := w.chance(w.faults.lost)
	w.after(w.jitter(), func() {
		r := w.runners[to.ID]
		if r == nil || r.cut || r.dead || p.blind[to.ID] {
			fail()
			return
		}
		v := order.Reply{Verdict: order.Other}
		if !r.foreign {
			v = do(r)
		}
		if lost {
			fail()
			return
		}
		w.after(w.jitter(), func() { p.tell(func() { answer(v) }) })
	})
}

// Write carries a transaction to the store.
func (p *port) Write(number int64, tx table.Write) {
	w := p.world
	answer := func(a cell.Answer) { p.tell(func() { p.cell.WriteAnswered(w.now, number, a) }) }
	lost := w.chance(w.faults.write)
	if first := tx.Ops[0]; first.Key != "c0/cells/holder" || first.If != p.epoch {
		w.breaks("a write without the condition of the holder")
	}
	w.after(4*w.jitter()+p.slow, func() {
		if p.cut || w.store.down {
			w.after(w.jitter(), func() { answer(cell.Answer{Failed: true, Not: !lost}) })
			return
		}
		late := lost && w.rng.IntN(2) == 0
		if late { // it takes effect seconds later, if its conditions still hold
			w.after(time.Second+time.Duration(w.rng.Int64N(int64(4*time.Second))), func() { w.store.write(tx) })
			w.after(800*time.Millisecond, func() { answer(cell.Answer{Failed: true}) })
			return
		}
		written := w.store.write(tx)
		if lost {
			w.after(800*time.Millisecond, func() { answer(cell.Answer{Failed: true}) })
			return
		}
		w.after(w.jitter(), func() { answer(cell.Answer{Written: written}) })
	})
}

// rows is a store.
type rows struct {
	values  map[string]table.Row
	version int64
	down    bool
}

func (s *rows) write(tx table.Write) table.Written {
	var conflict []table.Row
	for _, op := range tx.Ops {
		row := s.values[op.Key]
		if op.If != table.Any && op.If != row.Version {
			row.Key = op.Key
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflict: conflict}
	}
	s.version++
	for _, op := range tx.Ops {
		switch {
		case op.Check:
		case op.Delete:
			delete(s.values, op.Key)
		default:
			s.values[op.Key] = table.Row{Key: op.Key, Version: s.version, Value: op.Value}
		}
	}
	return table.Written{Done: true, Version: s.version}
}

func (s *rows) scan(prefix string) []table.Row {
	var found []table.Row
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, s.values[key])
		}
	}
	return found
}

// state returns the state of a job as the rows tell it.
func (s *rows) state(id string) work.State {
	if row, ok := s.values["c0/ends/"+id]; ok {
		var e cell.Ended
		if json.Unmarshal(row.Value, &e) == nil {
			return e.State
		}
	}
	if _, ok := s.values["c0/jobs/"+id]; ok {
		return work.Running
	}
	return work.Unknown
}

// newRow returns the write of a row that is absent.
func newRow(key string, v any) table.Write {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return table.Write{Ops: []table.Op{{Key: key, Value: value}}}
}
