// Package plain calls the teams' own HTTP servers. A call is written once,
// ever: there is no retry here, and a call that may not be repeated gets a
// connection of its own, so that a stale one can't make its end uncertain.
package plain
