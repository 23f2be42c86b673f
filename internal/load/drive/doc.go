// Package drive is a load generator: it sends requests to running VMs as
// clients would, checks every response against its request, and checks refusals
// against what the backend servers recorded as run.
package drive
