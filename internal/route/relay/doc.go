// Package relay takes one client call from its route to its one end.
//
// A call is checked against one snapshot of the settings, sent to a backend
// server and answered with what that server said, whole and unchanged, or with
// a refusal that is true about whether it ran. What may not repeat is written
// to one server at most, unless that server says that it did not run it. A
// stream whose engine leaves or is lost goes on at another engine from a copy
// of its cache.
package relay
