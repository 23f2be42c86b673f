// Package length estimates how long a generation still runs, given what it
// has produced.
//
// Lengths fall into buckets that grow by a quarter octave. For each bucket an
// Estimator counts the streams that reached it (at risk) and those that ended
// in it; the ratio is the hazard, and the product of survivals is the
// Kaplan-Meier estimate of the distribution of lengths (Kaplan and Meier,
// Nonparametric Estimation from Incomplete Observations, 1958). Streams still
// running or cut short count as far as they came, so that long ones are not
// missed while they last. Old counts are halved as new ones come.
//
// A Curve is an immutable picture of an estimator, read without locks.
package length
