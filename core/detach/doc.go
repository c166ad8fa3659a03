// Package detach provides contexts for calls that must not be cancelled with their caller:
// a write, a start or a request that was sent takes effect even if the caller no longer
// waits for it.
package detach
