// Package setting provides the subcommands for the shared settings of teams.
//
// A subcommand that changes settings reads the stored settings, checks the whole
// change, and then writes the subtree of each team only if its version is still
// the one that was read. If several operators change a team concurrently, one of
// them succeeds and the others get a conflict that names the winner.
package setting
