// Package syncer distributes accepted settings to every VM and puts them in
// force.
//
// A Current holds the snapshot in force on one VM; the versions of its documents
// never decrease. A Follower keeps it up to date: from the platform's key-value
// service if this VM is one of the watchers of its failure domain, the VMs that
// watch the service for changes, and from other VMs otherwise.
package syncer
