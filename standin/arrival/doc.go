// Package arrival plans the arrivals of a load: which team sends which work at
// which time.
//
// Arrivals are open-loop: their times do not depend on responses. Each stream is
// a Poisson process drawn from the seed and the name of the stream, so that
// adding a stream does not change the others.
package arrival
