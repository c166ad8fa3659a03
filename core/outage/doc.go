// Package outage provides a store in memory for tests, which falls silent, resets connections,
// refuses calls or answers slowly on request. It needs the clock of testing/synctest.
package outage
