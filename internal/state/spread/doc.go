// Package spread puts accepted settings in force on every VM.
//
// A Book holds the snapshot in force on one VM and lets documents in only
// upwards in version. A Follower keeps it current: from the platform's
// key-value service where this VM is one of its domain's watchers, and from
// other VMs otherwise.
package spread
