package faults_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/api"
)

// fault is a fault that is injected at a step. The owner in the names of faults is
// the owner of the job or request, which is always the first instance.
type fault struct {
	name     string
	lossless bool // no job and no answer may be lost: all must be complete
	inject   func(s scenario, d *driver)
}

// faults returns all faults of the matrix.
func faults() []fault {
	first := func(d *driver) *instance { return d.sim.instances[0] }
	return []fault{
		{"owner killed", false, func(_ scenario, d *driver) { first(d).kill() }},
		{"owner frozen past its lease", false, func(_ scenario, d *driver) { first(d).state.freeze(2 * faultDuration) }},
		{"target killed", false, func(_ scenario, d *driver) { d.sim.fleet.kill(d.busyTargets()...) }},
		{"target hangs", false, func(_ scenario, d *driver) { d.sim.fleet.hang(d.busyTargets()...) }},
		{"target restarted", false, func(_ scenario, d *driver) { d.sim.fleet.restart(d.busyTargets()...) }},
		{"store down", false, func(_ scenario, d *driver) { d.sim.platform.outage(faultDuration) }},
		{"store slow", true, func(_ scenario, d *driver) { d.sim.platform.slow(faultDuration) }},
		{"store answers lost", true, func(_ scenario, d *driver) { d.sim.platform.update(func(q *platform) { q.lostReplies = 2 }) }},
		{"peers cut", true, func(_ scenario, d *driver) { first(d).state.cutLink(linkPeers, faultDuration) }},
		{"platform cut", false, func(_ scenario, d *driver) { first(d).state.cutLink(linkPlatform, faultDuration) }},
		{"targets cut", false, func(_ scenario, d *driver) { first(d).state.cutLink(linkTargets, faultDuration) }},
		{"resubmitted elsewhere", true, func(s scenario, d *driver) { s.resubmit(d, 1); s.resubmit(d, 2) }},
		{"cancelled elsewhere", false, func(s scenario, d *driver) { s.cancel(d, 1) }},
		{"terminated", true, func(_ scenario, d *driver) { go first(d).terminate() }},
	}
}

// busyTargets returns the worker and the runner that started something last. The
// first of each kind stands for one that started nothing.
func (d *driver) busyTargets() []string {
	worker, runner := "w1", "r1"
	for _, r := range d.sim.fleet.starts("") {
		if r.target[0] == 'w' {
			worker = r.target
		} else {
			runner = r.target
		}
	}
	return []string{worker, runner}
}

// kill makes targets refuse connections and lose their tasks.
func (f *fleet) kill(addrs ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, addr := range addrs {
		f.dead[addr] = true
		for key := range f.tasks {
			if strings.HasPrefix(key, addr+"|") {
				delete(f.tasks, key)
			}
		}
	}
}

// restart makes targets lose their tasks and keep serving.
func (f *fleet) restart(addrs ...string) {
	f.kill(addrs...)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, addr := range addrs {
		delete(f.dead, addr)
	}
}

// hang makes targets accept calls without a response for faultDuration.
func (f *fleet) hang(addrs ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, addr := range addrs {
		f.hung[addr] = true
		time.AfterFunc(faultDuration, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			delete(f.hung, addr)
		})
	}
}

// outage makes the platform unresponsive for the given time.
func (p *platform) outage(d time.Duration) {
	p.update(func(p *platform) { p.down = true })
	time.AfterFunc(d, func() { p.update(func(p *platform) { p.down = false }) })
}

// slow delays each call to the platform by 700 ms for the given time.
func (p *platform) slow(d time.Duration) {
	p.update(func(p *platform) { p.delay = 700 * time.Millisecond })
	time.AfterFunc(d, func() { p.update(func(p *platform) { p.delay = 0 }) })
}

// verdict is the result of one cell.
type verdict struct {
	reached    bool     // the step was reached and the faults were injected
	violations []string // guarantees that were broken
	state      string   // final state of the job or request, for the summary
}

// runCell runs a scenario and injects faults when it first reaches a step.
func runCell(t *testing.T, s scenario, at step, injected []fault) verdict {
	t.Helper()
	var v verdict
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 3)
		d := newDriver(sim)
		time.Sleep(3 * time.Second) // all instances have seen each other's leases
		var once sync.Once
		sim.mutex.Lock()
		sim.stepHook = func(source, eventName string) {
			if eventName != at.event || at.source != "" && source != at.source {
				return
			}
			once.Do(func() {
				v.reached = true
				for _, f := range injected {
					f.inject(s, d)
				}
			})
		}
		sim.mutex.Unlock()
		d.startedAt = time.Now()
		s.start(d)
		time.Sleep(horizon)
		d.group.Wait()
		sim.mutex.Lock()
		sim.stepHook = nil
		sim.mutex.Unlock()
		v.violations = append(s.check(d), d.checkReplyTimes()...)
		if len(injected) == 1 && injected[0].lossless {
			v.violations = append(v.violations, d.checkAllComplete()...)
		}
		if len(injected) == 1 && injected[0].name == "cancelled elsewhere" {
			v.violations = append(v.violations, d.checkCancelCertain()...)
		}
		v.violations = append(v.violations, d.checkDurableAnswer(s)...)
		v.state = d.outcome()
		for _, in := range sim.instances {
			in.kill()
		}
		cancel()
		sim.group.Wait()
		time.Sleep(2 * time.Hour) // calls to a platform that is down end by then
	})
	return v
}

// maxReplyDelay is the time after the start within which every caller must have a
// reply. It covers the longest fault, a lease and a takeover, and is shorter than
// the deadline of the job.
const maxReplyDelay = 50 * time.Second

// checkReplyTimes checks that callers got their replies within maxReplyDelay.
func (d *driver) checkReplyTimes() []string {
	var violations []string
	for _, reply := range d.replies {
		if late := reply.receivedAt.Sub(d.startedAt); late > maxReplyDelay {
			violations = append(violations, fmt.Sprintf("reply only after %v", late))
		}
	}
	return violations
}

// checkAllComplete checks that there are replies and that all are complete answers,
// as must be so after a lossless fault.
func (d *driver) checkAllComplete() []string {
	var violations []string
	for _, reply := range d.replies {
		if reply.refusal != nil && reply.refusal.Ran == api.RanNot && reply.refusal.Reason == api.ReasonStopping {
			continue // an instance that shuts down refuses resubmissions at once
		}
		if reply.answer == nil || reply.answer.State != api.StateComplete {
			violations = append(violations, fmt.Sprintf("not a complete answer: %s %+v", reply.instance, reply.refusal))
		}
	}
	if len(d.replies) == 0 {
		violations = append(violations, "no replies")
	}
	return violations
}

// checkCancelCertain checks that a cancelled job says whether tasks ran, as must be
// so if there was no other fault.
func (d *driver) checkCancelCertain() []string {
	for _, reply := range d.repliesTo(d.job.ID) {
		if reply.answer != nil && reply.answer.Reason == api.ReasonCancelled && reply.answer.Ran == api.RanUnknown {
			return []string{"the cancel at a live owner does not say whether tasks ran"}
		}
	}
	return nil
}

// checkDurableAnswer checks that every live instance returns the state in the row
// of the job if the job is resubmitted there. It then checks the job once more.
func (d *driver) checkDurableAnswer(s scenario) []string {
	if s.name != "job" && s.name != "shutdown" {
		return nil
	}
	row, found := d.sim.jobRow(d.job)
	var violations []string
	for i, in := range d.sim.instances {
		if !in.alive() || !found || !row.Final() {
			continue
		}
		before := len(d.replies)
		d.submit(i)
		d.group.Wait()
		last := d.replies[len(d.replies)-1]
		if len(d.replies) != before+1 || last.answer == nil || last.answer.State != row.State {
			violations = append(violations, fmt.Sprintf("instance %s does not return the durable answer %s: %+v", in.name, row.State, last))
		}
	}
	return append(violations, checkJob(d)...)
}

// outcome returns the first final state in the replies. Without one it describes
// the last refusal, if any.
func (d *driver) outcome() string {
	state := "nothing told"
	for _, reply := range d.replies {
		switch {
		case reply.refusal != nil:
			state = "refused " + string(reply.refusal.Ran)
		case reply.answer.Final():
			return string(reply.answer.State)
		}
	}
	return state
}

// cell is one cell of the matrix: one or two faults at one step of a scenario.
type cell struct {
	scenario scenario
	at       step
	faults   []fault
	verdict  verdict
}

// cells returns the matrix: each fault at each step of each scenario, and the pairs
// of faults at the steps of a job except the first and the last two.
func cells() []*cell {
	var list []*cell
	for _, s := range []scenario{jobScenario(), requestScenario(false), requestScenario(true), shutdownScenario()} {
		for _, at := range s.steps {
			for _, f := range faults() {
				list = append(list, &cell{scenario: s, at: at, faults: []fault{f}})
			}
		}
	}
	for _, at := range jobScenario().steps[1:9] {
		for _, pair := range faultPairs() {
			list = append(list, &cell{scenario: jobScenario(), at: at, faults: pair})
		}
	}
	return list
}

// TestMatrix runs all cells, prints the matrix and fails if a guarantee was broken
// in any cell.
func TestMatrix(t *testing.T) {
	list := cells()
	t.Run("cell", func(t *testing.T) {
		for i, c := range list {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				c.verdict = runCell(t, c.scenario, c.at, c.faults)
			})
		}
	})
	report := &report{states: make(map[string]int)}
	for _, c := range list {
		report.add(c)
	}
	report.print()
	require.Empty(t, report.failures)
}

// faultPairs returns the pairs of faults that are most dangerous together.
func faultPairs() [][]fault {
	byName := make(map[string]fault)
	for _, f := range faults() {
		byName[f.name] = f
	}
	var list [][]fault
	for _, names := range [][2]string{
		{"owner frozen past its lease", "resubmitted elsewhere"},
		{"owner frozen past its lease", "cancelled elsewhere"},
		{"owner frozen past its lease", "store answers lost"},
		{"owner killed", "store answers lost"},
		{"owner killed", "store down"},
		{"owner killed", "target hangs"},
		{"platform cut", "resubmitted elsewhere"},

		{"store down", "resubmitted elsewhere"},
		{"terminated", "store down"},
		{"terminated", "store answers lost"},
		{"terminated", "resubmitted elsewhere"},
	} {
		list = append(list, []fault{byName[names[0]], byName[names[1]]})
	}
	return list
}

// report collects the results of cells and prints the matrix.
type report struct {
	scenario       string
	lines          []string
	passed, failed int
	skipped        int
	failures       []string
	states         map[string]int
}

// add adds a cell to the report. Cells of one scenario must follow each other.
func (r *report) add(c *cell) {
	if r.scenario != c.scenario.name {
		r.scenario = c.scenario.name
		r.lines = append(r.lines, "", r.scenario)
	}
	var names []string
	for _, f := range c.faults {
		names = append(names, f.name)
	}
	v := c.verdict
	cell := fmt.Sprintf("%-34s x %s", c.at.name, strings.Join(names, " + "))
	switch {
	case !v.reached:
		r.skipped++
		r.lines = append(r.lines, "  n/a     "+cell+": this scenario does not reach the step")
	case len(v.violations) > 0:
		r.failed++
		r.lines = append(r.lines, "  FAILED  "+cell+": "+strings.Join(v.violations, "; "))
		r.failures = append(r.failures, cell+": "+strings.Join(v.violations, "; "))
	default:
		r.passed++
		r.states[v.state]++
		r.lines = append(r.lines, "  passed  "+cell+": "+v.state)
	}
}

func (r *report) print() {
	out := os.Stdout
	for _, line := range r.lines {
		_, _ = fmt.Fprintln(out, line)
	}
	_, _ = fmt.Fprintf(out, "\nwhat callers were told in passed cells: %v; not applicable: %d\n", r.states, r.skipped)
	_, _ = fmt.Fprintf(out, "%d passed, %d failed\n", r.passed, r.failed)
}
