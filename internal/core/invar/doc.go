// Package invar counts violations of the system's promises.
//
// An invariant is asserted on the path it protects, always on. A violation is
// counted under its name, exported as the metric
// umberladder_invariant_violations_total, and fails any test that ends with a
// count above zero.
package invar
