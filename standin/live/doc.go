// Package live provides the stand-in for the platform's list of live members,
// which lags behind the actual state.
//
// The members are read from a fleet file in TOML. It is read again before each
// round of probes, so that members can be added and removed. A member is live if
// its /health gives any response; it is leaving if the fleet file or the response
// says so. The age of the served list exceeds the lag by at most one probe
// interval.
package live
