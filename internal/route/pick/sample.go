package pick

import (
	"math/rand/v2"
	"slices"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/srvtab"
)

const (
	// maxCompared is how many engines with capacity a choice compares. The best of a random
	// sample of this size is nearly as good as the best of all, and all are compared if
	// there are no more.
	maxCompared = 64
	// minNear is how many of them are in the preferred failure domain, if it has as many.
	minNear = 32
	// maxVisited bounds the engines that a choice visits, and maxNearVisited those of them in
	// the preferred failure domain, which may be full while others are not. If none of them
	// has capacity, the run is queued and tried again with other ones.
	maxVisited     = 512
	maxNearVisited = 256
	// maxStepTries is how many random steps are tried before a step of 1 is used.
	maxStepTries = 16
)

// sample visits the servers of some pools in a random order, each at most once.
type sample struct {
	pools    []srvtab.Pool
	exclude  []ident.Server
	reserved bool // some pools are reserved for other runs
	visited  int  // servers visited
	excluded int  // servers met that are in exclude
}

// newSample returns a sample of the servers in the allowed pools that are not reserved for other
// runs, without the excluded ones.
func newSample(pools []srvtab.Pool, allowed, reserved func(*srvtab.Pool) bool, exclude []ident.Server) *sample {
	s := &sample{exclude: exclude}
	for i := range pools {
		switch p := &pools[i]; {
		case !allowed(p):
		case reserved(p):
			s.reserved = true
		default:
			s.pools = append(s.pools, *p)
		}
	}
	return s
}

// exhausted reports whether all servers turned out to be excluded.
func (s *sample) exhausted() bool { return !s.reserved && s.excluded == total(s.pools) }

func total(pools []srvtab.Pool) int {
	n := 0
	for i := range pools {
		n += pools[i].Len()
	}
	return n
}

// split returns the pools of a failure domain, and the other pools.
func (s *sample) split(d ident.FailureDomain) (near, others []srvtab.Pool) {
	for _, p := range s.pools {
		if p.Domain == d {
			near = append(near, p)
		} else {
			others = append(others, p)
		}
	}
	return near, others
}

// collect visits servers until it has found maxCompared for which accept returns true.
// Those in the failure domain near are visited first, minNear of them or as many as are
// needed because there are few others.
func (s *sample) collect(near ident.FailureDomain, accept func(*srvtab.Server) bool) {
	nearPools, others := s.split(near)
	found := s.visit(nearPools, max(minNear, maxCompared-total(others)), max(maxNearVisited, maxVisited-total(others)), accept)
	s.visit(others, maxCompared-found, maxVisited, accept)
}

// visit visits the servers of pools until accept has returned true limit times, or the
// sample has visited bound servers in all, and returns how often it did.
func (s *sample) visit(pools []srvtab.Pool, limit, bound int, accept func(*srvtab.Server) bool) int {
	n := total(pools)
	if n == 0 {
		return 0
	}
	found, i, step := 0, rand.IntN(n), coprime(n)
	for range n {
		if found >= limit || s.visited >= bound {
			break
		}
		server := at(pools, i)
		i = (i + step) % n
		if slices.Contains(s.exclude, server.ID) {
			s.excluded++
			continue
		}
		s.visited++
		if accept(server) {
			found++
		}
	}
	return found
}

// at returns the server with an index among those of all pools.
func at(pools []srvtab.Pool, i int) *srvtab.Server {
	for p := range pools {
		if i < pools[p].Len() {
			return pools[p].At(i)
		}
		i -= pools[p].Len()
	}
	return nil
}

// coprime returns a random number below n, or 1, that has no common divisor with n. Steps of
// this size visit each of n indices once.
func coprime(n int) int {
	for range maxStepTries {
		if step := 1 + rand.IntN(n); gcd(step, n) == 1 {
			return step
		}
	}
	return 1
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
