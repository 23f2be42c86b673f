// Package plain routes calls to the teams' own HTTP servers. A call that may
// not be repeated is written once, ever. One that may be is tried again on
// another server, inside the retry budget.
package plain
