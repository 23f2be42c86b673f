// Package share lets VMs take the settings and the list of servers from one
// another instead of from the store.
//
// What one VM has read, the others fetch from it, so that a change costs the store
// the same whatever the number of VMs. A VM that the store does not answer gets it in
// the same way, and one that starts in an outage begins to serve.
//
// A VM sends no more than a small part of its link carries, whatever the size, and
// names those that it has sent the same to: they send it on.
package share
