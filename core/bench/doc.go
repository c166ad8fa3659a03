// Package bench contains experiments that measure the scheduling policies. They run the
// decision packages against a simulated fleet, on arrivals generated from fixed seeds.
//
// The experiments are the tests named TestBench. "make bench" runs them and prints one
// table, and a line for each stated target. A target that is not met is printed as short
// and does not fail the test. All figures are reproducible to the last digit; a second set
// of seeds shows how much they vary.
package bench
