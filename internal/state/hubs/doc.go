// Package hubs decides which few VMs, the hubs, all others report to, and which
// of them ask the store for changes.
//
// A VM reports to the first VMs of an order that all agree on: by capacity, then by
// a hash of the name. Whoever is reported to answers with what it knows of all, and
// with the first VMs of the order that it hears. A VM that does not answer is passed
// over, so that nothing has to be elected, and VMs that disagree for a while cost
// messages and nothing else.
package hubs
