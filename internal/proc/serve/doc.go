// Package serve puts the parts of an entry VM together and runs them until
// the process is told to stop, and then until every request has ended.
package serve
