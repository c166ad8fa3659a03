// Package retry decides whether and when a failed request is retried.
//
// A retry is wasted work if the fault persists, and simultaneous retries of many
// requests keep a fleet overloaded after the cause has passed. Retries are
// therefore limited by a Budget that grows with first attempts, and are spread in
// time by Backoff.
package retry
