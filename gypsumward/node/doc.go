// Package node assembles an entry instance from its components: it sets up the
// clients of the outside systems, runs each component in a goroutine of its own and
// shuts them down in order.
//
// # Shutdown
//
// Drain makes the instance not ready, so that the load balancer sends no more
// callers, and refuses new work as not run. Requests in flight are answered, jobs
// are recorded or released, then the HTTP server waits for its last callers. All
// this is bounded by the drain limit of the settings. Work that is left after that
// is found by other instances through its rows. Stop then ends all components.
package node
