// Package task holds one call on its way to its one end: what it is, what it is
// served with, and what is known of it so far.
package task
