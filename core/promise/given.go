package promise

import (
	"time"

	"gypsumward/core/span"
	"gypsumward/core/tenure"
)

// Given is what an instance has promised. The zero value has promised nothing.
type Given struct {
	last  Greeting
	at    time.Time // of the last answer
	until time.Time
}

// Begin promises for a new life of an instance what a former one may have promised.
func (g *Given) Begin(now time.Time) {
	g.until = now.Add(Dark)
}

// Greeting returns what to tell the holder.
func (g *Given) Greeting(self tenure.Member) Greeting {
	next := g.last
	next.Member = self
	return next
}

// Take takes the answer to a greeting at now. Dark tells that the store shows no signs
// of life of the holder.
func (g *Given) Take(now time.Time, a Answer, dark bool) {
	if !a.Leading {
		return
	}
	length := Plain
	if dark {
		length = Dark
	}
	g.at = now
	g.last = Greeting{Holder: a.Life, Stamp: a.Stamp, Length: span.Of(length)}
	if end := now.Add(length); end.After(g.until) {
		g.until = end
	}
}

// Answered returns when the holder last answered; zero if it never did.
func (g *Given) Answered() time.Time { return g.at }

// Until returns until when this instance does not replace a holder that may be alive.
func (g *Given) Until() time.Time { return g.until }
