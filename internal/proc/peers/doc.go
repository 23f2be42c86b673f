// Package peers keeps one VM's settings, servers, loads and view of the other VMs in
// sync with the store and with those VMs, and reports its own state to them. Hubs are
// the VMs that the others report to. Only some VMs watch the store; the others receive
// its changes from other VMs.
package peers
