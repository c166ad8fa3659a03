package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stress plays random faults for a time; SEED draws them and KINDS limits them.
func stress(w *world, trouble bool) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(&lockedSource{src: rand.NewSource(seed)})
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	stop := make(chan struct{})
	defer close(stop)
	long := os.Getenv("LONG") != ""
	lanes, _ := strconv.Atoi(os.Getenv("LANES"))
	var cancelled []*job
	make1 := func(i int) *job {
		takes := time.Duration(100+rnd.Intn(900)) * time.Millisecond
		if long && rnd.Intn(3) == 0 {
			takes = time.Duration(1000+rnd.Intn(5000)) * time.Millisecond
		}
		est := int(takes.Milliseconds())
		switch i % 8 {
		case 0:
			return &job{preemptible: true, steps: []step{{Count: 1 + rnd.Intn(6), CPU: 8000, Mem: 64, Estimate: est, takes: takes}}}
		case 1:
			return &job{steps: []step{{Count: 2 + rnd.Intn(3), CPU: 6000, Mem: 64, Gang: true, Estimate: est, takes: takes}, {Count: 1, CPU: 1000, After: []int{0}, Estimate: 100, takes: 100 * time.Millisecond}}}
		case 2:
			return &job{repeat: 4, first: time.Now().Add(1500 * time.Millisecond).UnixMilli(), interval: 700, steps: []step{{Count: 2, CPU: 2000, Estimate: est, takes: takes}}}
		case 3:
			j := stored(i)
			cancelled = append(cancelled, j)
			return j
		case 4:
			if i%48 == 4 {
				return &job{lasting: true, steps: []step{{Count: 4, CPU: 1000, Mem: 64, Estimate: 1000}}}
			}
		case 6:
			if i%120 == 6 {
				return &job{steps: []step{{Count: 1200, CPU: 1000, Mem: 16, Estimate: 500, Checkpointable: true, takes: 500 * time.Millisecond}}}
			}
		case 5:
			if i%40 == 5 {
				return &job{poison: true, steps: []step{{Count: 3, CPU: 1000, Mem: 64, Estimate: est, takes: takes, fails: func(index, _ int) bool { return index == 1 }}}}
			}
		}
		return stored(i)
	}
	faults := map[string]func(){
		"kill": func() {
			n := w.nodes[rnd.Intn(len(w.nodes))]
			w.signal(n, syscall.SIGKILL)
			time.Sleep(time.Duration(500+rnd.Intn(3000)) * time.Millisecond)
			<-n.exited
			_ = w.boot(n, zones)
		},
		"nodestore": func() {
			n := w.nodes[rnd.Intn(len(w.nodes))]
			n.store.fault.Store([]string{"silent", "busy", "reset"}[rnd.Intn(3)])
			time.Sleep(time.Duration(1500+rnd.Intn(7000)) * time.Millisecond)
			n.store.fault.Store("")
		},
		"allstore": func() {
			how := []string{"silent", "busy", "reset"}[rnd.Intn(3)]
			for _, n := range w.nodes {
				n.store.fault.Store(how)
			}
			time.Sleep(4500 * time.Millisecond)
			for _, n := range w.nodes {
				n.store.fault.Store("")
			}
		},
		"roll": func() {
			for _, n := range w.nodes {
				go func() {
					w.signal(n, syscall.SIGTERM)
					select {
					case <-n.exited:
					case <-time.After(6 * time.Second):
						w.signal(n, syscall.SIGKILL)
						<-n.exited
					}
					time.Sleep(500 * time.Millisecond)
					_ = w.boot(n, zones)
				}()
				time.Sleep(1300 * time.Millisecond)
			}
		},
		"killall": func() {
			for _, n := range w.nodes {
				w.signal(n, syscall.SIGKILL)
			}
			time.Sleep(time.Duration(600+rnd.Intn(1000)) * time.Millisecond)
			for _, n := range w.nodes {
				<-n.exited
				_ = w.boot(n, zones)
			}
		},
		"term": func() {
			n := w.nodes[rnd.Intn(len(w.nodes))]
			w.signal(n, syscall.SIGTERM)
			select {
			case <-n.exited:
			case <-time.After(6 * time.Second):
				w.signal(n, syscall.SIGKILL)
				<-n.exited
			}
			time.Sleep(500 * time.Millisecond)
			_ = w.boot(n, zones)
		},
		"blink": func() {
			n := w.nodes[rnd.Intn(len(w.nodes))]
			w.signal(n, syscall.SIGSTOP)
			time.Sleep(time.Duration(400+rnd.Intn(1100)) * time.Millisecond)
			w.signal(n, syscall.SIGCONT)
		},
		"freeze": func() {
			n := w.nodes[rnd.Intn(len(w.nodes))]
			w.signal(n, syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rnd.Intn(3500)) * time.Millisecond)
			w.signal(n, syscall.SIGCONT)
		},
		"crash": func() {
			for k := 0; k < 5; k++ {
				r := w.runners[rnd.Intn(len(w.runners))]
				go func() {
					r.crash()
					time.Sleep(time.Duration(200+rnd.Intn(4000)) * time.Millisecond)
					_ = r.begin()
				}()
			}
		},
		"cut": func() {
			for k := 0; k < 7; k++ {
				r := w.runners[rnd.Intn(len(w.runners))]
				d := time.Duration(500+rnd.Intn(5000)) * time.Millisecond
				go func() {
					w.log("runner %s cut", r.id)
					r.cut.Store(true)
					time.Sleep(d)
					r.cut.Store(false)
				}()
			}
		},
		"late": func() {
			for _, r := range w.runners {
				p := rand.New(rand.NewSource(rnd.Int63()))
				until := time.Now().Add(5 * time.Second)
				r.answer = func(call string) (time.Duration, bool) {
					if time.Now().Before(until) && call != "hold" && p.Float64() < 0.055 {
						return time.Duration(2000+p.Intn(10000)) * time.Millisecond, true
					}
					return 0, false
				}
			}
		},
		"lost": func() {
			until := time.Now().Add(4500 * time.Millisecond)
			w.store.delay = func(*http.Request) (time.Duration, bool) {
				if time.Now().Before(until) && rand.Float64() < 0.3 {
					if rand.Float64() < 0.5 {
						return time.Duration(1000+rand.Intn(5000)) * time.Millisecond, true
					}
					return 0, true
				}
				return 0, false
			}
		},
		"slow": func() {
			until := time.Now().Add(4500 * time.Millisecond)
			w.store.delay = func(*http.Request) (time.Duration, bool) {
				if time.Now().Before(until) {
					return 600 * time.Millisecond, false
				}
				return 0, false
			}
		},
	}
	for lane := 0; trouble && lane < max(lanes, 1); lane++ {
		go func() {
			for end := time.Now().Add(14 * time.Second); time.Now().Before(end); {
				kind := kinds[rnd.Intn(len(kinds))]
				time.Sleep(time.Duration(300+rnd.Intn(1700)) * time.Millisecond)
				w.log("fault %s", kind)
				faults[kind]()
			}
		}()
	}
	go func() {
		at := 0
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			if at < len(cancelled) {
				j := cancelled[at]
				w.mu.Lock()
				ok := !j.accepted.IsZero()
				w.mu.Unlock()
				if ok {
					w.cancel(j)
				}
				at++
			}
		}
	}()
	go w.watchStates(stop, rnd.Int63())
	w.mu.Lock()
	w.again = true
	w.mu.Unlock()
	group := w.traffic(15*time.Second, 40*time.Millisecond, make1)
	group.Wait()
	time.Sleep(14 * time.Second)
	w.watchIdle(3500 * time.Millisecond)
	w.askAll(4 * time.Second)
	fmt.Println("jobs", len(w.order))
	return nil
}

// lockedSource is a source of random numbers for several goroutines.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Int63 returns the next number.
func (l *lockedSource) Int63() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.src.Int63()
}

// Seed sets the seed.
func (l *lockedSource) Seed(seed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.src.Seed(seed)
}
