// Package caller sends arrivals to the entry instances, as a client behind a
// load balancer would: to one randomly chosen instance, and again under the same
// id to the next one if the first does not reply or is shutting down.
package caller
