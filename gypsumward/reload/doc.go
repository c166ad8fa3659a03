// Package reload reloads the settings file of an instance on the users' platform and holds
// the settings in force.
package reload
