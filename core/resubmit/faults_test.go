package resubmit_test

import (
	"fmt"
	"time"
)

// disturbance is a kind of fault that is injected at random times. Its field do may wait.
type disturbance struct {
	name string
	do   func(w *world)
}

// Lengths of disturbances.
const (
	shortest     = 100 * time.Millisecond
	longest      = 2500 * time.Millisecond
	longestPause = 4500 * time.Millisecond
)

// length returns a random length of a disturbance.
func (w *world) length() time.Duration { return w.between(shortest, longest) }

// victim returns a random instance, or nil if too few are left.
func (w *world) victim() *instance {
	live := w.live()
	if len(live) < 2 {
		return nil
	}
	return live[w.random(int64(len(live)))]
}

// anyRunner returns the id of a random runner.
func (w *world) anyRunner() string {
	return fmt.Sprintf("r%d-%d", w.random(int64(len(w.cells))), w.random(runnersPerCell))
}

// restart starts the next incarnation of an instance that has been killed, unless the play has
// ended.
func (w *world) restart(i *instance) {
	time.Sleep(w.length())
	w.mu.Lock()
	w.incarnations++
	n, ended := w.incarnations, w.ended
	w.mu.Unlock()
	if ended {
		return
	}
	next := w.startInstance(i.number, n)
	w.mu.Lock()
	w.instances[i.number] = next
	w.mu.Unlock()
}

// The kinds of disturbances.
var (
	kills = disturbance{"kills", func(w *world) {
		if i := w.victim(); i != nil && i.kill() {
			w.restart(i)
		}
	}}
	pauses = disturbance{"pauses", func(w *world) {
		if i := w.victim(); i != nil {
			i.pause(w.between(shortest, longestPause))
		}
	}}
	clientPauses = disturbance{"clientpauses", func(w *world) {
		if i := w.victim(); i != nil {
			i.pauseClients(w.between(shortest, longestPause))
		}
	}}
	leaves = disturbance{"leaves", func(w *world) {
		if i := w.victim(); i != nil && !i.draining.Swap(true) && i.leave() {
			w.restart(i)
		}
	}}
	resets = disturbance{"resets", func(w *world) {
		if i := w.victim(); i != nil {
			w.log(i.life, "event", "reset")
			w.net.reset(func(from, to string) bool { return from == i.name || to == i.name })
			w.breakCalls(i)
		}
	}}
	clientResets = disturbance{"clientresets", func(w *world) {
		if i := w.victim(); i != nil {
			w.log(i.life, "event", "clientreset")
			w.breakCalls(i)
		}
	}}
	peerCuts = disturbance{"peercuts", func(w *world) {
		a, b := w.victim(), w.victim()
		if a != nil && b != nil && a != b {
			w.cut(a.name, b.name, w.random(2) == 0)
		}
	}}
	runnerCuts = disturbance{"runnercuts", func(w *world) {
		if i := w.victim(); i != nil {
			r := w.anyRunner()
			switch w.random(3) {
			case 0:
				w.cut(i.name, r, true)
			case 1:
				w.cut(i.name, r, false)
			default:
				w.cut(r, i.name, false)
			}
		}
	}}
	storeCuts = disturbance{"storecuts", func(w *world) {
		if i := w.victim(); i != nil {
			w.cut(i.name, storeHost, w.random(2) == 0)
		}
	}}
	runnerRestarts = disturbance{"runnerrestarts", func(w *world) {
		id := w.anyRunner()
		w.mu.Lock()
		w.runners[id].crash()
		w.mu.Unlock()
		time.Sleep(w.between(time.Millisecond, time.Second))
		w.mu.Lock()
		w.runners[id].boot()
		w.mu.Unlock()
	}}
)

// cut blocks the path between two hosts for a random time, in one direction or in both.
func (w *world) cut(from, to string, both bool) {
	d := w.length()
	w.log(from, "event", "cut", "to", to, "both", both, "for", d)
	w.net.block(from, to, d)
	if both {
		w.net.block(to, from, d)
	}
}

// disturb injects n disturbances of the given kinds at random times within d.
func (w *world) disturb(n int, d time.Duration, kinds ...disturbance) {
	for range n {
		kind, at := kinds[w.random(int64(len(kinds)))], w.between(0, d)
		w.running.Go(func() {
			time.Sleep(at)
			kind.do(w)
		})
	}
}
