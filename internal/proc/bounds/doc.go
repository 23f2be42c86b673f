// Package bounds sets the bounds on what a process holds for its clients, and reports what is held:
// in the log while clients are refused, and as metrics.
package bounds
