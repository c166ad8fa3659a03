// Package handover hands a cell over from an instance that shuts down.
//
// The load is a fleet whose instances are replaced in turn while the store fails, a data
// centre is cut off, or no other instance is ready. The cell goes on until the handover is
// written, for as long as the instance may stay: a holder that ended its term earlier would
// leave a cell that nobody can claim.
package handover
