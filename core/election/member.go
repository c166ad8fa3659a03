package election

import (
	"encoding/json"
	"time"

	"gypsumward/core/fingerprint"
)

// Member describes one incarnation of an instance.
type Member struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"life"` // identifies the incarnation; differs with every start
	Addr        string  `json:"addr"` // for calls between instances
	Zone        string  `json:"zone"`
	StartedAt   int64   `json:"since"`           // start time, in wall-clock milliseconds since 1970; only for choosing a successor
	Cores       float64 `json:"cores,omitempty"` // cores the instance may use
}

// Holder is the value of the holder row.
type Holder struct {
	Member
	TermNumber int `json:"round"` // number of terms up to and including this one

	// Previous is the epoch of the holder that has handed the cell over; zero if this one has
	// claimed it.
	Previous int64 `json:"previous,omitempty"`

	// Earlier holds the terms before this one whose runs this holder may have to account for.
	Earlier []earlierRow `json:"earlier,omitempty"`
}

// Heartbeat is the value of the heartbeat row.
type Heartbeat struct {
	Incarnation string `json:"life"`
	Number      int64  `json:"number"`
	Runners     int    `json:"runners"` // runners that the holder can send orders to

	// Set is the fingerprint of the runners on which the holder may have runs; zero if it has not
	// accounted for what earlier holders may have left.
	Set fingerprint.Set `json:"set,omitempty"`

	// Sent is when it was sent, in nanoseconds on the clock of the holder; zero if not stated.
	Sent int64 `json:"sent,omitempty"`

	// Ended is the epoch of a term that the holder has ended by itself; zero if it goes on.
	Ended int64 `json:"ended,omitempty"`
}

// Term describes the period during which one instance holds a cell.
type Term struct {
	Epoch  int64 // version of the holder row; the fencing token
	Number int   // term number, counted from 1
	// PreviousRunners is the fingerprint of the runners on which the previous holder may have
	// runs, as last reported; zero if it is not known.
	PreviousRunners fingerprint.Set
	// PreviousEpoch is the epoch of the holder that has handed the cell over; zero if none has.
	PreviousEpoch int64
	// ReplacedEpoch is the epoch of the previous holder, however its term has ended; zero if there was
	// none.
	ReplacedEpoch int64
	// Earlier holds the terms before the previous one whose runs that one had not accounted for.
	Earlier []EarlierTerm
	// PreviousEnd is when the lease of the previous holder will certainly have expired; zero if
	// it has by now. A holder that has handed the cell over may not know it and go on.
	PreviousEnd time.Time
	// PreviousOpen means that the previous holder may be alive and go on with jobs that need not be
	// kept, on runners that this one has not reached, beyond PreviousEnd.
	PreviousOpen bool
	// PreviousAlive is a time at which the previous holder was certainly alive; zero if none is
	// known.
	PreviousAlive time.Time
}

// Key returns the key of a row of a cell; row is one of the names below, or empty for
// the common prefix. Each cell has its own table, so that a watch reports only the rows
// of that cell.
func Key(cell, row string) string {
	return cell + "/cells-" + cell + "/" + row
}

// Names of the rows of a cell, for Key.
const (
	HolderRow    = "holder"
	HeartbeatRow = "beat"
	StandbysRow  = "standbys"
)

// encode returns v as JSON. It panics if v cannot be encoded.
func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("election: cannot encode row: " + err.Error())
	}
	return raw
}
