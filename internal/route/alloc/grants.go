package alloc

import (
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// GrantTTL is how long a coordinator's grant for a brief call counts if no report shows
	// that the VM has received it. VMs that share few processors report grants up to 180 ms
	// late. Reports state a received grant for as long.
	GrantTTL = 200 * time.Millisecond
	// maxGrants is how many received grants a report states. Further ones count until
	// GrantTTL. They are those of 1,280 calls per second at one VM.
	maxGrants = 256
)

// receivedGrant is a coordinator's grant for a call that is, or was, part of the local loads.
type receivedGrant struct {
	id uint64 // of the VM's placement request
	at time.Time
}

// ReserveGranted is Reserve for a call that a coordinator has granted in response to the
// placement request id. Reports made from now on state the grant together with the loads, so
// that the coordinator counts the call once.
func (t *Tracker) ReserveGranted(server ident.Server, l Load, id uint64, now time.Time) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropGrants(now)
	if len(t.grants) < maxGrants {
		t.grants = append(t.grants, receivedGrant{id: id, at: now})
	}
	return t.reserve(server, l)
}

func (t *Tracker) dropGrants(now time.Time) {
	t.grants = slices.DeleteFunc(t.grants, func(g receivedGrant) bool { return now.Sub(g.at) > GrantTTL })
}

// Report returns this VM's loads and, in ascending order, the recently received grants whose
// calls the loads include if they have not ended.
func (t *Tracker) Report(now time.Time) (loads map[ident.Server]Load, grants []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropGrants(now)
	for _, g := range t.grants {
		grants = append(grants, g.id)
	}
	slices.Sort(grants)
	return t.localCopy(), grants
}

// HasReceived reports whether the loads of a VM that are counted now include a granted call, or
// were reported after it had ended. id is that of the VM's placement request. IDs start at the
// time at which a VM started, in nanoseconds, so that this VM's and others' differ.
func (t *Tracker) HasReceived(vm ident.VM, id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := slices.BinarySearch(t.peers[vm].grants, id); ok {
		return true
	}
	return slices.ContainsFunc(t.grants, func(g receivedGrant) bool { return g.id == id })
}
