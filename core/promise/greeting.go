package promise

import (
	"time"

	"gypsumward/core/span"
	"gypsumward/core/tenure"
)

// Lengths of promises.
const (
	Plain = 600 * time.Millisecond
	Dark  = 6 * time.Second // while the store shows no signs of life of the holder
)

// drift is the part of a promise, as its inverse, that the holder does not count on:
// clocks differ.
const drift = 20

// Greeting is what an instance tells the holder: who it is, and what it promised when
// the holder last answered.
type Greeting struct {
	tenure.Member
	Holder string    `json:"holder,omitempty"` // life of the holder that answered; empty if none has
	Stamp  int64     `json:"stamp,omitempty"`  // of the answer
	Length span.Span `json:"length,omitempty"` // of the promise, from when the answer came
	Cells  int       `json:"cells,omitempty"`  // that the instance holds
}

// Answer is what an instance says to a greeting.
type Answer struct {
	Leading bool   `json:"leading"` // it is the holder
	Life    string `json:"life"`
	Stamp   int64  `json:"stamp"` // nanoseconds on its clock
}
