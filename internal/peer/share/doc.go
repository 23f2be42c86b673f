// Package share lets VMs take the settings and the list of servers from one
// another instead of from the store.
//
// What one VM has read, the others fetch from it: with 62 VMs each change of
// the settings cost 62 calls to the store. A VM that the store does not answer
// gets them in the same way, and one that starts in an outage begins to serve.
//
// A VM sends no more than a small part of its link carries, whatever the size, and
// names those that it has sent the same to: they send it on.
package share
