// Package eventloop runs a cell for one term of this instance as its holder. It provides the
// goroutine that owns the cell, makes the calls to runners and to the store on behalf of
// the cell, and loads the rows of the cell at the start of the term.
package eventloop
