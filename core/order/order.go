package order

import (
	"time"

	"gypsumward/core/work"
)

// Target says where an order goes.
type Target struct {
	ID   string // of the runner
	Addr string // IP number and port
}

// Start starts a run of a task.
type Start struct {
	Task     work.Task
	Run      int // above all earlier runs of the task
	Spec     string
	Deadline int64 // until which all that the runner does is leased
	Token    int64
	Saved    string // checkpoint from which the run goes on; empty if there is none
	Ticket   string // of the adviser; empty if the queue has none
}

// Stop ends a run of a task.
type Stop struct {
	Task  work.Task
	Run   int
	Token int64
}

// Hold renews the lease on all that a runner does and asks what runs and ended.
type Hold struct {
	Deadline int64 // zero renews nothing
	Token    int64
	Acked    int64         // ends up to this number may be forgotten
	Wait     time.Duration // for an end, before it is answered
}

// Verdict is what a runner said to an order.
type Verdict int

// The verdicts.
const (
	Unknown   Verdict = iota // no answer: it may have been carried out or may yet be
	Done                     // carried out
	Fenced                   // a higher token was seen; nothing was done
	Old                      // a run at least as high was there; nothing was done
	Late                     // the deadline has passed; nothing was done
	Full                     // no room; nothing was done
	Unfit                    // the runner is unwell; nothing was done
	Other                    // another incarnation answered; nothing was done
	Invalid                  // the order was not understood; nothing was done
	Unadvised                // the ticket does not hold; nothing was done
)

// String returns the verdict in one word.
func (v Verdict) String() string {
	words := [...]string{"unknown", "done", "fenced", "old", "late", "full", "unfit", "other", "invalid", "unadvised"}
	if int(v) < len(words) {
		return words[v]
	}
	return "?"
}

// Reply is the answer to a Start or Stop.
type Reply struct {
	Verdict Verdict
	Clock   int64 // of the runner; zero if it did not say
}

// How tells how a run ended.
type How string

// The ways in which a run ends.
const (
	Finished How = "done"
	Failed   How = "failed"
	Stopped  How = "stopped"
	Lapsed   How = "lapsed"
	Broken   How = "broken"
	Alone    How = "alone"
)

// Active is a run that is there.
type Active struct {
	Task    work.Task
	Run     int
	Percent float64
	Saved   string // last checkpoint, if any
}

// End is a run that has ended. N counts the ends of one life of a runner from 1.
type End struct {
	N     int64
	Task  work.Task
	Run   int
	How   How
	Saved string // last checkpoint, if any
}

// Held is the answer to a Hold. Born tells the lives of a runner apart.
type Held struct {
	Verdict Verdict
	Clock   int64
	Born    int64
	Active  []Active
	Ends    []End
}

// Advice is the answer of the adviser: which of the runners that were named may run a
// step.
type Advice struct {
	Known   bool              // false if there was no answer
	Tickets map[string]string // by runner
	Valid   time.Duration     // for which the tickets hold
}
