// Package delta selects the changes of servers that a VM sends to each of the others.
//
// VMs report the revision that they know, and are sent the changes after it. So what a VM
// is sent depends on the rate of changes and not on how often it is sent a message.
package delta
