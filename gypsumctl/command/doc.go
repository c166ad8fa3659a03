// Package command implements the command tree of gypsumctl, the flags shared by
// all subcommands, and the exit codes.
//
// A Command with Subcommands is a group. A Command with Setup is executable:
// Setup declares its flags and returns the function that runs it. The shared
// flags may be given before or after the names of subcommands.
//
// Results are written to Env.Out, as tables or, with -json, as JSON. Progress
// and error messages are written to Env.Err.
package command
