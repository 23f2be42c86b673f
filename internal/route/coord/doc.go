// Package coord implements the coordinator of a service: the VM that decides,
// for all VMs, on which engine each run is placed.
//
// The coordinator is the first VM of an order that all VMs agree on; logs and
// metrics call it the service's home. The other VMs send it placement requests
// and report the load of their runs, so that only one VM allocates the
// engines' capacity: VMs that decide independently all choose the same engine
// with free capacity. A run for which no engine has capacity is queued at the
// coordinator by priority, and refused at once if the estimated wait is too
// long.
//
// Where VMs state the workspaces of their runs, queued runs are served by the
// shares of the workspaces (policy/fair), and a wait is estimated from the runs
// of the same workspace. The order is that of rank and deadline if a queued run
// states none, as those of older VMs or of settings without workspaces. Shares
// apply to queued runs only: as long as no run waits, each gets what it asks for.
//
// A refused call gets a ticket (policy/ticket) if it is known when there may be capacity for it. If it
// returns then, it precedes other calls that cannot start in time.
//
// A grant counts in addition to the reported loads until the VM that got it has probably reported
// the run. That of a brief run, such as a plain call to a brittle server, counts until a report
// states that the VM has received it, or alloc.GrantTTL if none does.
//
// The coordinator holds no state that must survive it. The next VM in the order
// receives the same load reports and takes over as soon as the first does not
// respond to requests; a VM that gets no response from either places its runs
// itself. Two VMs that place runs concurrently can only overcommit
// engines, and an overcommitted engine rejects the run.
package coord
