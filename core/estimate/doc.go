// Package estimate estimates run times by target and kind from observed ones.
//
// The logarithm of a run time is modelled as the sum of three components: one of
// the kind, one of the target, and a small one of the pair. One observation thus
// updates the estimates for all kinds on its target and for its kind on all
// targets, and a target without observations of a kind still has an estimate.
// Each component has a variance; an observation updates the components in
// proportion to their variances, as in a Kalman filter with a diagonal
// covariance.
//
// A single outlier, such as a straggler, changes the estimate little. A second
// consecutive outlier in the same direction on the same target is treated as a
// change of the target's speed, which the estimate follows quickly.
//
// The caller numbers targets and kinds from zero.
package estimate
