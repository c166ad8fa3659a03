// Package follow keeps the settings of one instance up to date with the shared
// settings.
//
// A Follower polls the revision in the platform's table, which is one small row,
// and loads the tree only if that revision is higher than the active one. While
// the platform does not respond, it asks one other instance per poll instead,
// which returns its tree only if that is newer. A change therefore reaches an
// instance that is disconnected from the platform as long as it can call an
// instance that has the change, directly or through a chain of such calls. An
// instance that starts during an outage gets the tree of its peers.
//
// A tree is applied only if it is valid and its revision is higher than the
// active one, whatever its source, so no instance returns to an older revision.
package follow
