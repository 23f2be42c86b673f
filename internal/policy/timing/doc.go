// Package timing weights plain servers by their response times at all VMs.
//
// Each VM sums the response times of the last Window by server and reports the sums to the
// hubs, which return the sums of all other VMs. A server that takes longer than the median of
// its service, or that rejects more calls than the others, gets a lower weight.
package timing
