// Package hosted runs an entry instance on the users' platform. For each cell it
// connects the front, the keeper and the lead of the current term to the platform's
// store, runners and clients.
package hosted
