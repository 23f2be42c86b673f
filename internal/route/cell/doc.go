// Package cell lets one VM decide for all where a model's generations go.
//
// A model's home, by rendezvous hashing over the live VMs, places, queues and
// refuses for every VM: it alone knows every stream's age, so it can fill the
// engines' memory without filling it over. The other VMs ask it by ticket and
// tell it how their streams come along. If the home does not answer, a VM
// decides by itself with what it knows, as the home of its own streams; the
// engines' reports then show each side what the other does. A home holds
// nothing that must last: a new one sees the streams that run in the reports.
package cell
