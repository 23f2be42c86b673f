// Package uptime provides a monotonic clock that includes the time during which the VM is
// suspended.
//
// The monotonic clock of the Go runtime stops during a suspension, so ages measured with it
// are too small afterwards, and a resumed VM would consider outdated settings fresh.
package uptime
