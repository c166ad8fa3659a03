package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// runnerFaults are the disturbances of a runner.
type runnerFaults struct {
	late  atomic.Bool // orders get no answer and are carried out 2 to 12 s later
	busy  atomic.Bool // orders to start get 503
	fails atomic.Bool // all that starts fails
}

// disturb reports whether it has dealt with an order.
func (r *runner) disturb(w http.ResponseWriter, q *http.Request, b map[string]any) bool {
	if q.URL.Path == nStart && r.faults.busy.Load() {
		r.answer(w, http.StatusServiceUnavailable, map[string]any{})
		return true
	}
	if r.faults.late.Load() && rand.IntN(2) == 0 {
		later := q.Clone(q.Context())
		go func() {
			time.Sleep(2*time.Second + time.Duration(rand.IntN(10000))*time.Millisecond)
			var nobody discard
			r.w.note("%-9s a late order is carried out on %s: %s %v", "runner", r.id, later.URL.Path, b)
			if r.isGone() {
				return
			}
			r.handle(&nobody, later.WithContext(done()), b)
		}()
		if h, ok := w.(http.Hijacker); ok {
			if c, _, err := h.Hijack(); err == nil {
				time.AfterFunc(time.Duration(rand.IntN(1500))*time.Millisecond, func() { _ = c.Close() })
			}
		}
		return true
	}
	return false
}

type discard struct{ header http.Header }

func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

// broken records that a rule was broken.
func (w *world) broken(rule, format string, args ...any) {
	w.breaks.Add(1)
	w.note("check     BROKEN %s: "+format, append([]any{rule}, args...)...)
}

// taskOf splits the name of a task.
func taskOf(task string) (job string, k, step, index int) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return task, -1, -1, -1
	}
	k, _ = strconv.Atoi(f[1])
	step, _ = strconv.Atoi(f[2])
	index, _ = strconv.Atoi(f[3])
	return f[0], k, step, index
}

// checkStart checks the rules at the start of a run. The caller holds the lock of the runner.
func (w *world) checkStart(r *runner, x *run, spec string) {
	if !w.strict {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[x.job]
	_, k, s, index := taskOf(x.task)
	if j == nil || s < 0 || s >= len(j.steps) || index >= j.steps[s]["count"].(int) || k >= max(1, j.repeats) {
		w.broken("UNASKED", "%s run %d on %s", x.task, x.n, r.id)
		return
	}
	if j.spec != spec {
		w.broken("UNASKED", "%s has another spec", x.task)
	}
	if j.posts > 0 && j.posts == j.rejects {
		w.broken("REFUSED", "%s starts, all %d attempts were rejected", x.task, j.posts)
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > 3*time.Second {
		w.broken("UNASKED", "%s starts %.1f s after the cancel of its job was acknowledged", x.task, now.Sub(j.cancelled).Seconds())
	}
	if j.repeats > 0 {
		if due := j.first + int64(k)*j.interval; now.UnixMilli() < due-250 {
			w.broken("ORDER", "%s starts %d ms early", x.task, due-now.UnixMilli())
		}
	}
	if !j.shown.IsZero() && now.Sub(j.shown) > time.Second && !j.lasts {
		w.broken("TWICE", "%s starts %.1f s after its job was shown as %s", x.task, now.Sub(j.shown).Seconds(), j.shownAs)
	}
	fails := map[int64]bool{}
	for _, p := range w.byJob[x.job] {
		if p.task == x.task {
			if p.ended.IsZero() && !j.lasts {
				w.broken("TWICE", "%s run %d on %s, run %d is alive on %s", x.task, x.n, r.id, p.n, p.runner)
			} else if p.ended.IsZero() {
				w.broken("TWICE", "%s (lasting) run %d on %s, run %d is alive on %s", x.task, x.n, r.id, p.n, p.runner)
			}
			if p.how == "done" && p.noted && !j.lasts && !j.transient {
				w.broken("TWICE", "%s run %d on %s after run %d on %s was done and noted", x.task, x.n, r.id, p.n, p.runner)
			}
			if p.how == "failed" && p.noted {
				fails[p.n] = true
			}
		}
	}
	if len(fails) >= 4 && !j.lasts && !j.transient {
		w.broken("BUDGET", "%s run %d after %d failures", x.task, x.n, len(fails))
	}
	after, _ := j.steps[s]["after"].([]int)
	for _, a := range after {
		done := map[string]bool{}
		gang := j.steps[a]["gang"] == true
		for _, p := range w.byJob[x.job] {
			if _, pk, ps, _ := taskOf(p.task); pk == k && ps == a && p.how == "done" {
				done[p.task] = true
			}
		}
		if len(done) < j.steps[a]["count"].(int) && !(gang && len(done) > 0) {
			w.broken("ORDER", "%s starts, %d of %d tasks of step %d are done", x.task, len(done), j.steps[a]["count"], a)
		}
	}
	cpu := 0
	for _, y := range r.runs {
		cpu += w.cpuOf(y)
	}
	if cpu+w.cpuOf(x) > r.cores*1000 {
		w.broken("LIMIT", "%s on %s: %d + %d", x.task, r.id, cpu, w.cpuOf(x))
	}
	if label, _ := j.steps[s]["required_label"].(string); label != "" && label != r.rack && label != "a" {
		w.broken("ROUTE", "%s on %s", x.task, r.id)
	}
}

func (w *world) cpuOf(x *run) int {
	j := w.jobs[x.job]
	if j == nil || x.step >= len(j.steps) || j.steps[x.step]["fills"] == true {
		return 0
	}
	return j.steps[x.step]["cpu"].(int)
}

// noted records that an end was taken note of. The caller holds the lock of the runner.
func (w *world) noted(r *runner, e end) {
	if r.lapsedAt.After(e.at) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	job, _, _, _ := taskOf(e.task)
	for _, p := range w.byJob[job] {
		if p.task == e.task && p.n == e.run && p.runner == r.id {
			p.noted = true
			if j := w.jobs[job]; w.strict && j != nil && !j.lasts && !j.transient && e.how == "done" {
				for _, later := range w.byJob[job] {
					if later.task == p.task && later.began.After(p.ended) {
						w.broken("TWICE", "%s run %d on %s had started after run %d on %s was done, which is noted now", e.task, later.n, later.runner, p.n, p.runner)
					}
				}
			}
		}
	}
}

// storeFront is the store as one instance reaches it.
type storeFront struct {
	w    *world
	busy atomic.Bool // 503
	dead atomic.Bool // reset
	lost atomic.Bool // writes are done and not answered
	late atomic.Bool // of these, some are done later
	slow atomic.Bool
}

func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	drop := func() {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
	}
	switch {
	case f.busy.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.dead.Load():
		drop()
	case f.slow.Load():
		time.Sleep(240 * time.Millisecond)
		f.w.store.ServeHTTP(w, r)
	case f.lost.Load() && r.URL.Path == nTx && rand.IntN(3) == 0:
		var b []byte
		if r.Body != nil {
			b = readAll(r)
		}
		later := time.Duration(0)
		if f.late.Load() {
			later = time.Duration(1000+rand.IntN(5000)) * time.Millisecond
		}
		go func() {
			time.Sleep(later)
			q, _ := http.NewRequest(http.MethodPost, r.URL.String(), strings.NewReader(string(b)))
			f.w.store.ServeHTTP(&discard{}, q)
		}()
		time.Sleep(20 * time.Millisecond)
		drop()
	default:
		f.w.store.ServeHTTP(w, r)
	}
}

// front gives an instance an address of the store of its own.
func (w *world) front() (*storeFront, string) {
	f := &storeFront{w: w}
	l, err := net.Listen("tcp", w.ip(1)+":0")
	must(err)
	go func() { _ = (&http.Server{Handler: f}).Serve(l) }()
	w.fronts = append(w.fronts, f)
	return f, l.Addr().String()
}

// chaos plays random jobs of all kinds under random disruptions, one or two at a time.
func chaos(folder string) bool {
	seed := uint64(time.Now().UnixNano())
	if s := os.Getenv("SEED"); s != "" {
		seed, _ = strconv.ParseUint(s, 10, 64)
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	zones := threeZones
	runners, instances := 12, 2
	if os.Getenv("SMALL") != "" {
		runners, instances = 4, 1
	}
	w := newWorld(folder, zones)
	defer w.close()
	w.strict = true
	w.note("world     seed %d", seed)
	w.fleet(runners, instances)
	length := 60 * time.Second
	if s := os.Getenv("LENGTH"); s != "" {
		n, _ := strconv.Atoi(s)
		length = time.Duration(n) * time.Second
	}
	only := os.Getenv("FAULTS")
	end := time.Now().Add(length)
	var clients sync.WaitGroup
	clients.Go(func() { w.disrupt(rand.New(rand.NewPCG(seed, 2)), end.Add(-8*time.Second), only) })
	for time.Now().Before(end) {
		kind := rnd.IntN(100)
		client := rand.New(rand.NewPCG(rnd.Uint64(), 3))
		clients.Go(func() { w.client(client, kind, end) })
		time.Sleep(time.Duration(40+rnd.IntN(120)) * time.Millisecond)
	}
	clients.Wait()
	w.note("world     the traffic has ended")
	for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(500 * time.Millisecond) {
		if w.open(false) == 0 {
			break
		}
	}
	w.open(true)
	for _, i := range w.instances {
		if out, err := exec.Command("grep", "-aE", "event=panic|panic:|fatal error|DATA RACE", i.log).CombinedOutput(); err == nil {
			w.broken("PANIC", "%s: %.600s", i.name, out)
		}
	}
	return w.breaks.Load() > 0
}

// open asks for all accepted jobs that nobody has cancelled and returns how many have not ended as they
// must. It records them if report is true.
func (w *world) open(report bool) int {
	w.mu.Lock()
	var list []*job
	for _, j := range w.jobs {
		if j.status == 200 && !j.transient && j.cancelSent.IsZero() {
			list = append(list, j)
		}
	}
	w.mu.Unlock()
	n := 0
	for _, j := range list {
		if j.final {
			continue
		}
		state := w.stateQuiet(w.instances[rand.IntN(len(w.instances))], j.id)
		want := "succeeded"
		if j.hopeless {
			want = "failed"
		}
		if j.lasts {
			want = "running"
		}
		if state == want {
			j.final = !j.lasts
			if j.lasts {
				if now, _, _ := w.running(j.id); now != j.steps[0]["count"].(int) {
					n++
					if report {
						w.broken("LOST", "lasting job %s has %d of %v tasks", j.id, now, j.steps[0]["count"])
					}
				}
			}
			continue
		}
		n++
		if report {
			w.broken("LOST", "job %s is %q, not %s", j.id, state, want)
		}
	}
	return n
}

func (w *world) stateQuiet(i *instance, id string) string {
	status, answer := w.call(i, http.MethodGet, id, nil, 1500*time.Millisecond)
	var s struct{ State string }
	_ = json.Unmarshal([]byte(answer), &s)
	if status == http.StatusGone {
		return "410"
	}
	if status != 200 {
		return fmt.Sprint(status)
	}
	return s.State
}

// client hands one job in, again after no answer, a 502 or a 504, and asks for it now and then.
func (w *world) client(rnd *rand.Rand, kind int, end time.Time) {
	id := newID()
	b := behaviour{MS: int64(50 + rnd.IntN(900))}
	s := step(1+rnd.IntN(8), 1000*(1+rnd.IntN(14)), b.MS)
	extra := map[string]any{}
	j := &job{id: id}
	switch {
	case kind < 25:
		extra[nTransient], j.transient = true, true
	case kind < 45:
	case kind < 55:
		s = append(s, step(1+rnd.IntN(5), 2000, b.MS, "after", []int{0})...)
		s = append(s, step(1+rnd.IntN(5), 2000, b.MS, "after", []int{0, 1})...)
	case kind < 68:
		s = step(2+rnd.IntN(10), 1000*(1+rnd.IntN(10)), b.MS, "gang", true)
		s = append(s, step(2, 2000, b.MS, "after", []int{0})...)
	case kind < 75:
		b.Fails, j.hopeless = true, true
	case kind < 83:
		extra["repeat_count"], extra["first_run_ms"], extra["interval_ms"] = 4, time.Now().UnixMilli()+1500, 1500
		j.repeats, j.first, j.interval = 4, time.Now().UnixMilli()+1500, 1500
		extra["first_run_ms"] = j.first
	case kind < 88:
		extra["long_running"], j.lasts = true, true
		s = step(1+rnd.IntN(4), 1000, 1000)
	case kind < 94:
		s = step(1+rnd.IntN(6), 2000, b.MS, "required_label", fmt.Sprintf("r%d-0", rnd.IntN(3)))
		s = append(s, step(1+rnd.IntN(5), 2000, b.MS, "after", []int{0}, "required_label", fmt.Sprintf("r%d-0", rnd.IntN(3)))...)
	default:
		s = step(1+rnd.IntN(10), 2000, b.MS, "anti_affinity", 1+rnd.IntN(2))
	}
	j.steps = s
	spec, _ := json.Marshal(b)
	j.spec = string(spec)
	body := map[string]any{"spec": j.spec, "steps": s}
	for k, v := range extra {
		body[k] = v
	}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for attempt := 0; attempt < 12; attempt++ {
		i := w.instances[rnd.IntN(len(w.instances))]
		w.mu.Lock()
		j.posts++
		w.mu.Unlock()
		status, answer := w.call(i, http.MethodPost, id, body, 4*time.Second)
		w.note("%-9s POST %s at %s: %d %s", "client", id, i.name, status, answer)
		w.mu.Lock()
		if status == 200 && j.status != 200 {
			j.answered = time.Now()
		}
		if j.status != 200 {
			j.status = status
		}
		if status == 429 || status == 503 || status == 404 || status == 400 {
			j.rejects++
		}
		w.mu.Unlock()
		if status == 200 && !j.transient && rnd.IntN(6) == 0 && attempt == 0 {
			time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond) // such a request arrives again
			continue
		}
		if status != 0 && status != 502 && status != 504 {
			break
		}
		time.Sleep(1300 * time.Millisecond)
	}
	if j.status != 200 || j.transient {
		return
	}
	cancel := rnd.IntN(8) == 0 || (j.lasts && rnd.IntN(4) > 0)
	for n := 0; time.Now().Before(end) && n < 12; n++ {
		time.Sleep(time.Duration(200+rnd.IntN(1500)) * time.Millisecond)
		i := w.instances[rnd.IntN(len(w.instances))]
		if cancel && rnd.IntN(3) == 0 {
			w.mu.Lock()
			j.cancelSent = time.Now()
			w.mu.Unlock()
			status, _ := w.call(i, http.MethodDelete, id, nil, 3*time.Second)
			w.note("%-9s DELETE %s at %s: %d", "client", id, i.name, status)
			if status == 200 || status == 410 {
				w.mu.Lock()
				j.cancelled = time.Now()
				w.mu.Unlock()
				if status == 410 {
					w.broken("LOST", "a DELETE of job %s, accepted, was answered 410", id)
				}
				time.AfterFunc(3200*time.Millisecond, func() {
					if now, _, _ := w.running(id); now > 0 {
						w.broken("UNASKED", "%d tasks of job %s run on 3.2 s after its cancel was acknowledged", now, id)
					}
				})
				return
			}
			continue
		}
		state := w.stateQuiet(i, id)
		w.note("%-9s GET %s at %s: %s", "client", id, i.name, state)
		w.mu.Lock()
		if j.cancelSent.IsZero() {
			if state == "410" && time.Since(j.answered) > 3*time.Second {
				w.broken("LOST", "a GET of job %s was answered 410", id)
			}
			if state == "cancelled" || (state == "failed" && !j.hopeless) {
				w.broken("LOST", "job %s is shown as %s", id, state)
			}
			if state == "succeeded" && j.hopeless {
				w.broken("MIXED", "job %s is shown as %s", id, state)
			}
		}
		if (state == "succeeded" || state == "failed") && j.shown.IsZero() {
			j.shown, j.shownAs = time.Now(), state
			if state == "succeeded" {
				done := map[string]bool{}
				gangs := 0
				for _, p := range w.byJob[id] {
					if p.how == "done" {
						done[p.task] = true
					}
				}
				want := 0
				for _, st := range j.steps {
					if st["gang"] == true {
						gangs = st["count"].(int)
						continue
					}
					want += st["count"].(int) * max(1, j.repeats)
				}
				if len(done) < want || len(done) < want+min(gangs, 1) {
					w.broken("MIXED", "job %s is shown as succeeded, %d of %d tasks are done", id, len(done), want+gangs)
				}
			}
		}
		ended := !j.shown.IsZero()
		w.mu.Unlock()
		if ended && n > 8 {
			return
		}
	}
}

// disrupt disturbs the deployment until a time.
func (w *world) disrupt(rnd *rand.Rand, until time.Time, only string) {
	names := []string{"kill", "kill", "stop", "freeze", "freeze", "storebusy", "storedead", "storelost", "storelate", "storeslow", "nodebusy", "runnercrash", "runnerback", "late", "busy", "fails", "killall"}
	if only != "" {
		names = strings.Split(only, ",")
	}
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		name := names[rnd.IntN(len(names))]
		for_ := time.Duration(500+rnd.IntN(4000)) * time.Millisecond
		i := w.instances[rnd.IntN(len(w.instances))]
		if rnd.IntN(2) == 0 {
			if h := w.holder(); h != nil {
				i = h
			}
		}
		w.mu.Lock()
		r := w.runners[rnd.IntN(len(w.runners))]
		w.mu.Unlock()
		front := w.fronts[rnd.IntN(len(w.fronts))]
		w.note("fault     %s %s %s for %v", name, i.name, r.id, for_)
		wg.Go(func() { w.fault(name, i, r, front, for_) })
		time.Sleep(time.Duration(rnd.IntN(6000)) * time.Millisecond)
	}
	wg.Wait()
	w.note("fault     all faults have ended")
}

// holder returns the instance that the row of a cell names.
func (w *world) holder() *instance {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for _, r := range w.store.rows {
		if strings.HasPrefix(r.Table, "cells-c") && r.Key == "holder" {
			for _, i := range w.instances {
				if strings.Contains(string(r.Value), `"`+i.name+`"`) {
					return i
				}
			}
		}
	}
	return nil
}

func (w *world) fault(name string, i *instance, r *runner, front *storeFront, for_ time.Duration) {
	all := func(set func(*storeFront, bool)) {
		for _, f := range w.fronts {
			set(f, true)
		}
		time.Sleep(for_)
		for _, f := range w.fronts {
			set(f, false)
		}
	}
	switch name {
	case "kill":
		i.restart(syscall.SIGKILL, for_/4)
	case "killall":
		for _, i := range w.instances {
			go i.restart(syscall.SIGKILL, for_/4)
		}
		time.Sleep(for_)
	case "stop":
		i.restart(syscall.SIGTERM, for_/4)
	case "freeze":
		i.signal(syscall.SIGSTOP)
		time.Sleep(for_)
		i.signal(syscall.SIGCONT)
	case "storebusy":
		all(func(f *storeFront, on bool) { f.busy.Store(on) })
	case "storedead":
		all(func(f *storeFront, on bool) { f.dead.Store(on) })
	case "storelost":
		all(func(f *storeFront, on bool) { f.lost.Store(on) })
	case "storelate":
		all(func(f *storeFront, on bool) { f.lost.Store(on); f.late.Store(on) })
	case "storeslow":
		all(func(f *storeFront, on bool) { f.slow.Store(on) })
	case "nodebusy":
		front.busy.Store(true)
		time.Sleep(2 * for_)
		front.busy.Store(false)
	case "runnercrash":
		r.crash()
		time.Sleep(for_)
		w.startRunner(r.id+"x", r.zone, r.rack, r.cores)
	case "runnerback":
		r.crash()
		time.Sleep(for_ / 2)
		w.startRunner(r.id, r.zone, r.rack, r.cores)
	case "late":
		r.faults.late.Store(true)
		time.Sleep(for_)
		r.faults.late.Store(false)
	case "busy":
		r.faults.busy.Store(true)
		time.Sleep(for_)
		r.faults.busy.Store(false)
	case "fails":
		r.faults.fails.Store(true)
		time.Sleep(for_)
		r.faults.fails.Store(false)
	}
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(s)
}

// restart ends the process by a signal, SIGKILL after 6 s, and starts it again.
func (i *instance) restart(s syscall.Signal, after time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(s)
	ended := make(chan struct{})
	go func() { _ = i.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		_ = i.cmd.Process.Kill()
		<-ended
	}
	time.Sleep(after)
	i.start()
}

func readAll(r *http.Request) []byte {
	b, _ := io.ReadAll(r.Body)
	return b
}

// done returns a context that does not end.
func done() context.Context { return context.Background() }
