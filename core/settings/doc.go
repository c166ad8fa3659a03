// Package settings provides the settings that all instances share.
//
// # Paths
//
// The platform's table stores them under these keys:
//
//	settings/team/TEAM   the subtree of one team: its TOML text, who wrote it and when
//	settings/past/TEAM   the previous subtrees of the team, newest first
//	settings/rev         written by every change; its version is the revision
//
// A subtree is stored as the operator's own text, comments included, so that it
// can be compared byte by byte with the file under version control. A key missing
// from the file has the default of the release that reads it.
//
// # Revision
//
// A single increasing revision orders all changes. It is the version that the
// platform assigns to the transaction of a change. Every change writes the row
// settings/rev without a condition, so the version of that row is the revision of
// the newest change, and reading this one small row shows whether anything
// changed.
//
// Two other designs were considered and rejected. With a counter in that row,
// incremented by compare-and-swap, two operators who change different teams would
// conflict, so that a stream of changes of one team could delay those of another
// indefinitely. With one counter per team and no common revision, instances could
// not find out in one read whether they are up to date, and nothing would order
// the removal of a team. The version of the platform's transaction increases by
// itself, needs no condition and is never assigned twice.
//
// # Changes
//
// A change replaces the subtree of one team if it still has the version that the
// change is based on. The transaction has conditions only on rows of this team and
// writes settings/rev without a condition, so it cannot fail because of another
// team. Of several changes based on the same version one succeeds. The other
// operators get the stored version and the change that replaced their base.
//
// Each change carries a nonce. If the response to its transaction is lost, the
// same transaction is sent again. Its condition can hold only once, so it takes
// effect at most once, and the rows of the team show whose change took effect. A
// change is reported as written only if the platform confirmed its transaction or
// it was found in the table.
//
// # Active tree
//
// A Tree is a validated, immutable snapshot of all subtrees. An ActiveTree stores the
// active tree and replaces it only by one of a higher revision. A subtree that
// this release cannot read, perhaps because it comes from a newer release, does
// not hold up the other teams: the team keeps its newest previous subtree that can
// be read, and the tree states the reason.
package settings
