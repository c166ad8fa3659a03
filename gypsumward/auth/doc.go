// Package auth authenticates and authorizes the calls to an entry instance by keys.
//
// A call carries its key as `Authorization: Bearer KEY`. A call without a known key
// is refused with status 401, and one whose key does not allow it with status 403.
// Both refusals have reason team, state that the work did not run, and are made
// before the work is handled. The keys that a call needs depend on its path:
//
//	/health, /ready        none
//	/metrics, /v1/status   any key
//	/v1/settings, below    an operator's key for the team that is changed or queried;
//	                       of the whole tree only the key's teams are returned
//	/v1/events             an operator's key; only events of the key's teams and those
//	                       that belong to no team are returned
//	all others             a caller's key for the team of the work
package auth
