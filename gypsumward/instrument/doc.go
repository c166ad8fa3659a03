// Package instrument feeds the metrics of an entry instance: it counts the outcomes that are
// returned to callers and the messages to targets and other instances.
package instrument
