// Package mirror keeps a copy of the rows of the store under a prefix up to date, by a
// watch or by polling. If the store has lost the history that the watch needs, or a call
// fails, the copy stays unchanged until the rows can be read again.
//
// How soon a change is read after an outage of the store does not depend on how long the outage was.
// A call that receives nothing is followed by others, while the first one is still waited for; a
// response that arrives slowly is not given up.
package mirror
