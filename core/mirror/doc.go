// Package mirror keeps a copy of the rows of the store under a prefix up to date, by a
// watch or by polling. If the store has lost the history that the watch needs, or a call
// fails or times out, the copy stays unchanged until the rows can be read again.
package mirror
