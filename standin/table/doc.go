// Package table provides the stand-in for the platform's transactional table.
//
// Rows are kept in memory. A transaction checks the conditions of all its
// operations and then takes effect atomically, or reports the rows in conflict
// and changes nothing. The version counter increases with each transaction that
// takes effect, and all rows written by one transaction have the same version.
package table
