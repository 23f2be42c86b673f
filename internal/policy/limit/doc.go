// Package limit holds a workspace to its limits on one VM: so many open
// requests, so many generated tokens a second.
//
// A VM holds a share of each limit. The shares of n VMs add up to the limit
// exactly, so that no number of VMs together passes it, and a VM that hears
// from no other keeps to the share it had.
package limit
