// Package fair divides capacity among callers while it is scarce.
//
// Queue orders waiting requests by start-time fair queueing (Goyal, Vin and Cheng, Start-time
// Fair Queuing, 1996) at two levels: flows share the capacity by their weights, and the
// subflows of each flow share equally what the flow gets. Within a subflow the earliest deadline
// comes first. Virtual time advances with grants only: a flow that was idle starts at the
// current virtual time, so it neither waits for what the others got meanwhile nor accumulates
// credit.
//
// Meter measures what each caller was granted, relative to the others.
package fair
