// Package load generates open-loop load: it sends planned arrivals at their
// planned times, regardless of the responses, and counts their outcomes.
package load
