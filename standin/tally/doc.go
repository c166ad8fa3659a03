// Package tally aggregates the outcomes of a load and their latencies.
package tally
