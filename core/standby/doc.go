// Package standby chooses the instances that may take over a cell. Few instances then
// exchange hello messages with a holder and watch its rows, whatever the size of the fleet.
package standby
