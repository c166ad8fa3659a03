package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the small deployment.
const (
	holdMax   = 1000 * time.Millisecond
	stopGrace = 30 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// live is a run that is alive on a runner.
type live struct {
	task    string
	run     int
	spec    string
	cpu     int
	began   time.Time
	takes   time.Duration // zero for a task that lasts
	stopped bool
	saved   string
	fails   bool
	broken  bool     // the runner fails it
	gang    *gangRun // nil if the task belongs to none
}

// runner is one runner: a server that starts whatever it is told to start, as PROTOCOL.md
// describes it (admission_control false).
type runner struct {
	w                *world
	id, service      string
	zone, rack, kind string
	addr             string
	cpu, mem         int

	mu       sync.Mutex
	born     int64
	clock0   time.Time
	seq      int
	token    int64
	deadline int64
	runs     map[string]*live
	highest  map[string]int // by task, highest number of a run that was stopped or ended
	ends     [][]any
	nextEnd  int64
	acked    int64
	changed  chan struct{}
	up       bool
	draining bool
	server   *http.Server
	stop     chan struct{}
	lapsedAt time.Time // when its lease last ran out
	cut      atomic.Bool
	grey     atomic.Bool                                       // it fails all that it starts
	answer   func(call string) (wait time.Duration, lose bool) // may be nil
}

func (r *runner) now() int64 { return time.Since(r.clock0).Milliseconds() }

// start begins a new incarnation of the runner.
func (r *runner) begin() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born, r.clock0, r.token, r.deadline = time.Now().UnixMilli(), time.Now(), 0, 0
	r.runs, r.highest, r.ends, r.nextEnd, r.acked = map[string]*live{}, map[string]int{}, nil, 1, 0
	r.seq, r.up, r.draining, r.changed, r.stop = 0, true, false, make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/api/run-start", r.call("start", r.runStart))
	mux.HandleFunc("/api/run-stop", r.call("stop", r.runStop))
	mux.HandleFunc("/api/hold", r.call("hold", r.hold))
	mux.HandleFunc("/api/pace", r.call("pace", r.pace))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(200)
	})
	r.server = &http.Server{Handler: mux}
	stop := r.stop
	r.mu.Unlock()
	go func() { _ = r.server.Serve(l) }()
	go r.beat(stop)
	go r.tick(stop)
	r.w.log("runner %s born", r.id)
	return nil
}

// crash ends the incarnation at once: everything on it terminates and nothing is sent.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	close(r.stop)
	for _, x := range r.runs {
		r.w.ended(r, x, "lost with its runner")
	}
	r.runs = map[string]*live{}
	r.mu.Unlock()
	_ = r.server.Close()
	r.w.log("runner %s crashed", r.id)
	go func() { // its entry is removed after three heartbeat intervals of silence
		time.Sleep(3 * heartbeat)
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up {
			r.w.store.drop("servers", r.id)
		}
	}()
}

func (r *runner) beat(stop chan struct{}) {
	for {
		r.report()
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// report writes the entry of the runner.
func (r *runner) report() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.cut.Load() {
		return
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0},
		"labels": []string{r.kind, r.rack}, "clock_ms": r.now(), "seq": r.seq, "born": r.born,
	}
	r.w.store.put("servers", r.id, entry)
}

// tick ends runs whose time has come and kills all when the lease expires.
func (r *runner) tick(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			return
		}
		now := r.now()
		if now > r.deadline {
			r.lapsedAt = time.Now()
		}
		for key, x := range r.runs {
			if g := x.gang; g != nil && !x.stopped && now <= r.deadline {
				r.w.mu.Lock()
				whole, broken, done := g.whole, g.broken, g.done
				r.w.mu.Unlock()
				switch {
				case done || (!broken && !whole.IsZero() && time.Since(whole) >= x.takes):
					r.end(key, x, "done")
				case broken:
					r.end(key, x, "broken")
				case whole.IsZero() && time.Since(x.began) > 3*time.Second:
					r.end(key, x, "alone")
				}
				continue
			}
			switch {
			case now > r.deadline:
				r.end(key, x, "lapsed")
			case x.broken && time.Since(x.began) >= 20*time.Millisecond && !x.stopped:
				r.end(key, x, "failed")
			case x.takes > 0 && time.Since(x.began) >= x.takes && !x.stopped:
				how := "done"
				if x.fails {
					how = "failed"
				}
				r.end(key, x, how)
			}
		}
		r.mu.Unlock()
	}
}

// end lists the end of a run. The lock is held.
func (r *runner) end(key string, x *live, how string) {
	delete(r.runs, key)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.ends = append(r.ends, []any{r.nextEnd, x.task, x.run, how, x.saved, time.Now()})
	r.nextEnd++
	close(r.changed)
	r.changed = make(chan struct{})
	r.w.ended(r, x, how)
}

type orderBody struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	DeadlineMS     int64  `json:"deadline_ms"`
	Token          int64  `json:"fencing_token"`
	LastCheckpoint string `json:"last_checkpoint"`
	AckedThrough   int64  `json:"acked_through"`
	WaitMS         int64  `json:"wait_ms"`
}

// call wraps a handler: it checks the incarnation and plays answers that are late or lost.
func (r *runner) call(name string, f func(context.Context, orderBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
			reply(w, 421, map[string]any{"clock_ms": r.now()})
			return
		}
		var b orderBody
		if json.NewDecoder(q.Body).Decode(&b) != nil {
			reply(w, 400, map[string]any{"clock_ms": r.now()})
			return
		}
		lose := false
		if r.cut.Load() {
			for r.cut.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			hang(w)
			return
		}
		if r.answer != nil {
			var wait time.Duration
			r.mu.Lock()
			life := r.stop
			r.mu.Unlock()
			wait, lose = r.answer(name)
			time.Sleep(wait)
			r.mu.Lock()
			over := life != r.stop || !r.up
			r.mu.Unlock()
			if over { // what an incarnation has received ends with it
				hang(w)
				return
			}
		}
		status, answer := f(q.Context(), b)
		if lose || r.cut.Load() {
			for r.cut.Load() {
				time.Sleep(20 * time.Millisecond)
			}
			hang(w)
			return
		}
		reply(w, status, answer)
	}
}

// fence checks the token of an order. The lock is held.
func (r *runner) fence(token int64) bool {
	if token < r.token {
		return false
	}
	r.token = token
	return true
}

// extend extends the lease of everything on the runner. The lock is held.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.now()+holdMax.Milliseconds()))
}

func (r *runner) rejected(reason string) (int, map[string]any) {
	return 409, map[string]any{"clock_ms": r.now(), "reason": reason}
}

func (r *runner) runStart(_ context.Context, b orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fence(b.Token) {
		return r.rejected("fence")
	}
	if b.DeadlineMS <= r.now() {
		return r.rejected("late")
	}
	key := fmt.Sprint(b.Task, "#", b.Run)
	if r.runs[key] != nil {
		return 200, map[string]any{"clock_ms": r.now()}
	}
	r.extend(b.DeadlineMS)
	if b.Run <= r.highest[b.Task] {
		return r.rejected("old")
	}
	x := &live{task: b.Task, run: b.Run, spec: b.Spec, began: time.Now(), saved: b.LastCheckpoint, broken: r.grey.Load()}
	r.runs[key] = x
	r.w.began(r, x)
	return 200, map[string]any{"clock_ms": r.now()}
}

func (r *runner) runStop(_ context.Context, b orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fence(b.Token) {
		return r.rejected("fence")
	}
	r.highest[b.Task] = max(r.highest[b.Task], b.Run)
	key := fmt.Sprint(b.Task, "#", b.Run)
	if x := r.runs[key]; x != nil && !x.stopped {
		x.stopped = true
		stop := r.stop
		go func() {
			time.Sleep(stopGrace)
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.up && r.stop == stop && r.runs[key] == x {
				r.end(key, x, "stopped")
			}
		}()
	}
	return 200, map[string]any{"clock_ms": r.now()}
}

func (r *runner) pace(_ context.Context, b orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fence(b.Token) {
		return r.rejected("fence")
	}
	return 200, map[string]any{"clock_ms": r.now()}
}

func (r *runner) hold(ctx context.Context, b orderBody) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fence(b.Token) {
		return r.rejected("fence")
	}
	if b.DeadlineMS > 0 {
		r.extend(b.DeadlineMS)
	}
	if b.AckedThrough > r.acked {
		r.acked = b.AckedThrough
		for len(r.ends) > 0 && r.ends[0][0].(int64) <= r.acked {
			r.w.noted(r, r.ends[0])
			r.ends = r.ends[1:]
		}
	}
	end := time.After(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond)
	for b.WaitMS > 0 && len(r.ends) == 0 && r.up {
		changed := r.changed
		r.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-end:
			over = true
		case <-ctx.Done():
			over = true
		}
		r.mu.Lock()
		if over {
			break
		}
	}
	running := [][]any{}
	for _, x := range r.runs {
		percent := 100
		if x.takes > 0 {
			percent = min(int(100*time.Since(x.began)/x.takes), 99)
		}
		running = append(running, []any{x.task, x.run, x.saved, percent, 0})
	}
	ends := [][]any{}
	for i, e := range r.ends {
		if i < 500 {
			ends = append(ends, e[:5])
		}
	}
	return 200, map[string]any{"clock_ms": r.now(), "born": r.born, "running": running, "finished": ends}
}

// jobOf returns the id of the job of a task, and its occurrence, step and index as text.
func jobOf(task string) (id, rest string) {
	id, rest, _ = strings.Cut(task, ".")
	return id, rest
}

// hang ends a call without an answer.
func hang(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = c.Close()
	}
}
