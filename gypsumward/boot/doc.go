// Package boot keeps the settings of an instance on the users' platform as they are in
// force, while their file may change.
package boot
