// Package audit compares the records of targets with each other and with the
// outcomes that callers received.
//
// It detects an id that was started more than once over all targets, a request
// that is not repeatable but had several attempts started, and work that was
// reported as not run but is in a record. Ids of attempts have the form
// TEAM/ID/REST.
package audit
