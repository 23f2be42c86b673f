// Package report describes the state of an edge VM for its operators: which VM coordinates each
// service, which workspaces wait there and what they got, and how fast servers are. It encodes the
// state as JSON and prints that as tables.
package report
