// Package invar counts violations of the system's invariants.
//
// Invariants are asserted at run time, in production too. Violations are counted by
// invariant and exported as the metric umberladder_invariant_violations_total. A test
// that ends with a count above zero fails.
package invar
