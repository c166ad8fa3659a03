// Package locate asks for a job in the cell that has it. The home of a job, the cell to which it
// belongs by its id, knows which cell that is.
package locate
