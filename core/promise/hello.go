package promise

import (
	"time"

	"gypsumward/core/election"
	"gypsumward/core/span"
)

// Durations of promises.
const (
	NormalDuration   = 600 * time.Millisecond
	ExtendedDuration = 6 * time.Second // while the store shows no heartbeat of the holder
)

// driftDivisor is the inverse of the fraction of a promise that the holder disregards,
// since the rates of clocks differ.
const driftDivisor = 20

// Hello is the message that an instance sends to the holder. It identifies the sender and
// reports the promise given with the last reply.
type Hello struct {
	election.Member
	HolderIncarnation string    `json:"holder,omitempty"` // incarnation that sent the last reply; empty if there was none
	ReplyTimestamp    int64     `json:"stamp,omitempty"`  // Timestamp of that reply
	PromiseDuration   span.Span `json:"length,omitempty"` // of the promise, from the arrival of that reply
	Cells             int       `json:"cells,omitempty"`  // number of cells the sender holds

	// Leaving means that the sender shuts down, so that it must not become the holder.
	Leaving bool `json:"leaving,omitempty"`

	// StandbyOnly means that the sender takes over only as a standby of the holder. Instances
	// of builds without standbys take over at any time.
	StandbyOnly bool `json:"standby,omitempty"`
}

// HelloReply is the reply to a Hello.
type HelloReply struct {
	Leading     bool   `json:"leading"` // the instance is the holder
	Incarnation string `json:"life"`
	Timestamp   int64  `json:"stamp"` // when the reply was sent, in nanoseconds on the clock of the sender

	HeartbeatAge span.Span `json:"beat,omitempty"` // time since the holder sent the last heartbeat that was written; zero if none was

	// Heartbeat is the last heartbeat that was written, and HeartbeatVersion the version of
	// its row; zero if none was.
	Heartbeat        election.Heartbeat `json:"last"`
	HeartbeatVersion int64              `json:"version,omitempty"`
}

// maxHeartbeatAge is the age of a heartbeat from which on the holder's path through the
// store is considered broken.
const maxHeartbeatAge = 900 * time.Millisecond

// heartbeatMissing reports whether the holder has no recent heartbeat.
func (r HelloReply) heartbeatMissing() bool {
	return r.HeartbeatAge == 0 || r.HeartbeatAge.Duration() > maxHeartbeatAge
}
