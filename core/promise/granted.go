package promise

import (
	"time"

	"gypsumward/core/election"
	"gypsumward/core/span"
)

// Granted records the promises that an instance has given. The zero value has given none.
type Granted struct {
	lastHello Hello     // the next hello message, without the member
	repliedAt time.Time // when the holder last replied
	until     time.Time // end of the longest promise
	leaving   bool
}

// Restart sets the promise of a new incarnation of an instance to the longest that a
// previous incarnation may have given.
func (g *Granted) Restart(now time.Time) {
	g.until = now.Add(ExtendedDuration)
}

// NextHello returns the hello message to send to the holder.
func (g *Granted) NextHello(self election.Member) Hello {
	next := g.lastHello
	next.Member, next.Leaving = self, g.leaving
	return next
}

// RecordReply records a reply to a hello message, received at now, and gives the promise
// that goes with it. The promise is longer if the holder reports no recent heartbeat, or if
// this instance shuts down: the next incarnation keeps it.
// Replies of instances that are not the holder are ignored.
func (g *Granted) RecordReply(now time.Time, reply HelloReply) {
	if !reply.Leading {
		return
	}
	validFor := NormalDuration
	if g.leaving || reply.heartbeatMissing() {
		validFor = ExtendedDuration
	}
	g.repliedAt = now
	g.lastHello = Hello{HolderIncarnation: reply.Incarnation, ReplyTimestamp: reply.Timestamp, PromiseDuration: span.Of(validFor)}
	if end := now.Add(validFor); end.After(g.until) {
		g.until = end
	}
}

// Leave makes all further hello messages say that this instance shuts down and takes over no
// more.
func (g *Granted) Leave() { g.leaving = true }

// LastReply returns when the holder last replied; zero if it never did.
func (g *Granted) LastReply() time.Time { return g.repliedAt }

// Until returns the time until which this instance must not take over from a holder that
// may be alive.
func (g *Granted) Until() time.Time { return g.until }
