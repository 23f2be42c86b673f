// Package stop holds the times of this VM's shutdown, and ends waits after which it would
// interrupt a call.
package stop
