// Package overflow submits transient jobs to one of several cells.
//
// A cell that has no capacity, or no holder that may start anything, refuses a job although
// another cell could run it. A refusal says that the job has not run, so that the next cell
// may have it. The load is a rush on one cell, a cell between two holders, or one whose
// runners are lost.
package overflow
