// Package entry provides a client for the HTTP interface of the entry instances.
//
// A Client has the addresses of several instances and prefers the one that
// replied last. It fails over to the next one only if this cannot duplicate
// work: if nothing of the call was sent, if the instance refused the call for a
// reason of its own such as shutting down, or if the call is idempotent. A
// refusal that follows an attempt of unknown outcome is returned as unknown,
// because it applies only to the last instance.
package entry
