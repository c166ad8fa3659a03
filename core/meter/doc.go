// Package meter provides the Prometheus metrics of an entry instance.
//
// Metric names follow the conventions of Prometheus: the prefix gypsumward, base
// units, and the suffix _total for counters. Every label has a bounded set of values.
// The first MaxTeams teams are counted by name, all others as Other.
// docs/OPERATIONS.md lists the alerts on the metrics.
package meter
