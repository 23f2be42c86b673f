// Package share lets VMs fetch the settings and the server list from one another
// instead of from the store.
//
// VMs fetch what another VM has already read from the store, so that the load of a
// change on the store does not depend on the number of VMs. A VM that cannot reach the
// store fetches from its peers as well, so that VMs can start to serve during an outage
// of the store.
//
// A VM limits the rate at which it sends to a fraction of its link's rate, but sends data
// of any size. Once the limit is reached, it responds with the addresses of VMs that it
// has sent the same data to, and those send it on.
package share
