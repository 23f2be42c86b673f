// Package watch watches a part of the store. It reads everything once and then waits
// for changes, except while other VMs report them.
//
// After any failure it reads everything again, because it may have missed a change.
package watch
