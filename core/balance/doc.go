// Package balance decides whether an instance hands over a cell that it holds although it
// could go on.
//
// The load is a fleet whose instances are replaced one after the other, so that cells
// gather on those that started first or end up in other data centres than their runners,
// and a machine that becomes too slow for its cell.
package balance
