// Command review-2 holds the stand-ins of the second review and plays its scripted cases: the
// platform's store, the runners, the clients and the machines' processes.
package main

import (
	"fmt"
	"math"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zonesOf are the zones of the small deployment, with 3, 3 and 2 machines and 16 runners each.
var (
	zones    = []string{"hobart", "sandy-bay", "norfolk"}
	machines = []int{3, 3, 2}
)

// runnersOf is the number of runners in each zone; 16 for cases that are not listed.
var runnersOf = map[string]int{"last-attempt": 11, "fillers": 4, "no-filling": 4}

const perZone = 16

// Exit codes.
const (
	held   = 0
	broke  = 1
	failed = 2
)

var cases = map[string]func(w *world, trouble bool) error{
	"zone-machines": zoneMachines,
	"zone-all":      zoneAll,
	"many-times":    manyTimes,
	"last-attempt":  lastAttempt,
	"labelled":      labelled,
	"schedules":     schedules,
	"fillers":       fillers,
	"no-filling":    noFilling,
	"stress":        stress,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(failed)
	}
	runners := runnersOf[os.Args[1]]
	if runners == 0 {
		runners = perZone
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], runners, os.Getenv("TROUBLE") != "0"))
}

func play(run func(w *world, trouble bool) error, record string, runners int, trouble bool) int {
	w, err := newWorld(record, zones, runners)
	if err != nil {
		fmt.Println("could not run:", err)
		return failed
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(failed)
	}()
	time.Sleep(1500 * time.Millisecond)
	if err := w.addNodes(zones, machines); err != nil {
		fmt.Println("could not run:", err)
		return failed
	}
	if !w.ready(20 * time.Second) {
		fmt.Println("could not run: the machines are not ready")
		return failed
	}
	w.log("ready")
	if err := run(w, trouble); err != nil {
		fmt.Println("could not run:", err)
		return failed
	}
	for _, r := range w.runners {
		r.mu.Lock()
		r.up = false
		r.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, b := range w.broken {
		if i < 12 {
			fmt.Println(b)
		}
	}
	if len(w.broken) > 0 {
		fmt.Println("broken:", len(w.broken))
		return broke
	}
	fmt.Println("held")
	return held
}

// traffic hands in stored jobs for a time: each every often.
func (w *world) traffic(d, every time.Duration, make func(i int) *job) *sync.WaitGroup {
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		j := make(i)
		group.Add(1)
		go func() {
			defer group.Done()
			w.submit(j)
		}()
		time.Sleep(every)
	}
	return &group
}

// stored returns a stored job of a few tasks.
func stored(i int) *job {
	takes := time.Duration(300+100*(i%5)) * time.Millisecond
	return &job{steps: []step{
		{Count: 2 + i%3, CPU: 4000, Mem: 64, Estimate: int(takes.Milliseconds()), takes: takes},
		{Count: 1, CPU: 4000, Mem: 64, Estimate: int(takes.Milliseconds()), After: []int{0}, takes: takes},
	}}
}

// zoneMachines removes all machines of the system in one zone for good while jobs run.
func zoneMachines(w *world, trouble bool) error {
	group := w.traffic(6*time.Second, 30*time.Millisecond, stored)
	if trouble {
		for _, n := range w.nodes {
			if n.zone == zones[2] {
				w.signal(n, syscall.SIGKILL)
			}
		}
	}
	ended := time.Now()
	group.Wait()
	time.Sleep(time.Until(ended.Add(14 * time.Second)))
	w.log("finish_s after the end of the traffic")
	w.watchIdle(3500 * time.Millisecond)
	w.askAll(4 * time.Second)
	return nil
}

// zoneAll loses a zone for good, machines of the system and runners, while jobs run.
func zoneAll(w *world, trouble bool) error {
	group := w.traffic(6*time.Second, 30*time.Millisecond, stored)
	if trouble {
		for _, n := range w.nodes {
			if n.zone == zones[2] {
				w.signal(n, syscall.SIGKILL)
			}
		}
		for _, r := range w.runners {
			if r.zone == zones[2] {
				r.crash()
			}
		}
	}
	ended := time.Now()
	group.Wait()
	time.Sleep(time.Until(ended.Add(44 * time.Second)))
	w.watchIdle(5 * time.Second)
	w.askAll(4 * time.Second)
	return nil
}

// manyTimes hands in, beside the usual jobs, five jobs within 3 s that can never be done: their
// steps shall run for ever, 2^63-1 times, the largest number of its type.
func manyTimes(w *world, trouble bool) error {
	stop := make(chan struct{})
	defer close(stop)
	ends := w.restartEnded(stop)
	group := w.traffic(3*time.Second, 50*time.Millisecond, stored)
	for i := 0; i < 5 && trouble; i++ {
		go func() {
			time.Sleep(time.Duration(i) * 600 * time.Millisecond)
			w.submit(&job{repeat: math.MaxInt64, first: time.Now().Add(time.Second).UnixMilli(), interval: 60000,
				steps: []step{{Count: 2, CPU: 500, Mem: 64, Estimate: 300, takes: 300 * time.Millisecond}}})
		}()
	}
	more := w.traffic(12*time.Second, 50*time.Millisecond, stored)
	group.Wait()
	more.Wait()
	w.checkEnds(ends())
	return nil
}

// checkEnds records as broken that processes of a tenth of the machines, two at least, have ended
// by themselves three times.
func (w *world) checkEnds(ends map[string]int) {
	often := 0
	for name, n := range ends {
		w.log("the process of %s has ended by itself %d times", name, n)
		if n >= 3 {
			often++
		}
	}
	fmt.Println("ends of processes by themselves:", ends)
	if often >= 2 {
		w.breaks("Fault: on %d of %d machines the processes have ended by themselves three times or more: %v", often, len(w.nodes), ends)
	}
}

// restartEnded starts each process that ends by itself again, half a second later. The function
// that it returns gives the number of ends by machine.
func (w *world) restartEnded(stop chan struct{}) func() map[string]int {
	var mu sync.Mutex
	ends := map[string]int{}
	for _, n := range w.nodes {
		go func() {
			for {
				w.mu.Lock()
				exited := n.exited
				w.mu.Unlock()
				select {
				case <-stop:
					return
				case <-exited:
				}
				w.mu.Lock()
				own := n.up
				n.up = false
				w.mu.Unlock()
				if !own {
					return
				}
				w.log("node %s: its process has ended by itself: %v", n.name, n.cmd.ProcessState)
				mu.Lock()
				ends[n.name]++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				if w.boot(n, zones) != nil {
					return
				}
			}
		}()
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		copied := map[string]int{}
		for k, v := range ends {
			copied[k] = v
		}
		return copied
	}
}

// lastAttempt lets two of the three runners of a kind fail what they start for 6 s, while the third
// is busy for long.
func lastAttempt(w *world, trouble bool) error {
	// The first three runners of the first zone are the only ones of the kind g.
	for _, r := range w.runners[:3] {
		r.mu.Lock()
		r.kind = "g"
		r.mu.Unlock()
		r.report()
	}
	time.Sleep(1500 * time.Millisecond)
	var grey [3]bool
	w.submit(&job{steps: []step{{Count: 1, CPU: 32000, Mem: 64, Estimate: 60000, RequiredLabel: "g", takes: time.Minute}}})
	time.Sleep(time.Second)
	if trouble {
		for i, r := range w.runners[:3] {
			r.mu.Lock()
			grey[i] = len(r.runs) == 0
			r.mu.Unlock()
			r.grey.Store(grey[i])
			w.log("runner %s fails what it starts: %v", r.id, grey[i])
		}
	}
	began := time.Now()
	var group sync.WaitGroup
	for i := 0; i < 12; i++ {
		group.Add(1)
		go func() {
			defer group.Done()
			w.submit(&job{steps: []step{{Count: 1, CPU: 4000, Mem: 64, Estimate: 20000, RequiredLabel: "g", takes: 20 * time.Second}}})
		}()
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	for _, r := range w.runners[:3] {
		r.grey.Store(false)
	}
	time.Sleep(time.Until(began.Add(16 * time.Second)))
	w.watchIdle(4 * time.Second)
	w.askAll(4 * time.Second)
	return nil
}

// labelled loses one of three runners of a kind for good, while jobs that require the kind come.
func labelled(w *world, trouble bool) error {
	for z := range zones {
		r := w.runners[z*perZone]
		r.mu.Lock()
		r.kind = "g"
		r.mu.Unlock()
		r.report()
	}
	time.Sleep(1500 * time.Millisecond)
	wanted := func(int) *job {
		return &job{steps: []step{{Count: 1, CPU: 4000, Mem: 64, Estimate: 300, RequiredLabel: "g", takes: 300 * time.Millisecond}}}
	}
	w.traffic(4*time.Second, 100*time.Millisecond, wanted).Wait()
	if trouble {
		w.runners[0].crash()
	}
	w.traffic(4*time.Second, 100*time.Millisecond, wanted).Wait()
	time.Sleep(14 * time.Second)
	w.watchIdle(3500 * time.Millisecond)
	w.askAll(4 * time.Second)
	return nil
}

// fillers crashes one runner for good that serves, while tasks that fill, of which one may be
// unavailable at a time, are on all runners that do not serve.
func fillers(w *world, trouble bool) error {
	serving := &job{lasting: true, steps: []step{{Count: 6, CPU: 14000, Mem: 64, Estimate: 1000, TargetMS: 50, AntiAffinity: 1}}}
	w.submit(serving)
	time.Sleep(2 * time.Second)
	fill := &job{lasting: true, steps: []step{{Count: 18, CPU: 10000, Mem: 64, Estimate: 1000, Fills: true, MaxUnavailable: 1}}}
	w.submit(fill)
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	w.log("at work: %d serving, %d filling", len(serving.alive), len(fill.alive))
	w.mu.Unlock()
	if trouble {
		for _, r := range w.runners {
			r.mu.Lock()
			serves := false
			for _, x := range r.runs {
				id, _ := jobOf(x.task)
				serves = serves || id == serving.id
			}
			r.mu.Unlock()
			if serves {
				r.crash()
				break
			}
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}

// schedules hands in, within 7 s, many scheduled jobs of 4,000 tasks in all their occurrences, beside
// the usual ones. A process over its memory is killed, as the platform does.
func schedules(w *world, trouble bool) error {
	stop := make(chan struct{})
	defer close(stop)
	exits := w.restartEnded(stop)
	highest := w.limitMemory(284<<20, stop)
	group := w.traffic(3*time.Second, 50*time.Millisecond, stored)
	var burst *sync.WaitGroup
	if trouble {
		go func() {
			burst = w.traffic(7*time.Second, 5*time.Millisecond, func(int) *job {
				return &job{repeat: 1000, first: time.Now().Add(time.Hour).UnixMilli(), interval: 3600000,
					steps: []step{{Count: 4, CPU: 500, Mem: 64, Estimate: 300, takes: 300 * time.Millisecond}}}
			})
		}()
	}
	more := w.traffic(20*time.Second, 50*time.Millisecond, stored)
	time.Sleep(14 * time.Second)
	group.Wait()
	more.Wait()
	if trouble {
		burst.Wait()
	}
	w.watchIdle(3500 * time.Millisecond)
	n := 0
	for _, j := range w.snapshot() {
		if j.repeat > 0 && !j.accepted.IsZero() {
			n++
		}
	}
	fmt.Println("scheduled jobs accepted:", n, "highest memory:", highest())
	w.checkEnds(exits())
	return nil
}

// limitMemory kills a process of the system that exceeds the limit, as the platform does. The
// function that it returns gives the highest use in MB by machine.
func (w *world) limitMemory(limit int, stop chan struct{}) func() map[string]int {
	var mu sync.Mutex
	highest := map[string]int{}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, n := range w.nodes {
				w.mu.Lock()
				process := n.cmd.Process
				w.mu.Unlock()
				text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid))
				fields := strings.Fields(string(text))
				if err != nil || len(fields) < 2 {
					continue
				}
				pages, _ := strconv.Atoi(fields[1])
				used := pages * os.Getpagesize()
				mu.Lock()
				highest[n.name] = max(highest[n.name], used>>20)
				mu.Unlock()
				if used > limit {
					w.log("node %s uses %d MB and is killed", n.name, used>>20)
					_ = process.Kill()
				}
			}
		}
	}()
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		copied := map[string]int{}
		for k, v := range highest {
			copied[k] = v
		}
		return copied
	}
}

// noFilling crashes, for good, the only runner without a task that serves, while jobs that fill come.
func noFilling(w *world, trouble bool) error {
	serving := &job{lasting: true, steps: []step{{Count: 11, CPU: 4000, Mem: 64, Estimate: 1000, TargetMS: 50, AntiAffinity: 1}}}
	w.submit(serving)
	time.Sleep(2 * time.Second)
	filling := func(int) *job {
		return &job{steps: []step{{Count: 1, CPU: 2000, Mem: 64, Estimate: 500, Fills: true, takes: 500 * time.Millisecond}}}
	}
	w.traffic(4*time.Second, 200*time.Millisecond, filling).Wait()
	if trouble {
		for _, r := range w.runners {
			r.mu.Lock()
			serves := false
			for _, x := range r.runs {
				id, _ := jobOf(x.task)
				serves = serves || id == serving.id
			}
			r.mu.Unlock()
			if !serves {
				r.crash()
			}
		}
	}
	w.traffic(4*time.Second, 200*time.Millisecond, filling).Wait()
	time.Sleep(14 * time.Second)
	w.watchIdle(3500 * time.Millisecond)
	w.askAll(4 * time.Second)
	return nil
}
