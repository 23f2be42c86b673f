// Package migr migrates runs between engines: it has an engine copy the KV cache
// of a run to another engine, where the run continues.
//
// Copies queue on the engines' links, and a stopped run produces nothing while
// its last copy is queued. Therefore a run is stopped only when all of its KV
// cache is copied except for what it produced in the last milliseconds.
package migr
