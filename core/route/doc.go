// Package route provides the configuration that the operator has put in force:
// which queue a host and path belong to, and which services exist.
package route
