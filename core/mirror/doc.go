// Package mirror provides a copy of the rows of the store under a prefix, kept up to
// date by a watch. A lost history, a store that does not answer and an answer that
// never comes leave the copy as it was until the rows can be read again.
package mirror
