// Package promise lets the holder of a cell continue without the store for as long as
// no other instance can take over.
//
// Every other instance sends hello messages to the holder. With each reply it promises
// not to take over from a holder that may be alive, for a time that starts when the reply
// arrives. It reports the promise in its next hello message, identified by the timestamp
// of the reply. A reply arrives after it was timestamped, so a late hello message or a
// lost reply makes the holder underestimate the promise, never overestimate it.
//
// While the store shows no heartbeat of a holder that replies, the store is probably
// unable to accept a takeover, and the promise is longer. The holder may then lose the
// connection to that instance as well.
package promise
