// Package lookup bounds the reads of single rows that calls of clients cause.
//
// The load that it addresses are clients that ask for jobs which no holder knows, each of which takes
// several reads. Without a bound they take a connection to the store each, and the reads that the other
// parts of the process need.
package lookup
