package wire

import (
	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
)

// maxPartLoads is the maximum number of loads in a part. A load takes at most 100 bytes,
// so that the part has space left for the other fields.
const maxPartLoads = 250

// EncodeParts encodes the message as one datagram, or as several if it is larger than
// limit bytes. It leaves out the update of servers if that alone exceeds the limit; the
// receivers then fetch the complete server list.
func (m *Message) EncodeParts(limit int) [][]byte {
	if b := m.Encode(); len(b) <= limit {
		return [][]byte{b}
	}
	var out [][]byte
	if m.ServerUpdate != nil {
		update := *m
		update.Loads, update.Grants, update.Part, update.RequestTime = nil, nil, updatePart, 0 // only the parts with loads request a reply
		if b := update.Encode(); len(b) <= limit {
			out = append(out, b)
		}
	}
	parts := splitLoads(m.Loads)
	for n, loads := range parts {
		part := *m
		part.ServerUpdate, part.PackedUpdate, part.Loads, part.Part = nil, nil, loads, n
		if n < len(parts)-1 {
			part.Grants = nil // they follow the loads that include their calls
		}
		out = append(out, part.Encode())
	}
	return out
}

// updatePart is the part number of a message with an update of servers and without loads.
// Receivers must not take it for a report that the VM has no loads.
const updatePart = 1 << 20

// HasLoads reports whether the message holds the VM's loads or a part of them.
func (m *Message) HasLoads() bool { return m.Hub == nil && m.Part != updatePart }

// splitLoads divides loads into one or more parts.
func splitLoads(all map[ident.Server]alloc.Load) []map[ident.Server]alloc.Load {
	out := []map[ident.Server]alloc.Load{{}}
	for id, l := range all {
		last := out[len(out)-1]
		if len(last) == maxPartLoads {
			last = make(map[ident.Server]alloc.Load, maxPartLoads)
			out = append(out, last)
		}
		last[id] = l
	}
	return out
}
