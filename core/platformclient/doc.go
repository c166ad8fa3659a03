// Package platformclient provides a client for the services of the platform: the
// transactional table, the object store and the list of live members, which may
// lag behind.
//
// Every error is an *Error, which says whether the call may have taken effect. This
// matters for writes: the caller must read back a write of unknown effect.
package platformclient
