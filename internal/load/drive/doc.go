// Package drive is a load generator: it sends requests to running VMs as
// callers would, checks every response against its request, and checks refusals
// against what the backend servers recorded as run.
package drive
