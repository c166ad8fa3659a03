// Package shard provides how jobs and runners are divided among cells.
//
// Each cell has its own holder, rows and runners. A job and a runner belong to one cell
// for good, by a hash of their ids, so no two holders ever share one. How many cells
// there are is agreed once, by a row that the first instance to know the runners
// inserts; a fleet of another size changes that number and nothing else.
package shard
