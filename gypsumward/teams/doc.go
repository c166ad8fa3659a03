// Package teams provides the settings of teams that are in force to the components of
// an entry instance: which teams exist, and the shares of their work.
//
// A team is known if it has a subtree in the settings in force. As long as an
// instance has never had any settings, as in a new installation, all teams are known
// and have the default settings.
package teams
