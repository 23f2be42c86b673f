// Package index holds servers by ID, and by service and failure domain, and makes immutable
// snapshots of them.
//
// Snapshots are taken after each change of a server and share all parts that a change does
// not touch, so that a change costs the depth of a tree rather than the number of servers.
package index
