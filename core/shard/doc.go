// Package shard divides jobs and runners among cells.
//
// Each cell has its own holder, rows and runners. A job or a runner belongs to one cell
// permanently, chosen by a hash of its id, so that no two holders ever share one. The
// number of cells is agreed once, through a row that the first instance to know the
// runners inserts. The size of the fleet affects this number only.
package shard
