package wire

import (
	"umberladder/internal/core/ident"
	"umberladder/internal/route/seats"
)

// partLoads is how many loads one part holds: at most 100 bytes each, so that a part
// has room beside them.
const partLoads = 250

// Parts returns the state as messages of at most limit bytes, one if possible. Only
// changes of servers may be left out, if they alone are larger: whoever lacks them
// takes the list.
func (s *State) Parts(limit int) [][]byte {
	if b := s.Encode(); len(b) <= limit {
		return [][]byte{b}
	}
	var out [][]byte
	if s.News != nil {
		news := *s
		news.Loads, news.Part, news.Ask = nil, newsPart, 0 // the parts with loads ask
		if b := news.Encode(); len(b) <= limit {
			out = append(out, b)
		}
	}
	for n, loads := range chunks(s.Loads) {
		part := *s
		part.News, part.Loads, part.Part = nil, loads, n
		out = append(out, part.Encode())
	}
	return out
}

// newsPart marks a part without loads, which says nothing of them.
const newsPart = 1 << 20

// HasLoads reports whether the state tells the VM's loads, or a part of them.
func (s *State) HasLoads() bool { return s.Hub == nil && s.Part != newsPart }

// chunks divides loads into parts; there is one at least.
func chunks(all map[ident.Server]seats.Load) []map[ident.Server]seats.Load {
	out := []map[ident.Server]seats.Load{{}}
	for id, l := range all {
		last := out[len(out)-1]
		if len(last) == partLoads {
			last = make(map[ident.Server]seats.Load, partLoads)
			out = append(out, last)
		}
		last[id] = l
	}
	return out
}
