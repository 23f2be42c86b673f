// Package peers keeps one VM's settings, servers, loads and view of the other VMs in
// sync with the store and with those VMs, and reports its own state to them.
package peers
