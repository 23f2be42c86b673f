// Package peers keeps what one VM knows of settings, servers, loads and other VMs in
// step with the store and with those VMs, and tells them what it knows itself.
package peers
