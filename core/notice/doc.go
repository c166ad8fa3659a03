// Package notice announces the holders of all cells to all instances through one table,
// so that an instance needs a single watch however many cells there are. Notices are
// hints: the rows of a cell decide who holds it.
package notice
