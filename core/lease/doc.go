// Package lease detects failed entry instances by rows that each instance renews
// in the platform's table.
//
// An instance rewrites its row lease/CENTRE/NAME@INCARNATION every
// Settings.HeartbeatInterval. It reads the rows of its data centre as often, and those
// of all data centres every Settings.HeartbeatsPerFullScan heartbeats. A lease has
// expired if its row did not change for Settings.Timeout of the reader's own time,
// during which the reader read the rows without interruption: no clocks are compared,
// and after an outage every instance has the full time to renew its lease.
//
// An expired lease is no proof of failure: its holder may be paused and continue
// later. It only decides when another instance takes over; package claim
// describes what keeps that safe.
package lease
