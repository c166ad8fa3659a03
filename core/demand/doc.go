// Package demand estimates the actual needs of tasks by team and kind.
//
// Declared cores and memory may be wrong by a factor of ten either way, and a
// target reports only its total use. An Estimator keeps for each kind the ratio
// of actual to declared need with its variance. When a target reports its use,
// the Estimator corrects the ratios of all kinds that ran on the target with a
// Kalman filter with a diagonal covariance: the larger the variance of a ratio,
// the more of the difference between reported and expected use is attributed to
// it.
//
// Run times are estimated as a mean with bounded steps, so that a straggler
// changes it little.
package demand
