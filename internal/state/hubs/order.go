package hubs

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
)

// Capacity is the bit length of the number of messages a second that a VM can handle. It
// is logarithmic so that VMs of similar size have the same capacity.
type Capacity uint8

const (
	// messagesPerCore is how many messages a second a core handles, including the
	// work that they cause.
	messagesPerCore = 20_000
	// messageBits is the size of a message on the link, in bits.
	messageBits = 1600
	// maxCapacity bounds the capacity that a VM reports of itself.
	maxCapacity Capacity = 24
)

// CapacityOf returns the capacity of a VM with a number of processor cores, which may be
// a fraction, and a link rate in bits a second. The lower of the two limits applies.
func CapacityOf(cores, link float64) Capacity {
	n := min(cores*messagesPerCore, link/messageBits)
	return min(Capacity(bits.Len64(uint64(max(n, 0)))), maxCapacity)
}

// Candidate is a VM that may be a hub.
type Candidate struct {
	VM       ident.VM
	Addr     netip.AddrPort // not valid: this VM
	Capacity Capacity
	Domain   ident.FailureDomain // empty: not known
}

// ranked is a candidate with the hash by which it is ordered.
type ranked struct {
	Candidate
	hash uint64 // of the name
}

func newRanked(c Candidate) ranked {
	return ranked{Candidate: c, hash: xxhash.Sum64String(string(c.VM))}
}

// compareRanked orders candidates by falling capacity, and those of the same capacity by a
// hash of the name, which spreads the hubs over them.
func compareRanked(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(b.level(), a.level()),
		cmp.Compare(a.hash, b.hash),
		cmp.Compare(a.VM, b.VM),
	)
}

// level returns the capacity by which the candidate is ordered.
func (c Candidate) level() Capacity { return min(c.Capacity, maxCapacity) }

// firstOf returns, in order, all candidates with at least the capacity of the nth. Only
// these can be moved to the first n places by spreadDomains.
func firstOf(all []ranked, n int) []Candidate {
	var counts [maxCapacity + 1]int
	for i := range all {
		counts[all[i].level()]++
	}
	least := maxCapacity
	for sum := counts[least]; sum < n && least > 0; sum += counts[least] {
		least--
	}
	first := slices.DeleteFunc(all, func(r ranked) bool { return r.level() < least })
	slices.SortFunc(first, compareRanked)
	out := make([]Candidate, len(first))
	for i := range first {
		out[i] = first[i].Candidate
	}
	return out
}

// mayAffectTop reports whether a candidate that is new or has changed may be among the first
// ones of the order.
func (t *Tracker) mayAffectTop(c Candidate) bool {
	return len(t.top) < maxListed || c.level() >= t.top[len(t.top)-1].level()
}

// spreadDomains moves the hubs to the front of ordered candidates. In turn it chooses,
// among those of the highest remaining capacity, the first whose failure domain has the
// fewest hubs so far, so that the loss of a failure domain leaves some hubs.
//
// Applied to a subset of the candidates that contains the hubs, it chooses the same
// hubs, so that VMs that know only some candidates agree on them.
func spreadDomains(list []Candidate) {
	for i := range min(Count, len(list)) {
		best, least := i, Count
		for j := i; j < len(list) && list[j].Capacity == list[i].Capacity; j++ {
			if n := countInDomain(list[:i], list[j].Domain); n < least {
				best, least = j, n
			}
		}
		c := list[best]
		copy(list[i+1:best+1], list[i:best])
		list[i] = c
	}
}

// countInDomain counts the chosen hubs in a failure domain. Unknown failure domains count
// as different from each other.
func countInDomain(chosen []Candidate, d ident.FailureDomain) int {
	n := 0
	for _, c := range chosen {
		if d != "" && c.Domain == d {
			n++
		}
	}
	return n
}

// coordinatorHash returns the key by which VMs are ordered as coordinators of a service.
func coordinatorHash(service ident.Service, vm ident.VM) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(vm))
}

// sortForService sorts candidates into the order in which they take over the coordination
// of a service.
func sortForService(service ident.Service, list []Candidate) {
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Compare(coordinatorHash(service, a.VM), coordinatorHash(service, b.VM))
	})
}

// Digest returns a hash that identifies a list of candidates, or zero for an empty list.
func Digest(list []Candidate) uint64 {
	if len(list) == 0 {
		return 0
	}
	d := xxhash.New()
	for _, c := range list {
		_, _ = d.WriteString(string(c.VM)) // never fails
		_, _ = d.WriteString(c.Addr.String())
		_, _ = d.WriteString(string(c.Domain))
		_, _ = d.Write([]byte{byte(c.Capacity), 0})
	}
	return d.Sum64()
}
