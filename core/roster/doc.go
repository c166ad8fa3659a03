// Package roster lists the instances of the system. Each instance writes a row when it
// starts and removes it when it shuts down. The row of an instance that was killed stays,
// so a name on the list need not be alive.
package roster
