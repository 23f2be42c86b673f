// Package unary serves calls to plain HTTP servers, which respond with one complete
// body.
//
// A call that must not run twice is sent to at most one server, unless that server
// reports that it did not run it.
package unary
