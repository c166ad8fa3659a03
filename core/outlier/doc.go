// Package outlier detects targets that fail more often than their peers, and
// quarantines them until probes succeed.
//
// The peers show whether failures are caused by a target or by a kind of call: a
// failure counts against a target only to the extent that calls of that kind
// succeed on other targets. The evidence is the sum of logarithms of a likelihood
// ratio, bounded below by zero (a CUSUM test), so that a target that turns bad is
// detected after a few calls however long it has been good.
//
// A target that fails only one kind is quarantined for that kind; one that fails
// several kinds, or breaks connections, is quarantined for all. A quarantined
// target gets one call at a time as a probe, after waits that double with each
// failed probe. The quarantine ends after several consecutive successful probes;
// after a relapse the first wait is longer.
//
// At most a part of the targets is quarantined at a time, so that some always
// remain in use. The caller numbers targets and kinds from zero.
package outlier
