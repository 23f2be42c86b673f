// Package serve assembles the components of an entry VM, runs them until the
// process is asked to stop, and then waits until every request has ended.
package serve
