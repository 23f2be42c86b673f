package hubs

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
)

// Capacity is the order of magnitude of the messages a second that a VM carries: a
// logarithm, so that VMs of nearly the same kind are equals.
type Capacity uint8

const (
	// messagesPerCore is how many messages a second a core handles, each with the
	// work that it causes.
	messagesPerCore = 20_000
	// messageBits is the size of a message on the link.
	messageBits = 1600
	// mostCapacity bounds what a VM tells of itself.
	mostCapacity Capacity = 24
)

// CapacityOf returns the capacity of a VM by its share of processor cores and the
// rate of its link in bits a second.
func CapacityOf(cores, link float64) Capacity {
	n := min(cores*messagesPerCore, link/messageBits)
	return min(Capacity(bits.Len64(uint64(max(n, 0)))), mostCapacity)
}

// Candidate is a VM that may be a hub.
type Candidate struct {
	VM       ident.VM
	Addr     netip.AddrPort // not valid: this VM
	Capacity Capacity
	Domain   ident.Domain // empty: not known
}

// compare orders candidates: those of more capacity first. The hash spreads the
// first places over VMs of the same capacity.
func compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(min(b.Capacity, mostCapacity), min(a.Capacity, mostCapacity)),
		cmp.Compare(xxhash.Sum64String(string(a.VM)), xxhash.Sum64String(string(b.VM))),
		cmp.Compare(a.VM, b.VM),
	)
}

// spread brings the hubs to the front of ordered candidates: in turn the first of those
// of the most capacity whose failure domain has the fewest hubs so far, so that the loss
// of a domain leaves some. The first of an order come first in each part of it that
// holds them, so that VMs that know only some candidates choose the same hubs.
func spread(list []Candidate) {
	for i := range min(Count, len(list)) {
		best, least := i, Count
		for j := i; j < len(list) && list[j].Capacity == list[i].Capacity; j++ {
			if n := hubsIn(list[:i], list[j].Domain); n < least {
				best, least = j, n
			}
		}
		c := list[best]
		copy(list[i+1:best+1], list[i:best])
		list[i] = c
	}
}

// hubsIn counts the hubs in a failure domain. One that is not known is like no other.
func hubsIn(chosen []Candidate, d ident.Domain) int {
	n := 0
	for _, c := range chosen {
		if d != "" && c.Domain == d {
			n++
		}
	}
	return n
}

// homeRank is a VM's place in the order of those that decide for a service.
func homeRank(service ident.Service, vm ident.VM) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(vm))
}

// sortForService brings candidates into the order in which they decide for a service.
func sortForService(service ident.Service, list []Candidate) {
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Compare(homeRank(service, a.VM), homeRank(service, b.VM))
	})
}

// Digest identifies a list of candidates; zero: there is none.
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
