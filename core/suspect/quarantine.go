package suspect

import "time"

// gate is whether a target, or a target for one kind, is open.
type gate struct {
	closed  bool
	probing bool      // a probe is outstanding
	next    time.Time // of the next probe
	wait    time.Duration
	passes  int // good probes in a row
	opened  time.Time
}

// calm is how many times the last wait a target has to be good for its next wait
// to start from the first again.
const calm = 10

// shut closes the gate. One that was opened not long ago waits longer.
func (g *gate) shut(now time.Time, s Settings) {
	if g.wait > 0 && now.Sub(g.opened) < calm*g.wait {
		g.wait = min(2*g.wait, s.Longest)
	} else {
		g.wait = s.First
	}
	g.closed, g.passes, g.probing = true, 0, false
	g.next = now.Add(g.wait)
}

// pass counts a good probe, and reports whether it opened the gate.
func (g *gate) pass(now time.Time, s Settings) bool {
	g.probing = false
	g.next = now
	if g.passes++; g.passes < s.Passes {
		return false
	}
	g.closed, g.opened = false, now
	return true
}

// miss counts a probe that failed.
func (g *gate) miss(now time.Time, s Settings) {
	g.probing, g.passes = false, 0
	g.wait = min(2*g.wait, s.Longest)
	g.next = now.Add(g.wait)
}

// ready reports whether a probe may be sent.
func (g *gate) ready(now time.Time) bool {
	return g.closed && !g.probing && !now.Before(g.next)
}
