// Package desk places the runs of one VM: it asks the service's home, the VM
// that takes its place if the home is silent, and decides alone if that is
// silent too.
package desk
