// Package awake tells time by a clock that also runs while the VM is
// suspended.
//
// The monotonic clock of the runtime stands still during a suspension, so an
// age measured with it comes out too small after one: a VM that was frozen
// would take old settings for fresh ones.
package awake
