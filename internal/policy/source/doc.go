// Package source chooses between the figures of other VMs that a VM gets from several sources: the
// responses of its hubs, and the reports of other VMs to itself.
package source
