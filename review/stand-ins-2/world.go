package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// step is one step of a job.
type step struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu,omitempty"`
	Mem            int    `json:"mem_mb,omitempty"`
	Estimate       int    `json:"estimate_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	Checkpointable bool   `json:"checkpointable,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	RequiredLabel  string `json:"required_label,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	TargetMS       int    `json:"target_ms,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	AntiAffinity   int    `json:"anti_affinity,omitempty"`
	takes          time.Duration
	fails          func(index, run int) bool
}

// job is one job of the clients, with what has been seen of it.
type job struct {
	id          string
	steps       []step
	lasting     bool
	preemptible bool
	repeat      int
	first       int64
	interval    int64

	sent      time.Time
	accepted  time.Time
	state     string // in the answer to the POST
	cancelled time.Time
	cancelAck time.Time
	rejected  bool
	done      map[string]bool      // tasks that have ended done
	alive     map[string]int       // number of live runs by task
	lastRun   map[string]time.Time // when the last run of a task ended
	starts    map[string]int
	noted     map[string]bool // tasks of which an end "done" was taken note of
	startedAt map[string][]time.Time
	endedDone map[string]time.Time
	poison    bool
	fails     map[string]int       // number of runs of a task that have ended failed
	away      map[string]time.Time // tasks of a step with max_unavailable that a stop has ended, until they are at work again
	gangs     map[string]*gangRun
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[string]bool
	whole   time.Time // when all members were present; zero before
	broken  bool
	done    bool
}

func (j *job) tasks(visit func(name string, s *step, k int)) {
	for k := 0; k < max(j.repeat, 1); k++ {
		for s := range j.steps {
			for i := 0; i < j.steps[s].Count; i++ {
				visit(fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i), &j.steps[s], k)
			}
		}
	}
}

// failedOften reports whether a task has ended failed at least n times. The lock of the world is held.
func (j *job) failedOften(n int) bool {
	for _, f := range j.fails {
		if f >= n {
			return true
		}
	}
	return false
}

// complete reports whether all tasks have ended done. The lock of the world is held.
func (j *job) complete() bool {
	all := true
	j.tasks(func(name string, _ *step, _ int) { all = all && j.done[name] })
	return all
}

// node is one machine of the system with its process.
type node struct {
	name, zone, ip string
	cmd            *exec.Cmd
	up             bool
	exited         chan struct{}
	log            *os.File
	store          *entrance
}

type world struct {
	dir     string // temporary folder
	net     string // first two numbers of the addresses
	store   *store
	nodes   []*node
	runners []*runner
	service string
	host    string
	prefix  string
	record  *os.File
	t0      time.Time

	mu     sync.Mutex
	jobs   map[string]*job
	order  []*job
	broken []string
	client *http.Client
	rnd    *rand.Rand
	closed bool // no process is started any more
	again  bool // some submissions arrive again seconds after their answer
}

func (w *world) log(format string, a ...any) {
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.t0).Seconds())
	fmt.Fprintf(w.record, format+"\n", a...)
}

// breaks records a broken rule.
func (w *world) breaks(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	w.log("BROKEN %s", text)
	w.broken = append(w.broken, text)
}

// began is called when a runner starts a run. The lock of the runner is held.
func (w *world) began(r *runner, x *live) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, rest := jobOf(x.task)
	j := w.jobs[id]
	if j == nil {
		w.breaks("UNASKED: %s is told to start %s, which nobody sent", r.id, x.task)
		return
	}
	f := strings.Split(rest, ".")
	n, _ := strconv.Atoi(f[1])
	index, _ := strconv.Atoi(f[2])
	s := &j.steps[n]
	x.takes = s.takes
	if !s.Fills { // its cpu is not counted
		x.cpu = s.CPU
	}
	if s.fails != nil {
		x.fails = s.fails(index, x.run)
	}
	w.log("start %s run %d on %s", x.task, x.run, r.id)
	if s.Gang {
		key := fmt.Sprint(f[0], ".", f[1], "#", x.run)
		g := j.gangs[key]
		if g == nil {
			g = &gangRun{members: map[string]bool{}}
			j.gangs[key] = g
		}
		g.members[x.task] = true
		if len(g.members) == s.Count {
			g.whole = time.Now()
		}
		x.gang = g
	}
	j.startedAt[x.task] = append(j.startedAt[x.task], time.Now())
	if j.alive[x.task] > 0 {
		w.breaks("TWICE: %s run %d begins on %s while another run of it is alive", x.task, x.run, r.id)
	}
	if j.noted[x.task] && !j.preemptible {
		w.breaks("TWICE: %s run %d begins on %s after an end done was taken note of", x.task, x.run, r.id)
	}
	for _, a := range s.After {
		for i := 0; i < j.steps[a].Count; i++ {
			if !j.done[fmt.Sprintf("%s.%s.%d.%d", id, f[0], a, i)] {
				w.breaks("ORDER: %s begins before step %d has ended", x.task, a)
			}
		}
	}
	if j.repeat > 0 {
		k, _ := strconv.Atoi(f[0])
		if early := time.UnixMilli(j.first + int64(k)*j.interval).Sub(time.Now()); early > 250*time.Millisecond {
			w.breaks("ORDER: %s begins %v early", x.task, early)
		}
	}
	used := 0
	for _, other := range r.runs {
		used += other.cpu
	}
	if used > r.cpu {
		w.breaks("LIMIT: %s brings %s to %d of %d", x.task, r.id, used, r.cpu)
	}
	if l := s.RequiredLabel; l != "" && l != r.kind && l != r.rack {
		w.breaks("ROUTE: %s begins on %s without the label %s", x.task, r.id, l)
	}
	if !j.cancelAck.IsZero() && time.Since(j.cancelAck) > 3*time.Second {
		w.breaks("UNASKED: %s begins %v after its job's cancelling was acknowledged", x.task, time.Since(j.cancelAck))
	}
	delete(j.away, x.task)
	j.alive[x.task]++
	j.starts[x.task]++
}

// ended is called when a run has ended. The lock of the runner is held.
func (w *world) ended(r *runner, x *live, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log("end %s run %d on %s: %s", x.task, x.run, r.id, how)
	id, _ := jobOf(x.task)
	if j := w.jobs[id]; j != nil {
		j.alive[x.task]--
		j.lastRun[x.task] = time.Now()
		if how == "failed" {
			j.fails[x.task]++
		}
		if j.lasting && how == "stopped" {
			w.stoppedLasting(r, j, x)
		}
		if x.gang != nil {
			if how == "done" {
				x.gang.done = true
				for m := range x.gang.members {
					j.done[m] = true
				}
			} else {
				x.gang.broken = true
			}
			if how == "alone" && j.cancelled.IsZero() {
				w.log("ALONE %s", x.task)
			}
		}
		if how == "done" {
			j.done[x.task] = true
			if j.endedDone[x.task].IsZero() {
				j.endedDone[x.task] = time.Now()
			}
		}
	}
}

// stoppedLasting checks a stop of a task that lasts against max_unavailable of its step. The lock
// is held.
func (w *world) stoppedLasting(r *runner, j *job, x *live) {
	_, rest := jobOf(x.task)
	n, _ := strconv.Atoi(strings.Split(rest, ".")[1])
	limit := j.steps[n].MaxUnavailable
	if limit == 0 || !j.cancelled.IsZero() {
		return
	}
	if len(j.away) >= limit {
		w.breaks("AVAIL: a stop ends %s, which was at work on %s, while %d others of its step are away after stops", x.task, r.id, len(j.away))
	}
	j.away[x.task] = time.Now()
}

// noted is called when acked_through reaches an end. The lock of the runner is held.
func (w *world) noted(r *runner, end []any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := end[1].(string)
	id, _ := jobOf(task)
	if j := w.jobs[id]; j != nil && end[3] == "done" {
		at := end[5].(time.Time)
		if r.lapsedAt.After(at) {
			return // the lease has lapsed between the two
		}
		j.noted[task] = true
		for _, start := range j.startedAt[task] {
			if start.After(at) && !j.preemptible {
				w.breaks("TWICE: %s began again after its end done on %s, which is now taken note of", task, r.id)
			}
		}
	}
}

// newWorld starts the store and the runners.
func newWorld(record string, zones []string, runnersPerZone int) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	seed := time.Now().UnixNano()
	w := &world{dir: dir, record: f, t0: time.Now(), jobs: map[string]*job{}, rnd: rand.New(rand.NewSource(seed)),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	w.service, w.host, w.prefix = w.name("s"), w.name("h")+".example", "/"+w.name("q")+"/"
	for try := 0; ; try++ {
		w.net = fmt.Sprintf("127.%d", 20+w.rnd.Intn(200))
		if w.store, err = newStore(w.net + ".250.1:8169"); err == nil {
			break
		}
		if try > 20 {
			return nil, err
		}
	}
	for z, zone := range zones {
		for i := 0; i < runnersPerZone; i++ {
			r := &runner{w: w, id: fmt.Sprintf("i-%08x", w.rnd.Uint32()), service: w.service, zone: zone,
				rack: fmt.Sprintf("r%d-%d", z+1, i/8+1), kind: []string{"a", "a", "b"}[i%3], cpu: 32000, mem: 65536,
				addr: fmt.Sprintf("%s.%d.%d:8080", w.net, 100+z, i+1)}
			if err := r.begin(); err != nil {
				return nil, err
			}
			w.runners = append(w.runners, r)
		}
	}
	w.configure(7)
	return w, nil
}

func (w *world) configure(version int) {
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-" + w.prefix[1:5], "host": w.host, "path_prefix": w.prefix, "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "service": w.service, "max_attempts": 3, "stretch": 1.6}},
		"services": []any{map[string]any{"name": w.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_control": false, "spare": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (w *world) name(p string) string {
	return fmt.Sprintf("%s%06x", p, w.rnd.Intn(1<<24))
}

// addNodes starts the processes of the system, count[z] in each zone.
func (w *world) addNodes(zones []string, count []int) error {
	for z, zone := range zones {
		for i := 0; i < count[z]; i++ {
			n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d.%d", w.net, z+1, 10+i)}
			var err error
			if n.store, err = w.store.entrance(fmt.Sprintf("%s.250.%d:8169", w.net, 10+len(w.nodes))); err != nil {
				return err
			}
			w.nodes = append(w.nodes, n)
		}
	}
	for _, n := range w.nodes {
		if err := w.boot(n, zones); err != nil {
			return err
		}
	}
	return nil
}

// boot starts the process of a machine, with the command of the deploy file.
func (w *world) boot(n *node, zones []string) error {
	var b strings.Builder
	add := func(format string, a ...any) { fmt.Fprintf(&b, format+"\n", a...) }
	add("node_name=%s\nrole=entry\nmachine_class=edge\nserves=edge\nip=%s\nzone=%s\nregion=region-1", n.name, n.ip, n.zone)
	for _, z := range zones {
		add("zones.%s=region-1", z)
	}
	add("listen.front=%s:8161\nlisten.ready=%s:8167\nlisten.control=%s:8166\ninternal_ports=7720,7735", n.ip, n.ip, n.ip)
	add("seeds=\nbootstrap=true\nin_fault_budget=false\nlimits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4100")
	add("limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1500")
	add("contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing")
	add("fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0")
	add("bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000")
	add("bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\nbounds.downgrade_slack_ms=250\nbounds.max_skew_ms=5000")
	add("bounds.recovery_s=12\nbounds.hold_max_ms=1000\nbounds.stop_grace_ms=50\nbounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000")
	add("bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.remote_penalty=3\nbounds.checkpoint_s=2")
	add("bounds.restore_ms=600\nbounds.notice_ms=4500\nbounds.move_s=1.5\nbounds.maintenance_s=2\nbounds.require_fencing=true")
	add("bounds.lease_ttl_ms=3000\nbounds.thaw_slack_ms=300\nbounds.pace_ms=100\nbounds.harm_ms=4000\nbounds.retransmit_ms=1300\norders=call")
	add("platform.address=%s\nplatform.form=table\nplatform.writes_per_s=800\nplatform.reads_per_s=2000\nplatform.txn_timeout_ms=8.0", n.store.addr)
	add("platform.partition_writes_s=150\nplatform.max_row_bytes=65536\nplatform.cross_region=false\nplatform.history_s=20")
	path := filepath.Join(w.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return err
	}
	if n.log == nil {
		f, err := os.Create(filepath.Join(w.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.log = f
	}
	cmd := exec.Command("target/gypsumward", "-platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMWARD_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errors.New("the play is over")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.up, n.exited = cmd, true, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.log("node %s started, pid %d", n.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process of a machine. SIGKILL and SIGTERM take it out of rotation.
func (w *world) signal(n *node, s syscall.Signal) {
	w.log("node %s: %v", n.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		w.mu.Lock()
		n.up = false
		w.mu.Unlock()
	}
	w.mu.Lock()
	cmd := n.cmd
	w.mu.Unlock()
	_ = cmd.Process.Signal(s)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	_ = w.store.server.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// pick returns a machine of the system that is in rotation, other than not if there are others.
func (w *world) pick(not *node) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for _, n := range w.nodes {
		if n.up && n != not {
			list = append(list, n)
		}
	}
	if len(list) == 0 && not != nil {
		return not
	}
	if len(list) == 0 {
		return w.nodes[0]
	}
	return list[w.rnd.Intn(len(list))]
}

// call makes one call of a client. Status is zero if there was no whole answer.
func (w *world) call(n *node, method, path string, body []byte, deadline time.Duration) (status int, answer map[string]any) {
	req, _ := http.NewRequest(method, "http://"+n.ip+":8161"+path, bytes.NewReader(body))
	req.Host = w.host
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := *w.client
	client.Timeout = deadline
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	_ = json.Unmarshal(text, &answer)
	return res.StatusCode, answer
}

// add makes a job known to the world.
func (w *world) add(j *job) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.id == "" {
		j.id = fmt.Sprintf("%016x", w.rnd.Uint64())
	}
	j.done, j.alive, j.lastRun, j.starts, j.noted = map[string]bool{}, map[string]int{}, map[string]time.Time{}, map[string]int{}, map[string]bool{}
	j.startedAt, j.endedDone, j.gangs = map[string][]time.Time{}, map[string]time.Time{}, map[string]*gangRun{}
	j.fails, j.away = map[string]int{}, map[string]time.Time{}
	w.jobs[j.id] = j
	w.order = append(w.order, j)
	return j
}

// submit hands a job in until it is accepted or rejected, as a client does: again after no
// answer, 502 or 504, and a second after a rejection, eight tries at most.
func (w *world) submit(j *job) {
	w.add(j)
	m := map[string]any{"spec": "work " + j.id, "steps": j.steps}
	if j.preemptible {
		m["preemptible"] = true
	}
	if j.lasting {
		m["long_running"] = true
	}
	if j.repeat > 0 {
		m["repeat_count"], m["first_run_ms"], m["interval_ms"] = j.repeat, j.first, j.interval
	}
	body, _ := json.Marshal(m)
	j.sent = time.Now()
	var n *node
	wait := 1500 * time.Millisecond
	if j.preemptible {
		wait = 5 * time.Second
	}
	for try := 0; try < 8; try++ {
		n = w.pick(n)
		status, answer := w.call(n, "POST", w.prefix+j.id, body, wait)
		w.log("POST %s at %s: %d %v", j.id, n.name, status, answer)
		switch {
		case status/100 == 2:
			w.mu.Lock()
			j.accepted = time.Now()
			j.state, _ = answer["state"].(string)
			again := w.again && w.rnd.Intn(8) == 0 && !j.preemptible
			wait := time.Duration(500+w.rnd.Intn(8000)) * time.Millisecond
			w.mu.Unlock()
			if again {
				go func() {
					time.Sleep(wait)
					n := w.pick(nil)
					status, answer := w.call(n, "POST", w.prefix+j.id, body, 1500*time.Millisecond)
					w.log("POST again %s at %s: %d %v", j.id, n.name, status, answer)
				}()
			}
			return
		case status == 429 || status == 503:
			w.mu.Lock()
			j.rejected = try == 0 || j.rejected
			w.mu.Unlock()
			if j.preemptible {
				return
			}
			time.Sleep(time.Second)
		case status == 400 || status == 404:
			return
		default:
			time.Sleep(1300 * time.Millisecond)
		}
	}
}

// cancel cancels a job until the cancelling is acknowledged.
func (w *world) cancel(j *job) {
	w.mu.Lock()
	j.cancelled = time.Now()
	w.mu.Unlock()
	var n *node
	for try := 0; try < 8; try++ {
		n = w.pick(n)
		status, _ := w.call(n, "DELETE", w.prefix+j.id, nil, 1500*time.Millisecond)
		w.log("DELETE %s at %s: %d", j.id, n.name, status)
		if status/100 == 2 || status == 410 {
			w.mu.Lock()
			j.cancelAck = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// ask asks for the state of a job for up to the time given, at other machines in turn.
func (w *world) ask(j *job, within time.Duration) (status int, state string) {
	var n *node
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n = w.pick(n)
		var answer map[string]any
		status, answer = w.call(n, "GET", w.prefix+j.id, nil, 1500*time.Millisecond)
		w.log("GET %s at %s: %d %v", j.id, n.name, status, answer)
		if status == 200 || status == 410 {
			state, _ = answer["state"].(string)
			return status, state
		}
	}
	return status, ""
}

// idle reports whether a job has nothing running while a task's turn has come, there is capacity
// for it twice over, and under half of the capacity is in use. The text names the task.
func (w *world) idle(j *job) (string, bool) {
	free, used, total := w.capacity()
	w.mu.Lock()
	defer w.mu.Unlock()
	if j.accepted.IsZero() || !j.cancelled.IsZero() || j.poison || j.failedOften(3) || 2*used >= total {
		return "", false
	}
	for _, n := range j.alive {
		if n > 0 && !j.lasting {
			return "", false
		}
	}
	found := ""
	j.tasks(func(name string, s *step, k int) {
		if found != "" || j.done[name] || j.alive[name] > 0 {
			return
		}
		if j.lasting && time.Since(j.lastRun[name]) < 6*time.Second {
			return
		}
		if j.repeat > 0 && time.Now().Before(time.UnixMilli(j.first+int64(k)*j.interval)) {
			return
		}
		for _, a := range s.After {
			for i := 0; i < j.steps[a].Count; i++ {
				if !j.done[fmt.Sprintf("%s.%d.%d.%d", j.id, k, a, i)] {
					return
				}
			}
		}
		places := 0
		for r, f := range free {
			if s.RequiredLabel == "" || s.RequiredLabel == r.kind || s.RequiredLabel == r.rack {
				places += f / max(s.CPU, 1)
			}
		}
		if places >= 2 {
			found = name
		}
	})
	return found, found != ""
}

func (w *world) capacity() (free map[*runner]int, used, total int) {
	free = map[*runner]int{}
	for _, r := range w.runners {
		r.mu.Lock()
		if r.up && !r.draining {
			u := 0
			for _, x := range r.runs {
				u += x.cpu
			}
			free[r] = r.cpu - u
			used += u
			total += r.cpu
		}
		r.mu.Unlock()
	}
	return free, used, total
}

// watchIdle watches all jobs for a time, and records as LOST each one that is idle for 3 s on end.
func (w *world) watchIdle(d time.Duration) {
	since := map[*job]time.Time{}
	lost := map[*job]bool{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, j := range w.snapshot() {
			task, idle := w.idle(j)
			if !idle {
				delete(since, j)
				continue
			}
			if since[j].IsZero() {
				since[j] = time.Now()
			}
			if time.Since(since[j]) > 3*time.Second && !lost[j] {
				lost[j] = true
				w.breaks("LOST: job %s was accepted, has had nothing running for 3 s, and %s could run", j.id, task)
			}
		}
	}
}

func (w *world) snapshot() []*job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*job(nil), w.order...)
}

// askAll asks for all jobs that were accepted, and records as LOST those without an answer, that
// are not known, or whose state has no cause.
func (w *world) askAll(within time.Duration) {
	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	gate := make(chan struct{}, 32)
	for _, j := range w.snapshot() {
		w.mu.Lock()
		asked := !j.accepted.IsZero() && !j.preemptible && j.cancelled.IsZero()
		w.mu.Unlock()
		if !asked {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			gate <- struct{}{}
			status, state := w.ask(j, within)
			<-gate
			mu.Lock()
			defer mu.Unlock()
			w.mu.Lock()
			defer w.mu.Unlock()
			counts[fmt.Sprint(status, " ", state)]++
			switch {
			case status != 200:
				w.breaks("LOST: job %s was accepted, and asked for it there is no answer but %d for %v", j.id, status, within)
			case (state == "failed" && !j.poison && !j.failedOften(3)) || state == "cancelled":
				w.breaks("LOST: job %s is shown as %s without cause", j.id, state)
			case state == "succeeded" && !j.complete():
				w.breaks("MIXED: job %s is shown as succeeded while a task has not ended so", j.id)
			}
		}()
	}
	group.Wait()
	w.log("asked for all jobs: %v", counts)
	fmt.Println("asked for all jobs:", counts)
}

// ready waits until all machines answer their readiness probe with 200.
func (w *world) ready(within time.Duration) bool {
	end := time.Now().Add(within)
	for _, n := range w.nodes {
		for {
			res, err := w.client.Get("http://" + n.ip + ":8167/api/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func portFree(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err == nil {
		_ = l.Close()
	}
	return err == nil
}

// watchStates asks for the states of jobs that were accepted, at machines drawn by chance.
func (w *world) watchStates(stop chan struct{}, seed int64) {
	rnd := rand.New(rand.NewSource(seed))
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		list := w.snapshot()
		if len(list) == 0 {
			continue
		}
		j := list[max(0, len(list)-1-rnd.Intn(60))]
		w.mu.Lock()
		skip := j.accepted.IsZero() || j.preemptible || !j.cancelled.IsZero()
		w.mu.Unlock()
		if skip {
			continue
		}
		n := w.pick(nil)
		status, answer := w.call(n, "GET", w.prefix+j.id, nil, 1500*time.Millisecond)
		state, _ := answer["state"].(string)
		w.mu.Lock()
		switch {
		case !j.cancelled.IsZero():
		case status == 410 && time.Since(j.accepted) > 5*time.Second:
			w.breaks("LOST: job %s, accepted %v before, is answered 410 at %s", j.id, time.Since(j.accepted), n.name)
		case status == 410:
			w.log("early 410 for %s at %s, %v after", j.id, n.name, time.Since(j.accepted))
		case state == "succeeded" && !j.complete():
			w.breaks("MIXED: job %s is shown as succeeded at %s while a task has not ended so", j.id, n.name)
		case (state == "failed" && !j.poison && !j.failedOften(3)) || state == "cancelled":
			w.breaks("LOST: job %s is shown as %s without cause at %s", j.id, state, n.name)
		}
		w.mu.Unlock()
	}
}
