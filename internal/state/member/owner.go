package member

import (
	"github.com/cespare/xxhash/v2"
)

// Owner returns the live VM that a key is assigned to: the one with the highest
// hash of key and VM name (rendezvous hashing: Thaler and Ravishankar, Using
// Name-Based Mappings to Increase Hit Rates, 1998). It returns false if there is
// no live VM.
func Owner(key string, live []Member) (Member, bool) {
	top := TopOwners(key, live, 1)
	if len(top) == 0 {
		return Member{}, false
	}
	return top[0], true
}

// TopOwners returns the k VMs with the highest hashes for key, the highest first.
func TopOwners(key string, live []Member, k int) []Member {
	type scored struct {
		m Member
		h uint64
	}
	best := make([]scored, 0, k+1)
	for _, m := range live {
		s := scored{m, hashScore(key, m)}
		at := len(best)
		for at > 0 && s.h > best[at-1].h {
			at--
		}
		if at >= k {
			continue
		}
		best = append(best, scored{})
		copy(best[at+1:], best[at:])
		best[at] = s
		best = best[:min(len(best), k)]
	}
	out := make([]Member, 0, len(best))
	for _, s := range best {
		out = append(out, s.m)
	}
	return out
}

func hashScore(key string, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(m.Name))
	return d.Sum64()
}
