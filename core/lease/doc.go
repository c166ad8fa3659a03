// Package lease tells which entry instances are gone, by rows that each renews
// in the platform's table.
//
// An instance writes its row lease/CENTRE/NAME@INCARNATION anew every Beat, and
// reads those of its data centre as often and all others every ScanBeats beats. A lease has lapsed if its row did not change for Lapse of
// the reader's own time, during which the reader saw the rows without a pause:
// no clocks are compared, and after an outage every instance has a full Lapse to
// be heard again.
//
// A lapsed lease proves nothing: its holder may be paused and go on later. It
// only decides when another instance takes over; see package claim for what
// keeps that safe.
package lease
