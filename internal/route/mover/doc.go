// Package mover has engines copy the cache of a run to one another, so that the
// run can go on elsewhere.
//
// Copies queue on the engines' links, and a run that is stopped stands still
// while its last copy waits. So a run is stopped only when its copy is there but
// for what it made in the last milliseconds.
package mover
