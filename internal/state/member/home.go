package member

import (
	"github.com/cespare/xxhash/v2"
)

// Home returns the VM that computes or keeps the thing named key: the highest
// of the hashes of key and VM (rendezvous hashing: Thaler and Ravishankar,
// Using Name-Based Mappings to Increase Hit Rates, 1998). It is false if there
// is no VM.
func Home(key string, live []Member) (Member, bool) {
	top := Top(key, live, 1)
	if len(top) == 0 {
		return Member{}, false
	}
	return top[0], true
}

// Top returns the k VMs of the highest hashes, the highest first.
func Top(key string, live []Member, k int) []Member {
	type scored struct {
		m Member
		h uint64
	}
	best := make([]scored, 0, k+1)
	for _, m := range live {
		s := scored{m, weigh(key, m)}
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

func weigh(key string, m Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(m.Name))
	return d.Sum64()
}
