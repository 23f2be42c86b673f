// Package follow keeps this VM's settings and its table of backend servers
// up to date with the platform's store.
//
// Each follower reads everything once and then waits for changes. After any
// failure it reads everything again, because it may have missed a change. A list of servers does not
// show which servers came and went before it, so the follower of the servers also reads the changes
// since the last one that it knows, or takes what other VMs know of them.
package follow
