// Package job provides the subcommands for jobs: submit, show and cancel.
//
// A job is identified by an id that the caller chooses, so a resubmission never
// runs it twice. All three subcommands are idempotent.
package job
