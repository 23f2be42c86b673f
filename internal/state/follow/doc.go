// Package follow keeps this VM's settings and its table of backend servers
// up to date with the platform's store.
//
// Each follower reads everything once and then waits for changes. After any
// failure it reads everything again, because it may have missed a change.
package follow
