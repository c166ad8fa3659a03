// Package outcome provides the outcome of one arrival of a load, as observed by
// its sender. With a log of outcomes a check can compare them with the records of
// targets.
package outcome
