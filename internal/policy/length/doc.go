// Package length estimates the remaining length of a generation, given the number of
// tokens that it has generated.
//
// Lengths are divided into buckets whose starts grow by a quarter octave, a factor of
// 2^(1/4). For each bucket, an Estimator counts the streams that reached it (at risk) and
// those that ended in it. The fraction that ended is the hazard, and the product of the
// survival probabilities (one minus the hazard) is the Kaplan-Meier estimate of the length
// distribution (Kaplan and Meier, Nonparametric Estimation from Incomplete Observations,
// 1958). Streams that still run or were cut short count in the buckets that they passed,
// so that long streams are included before they end. Old counts are halved as new ones
// are added.
//
// A Curve is an immutable snapshot of an estimator, which is read without locks.
package length
