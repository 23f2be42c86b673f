// Package limit enforces a workspace's limits on one VM: the number of concurrent
// requests and of generated tokens per second.
//
// Each VM enforces a share of each limit. The shares of all VMs add up to exactly
// the limit, so the VMs together do not exceed it. A VM that loses contact with the
// others keeps its last share.
package limit
