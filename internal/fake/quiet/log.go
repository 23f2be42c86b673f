// Package quiet drops the HTTP library's log lines of the stand-ins, which
// break connections on purpose.
package quiet

// Log drops every line.
type Log struct{}

// Printf implements the HTTP library's logger.
func (Log) Printf(string, ...any) {}
