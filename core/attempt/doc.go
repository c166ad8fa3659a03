// Package attempt carries the state of one attempt of a call in its context, between the caller and
// the client that makes it: whether bytes of the response arrive, and whether the attempt needs a new
// connection. A total time cannot tell a response that arrives slowly from one that never comes.
package attempt
