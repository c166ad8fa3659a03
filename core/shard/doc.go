// Package shard divides runners and jobs among cells.
//
// Each cell has its own holder, rows and runners. A runner belongs to one cell, by its data
// centre and its id, so that no two holders ever share one. A stored job belongs to one cell
// by its id; one that is not stored is submitted to the cells of the data centre in which it
// arrives. The division is agreed through a row that one instance inserts once it knows the
// runners. The size of the fleet affects the number of cells only.
package shard
