// Package hosted runs an entry instance on the users' platform. For each cell it
// connects the proxy, the elector and the event loop of the current term to the
// platform's store, runners and clients.
package hosted
