// Package direct sends arrivals to runners without a dispatcher in between. It
// provides the baseline for measuring the overhead of the dispatcher.
package direct
