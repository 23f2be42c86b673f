// Package drive sends requests to running VMs as callers would, checks every
// answer against what was ordered, and holds the refusals against what the
// backend servers recorded.
package drive
