package wire

import (
	"math"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
	"umberladder/internal/state/hubs"
)

// Hub is what a hub adds to its state for a VM that reports to it.
type Hub struct {
	Digest uint64                       // of the candidates that the hub names
	Names  []hubs.Candidate             // left out if the VM has those of the digest
	Known  int                          // VMs that report to the hub, or did of late
	Heard  int                          // VMs whose sendings are in Rest
	Rest   map[ident.Service]retry.Sent // what all but the VM sent in the window of the retry budget
}

// Field numbers of a hub's words and of a candidate in them.
const (
	hubDigest = 1
	hubName   = 2
	hubKnown  = 3
	hubHeard  = 4
	hubRest   = 5

	nameVM       = 1
	nameAddr     = 2
	nameCapacity = 3
	nameDomain   = 4
)

func (h *Hub) encode() []byte {
	b := appendNumber(nil, hubDigest, h.Digest)
	for _, c := range h.Names {
		b = appendBytes(b, hubName, encodeName(c))
	}
	b = appendNumber(b, hubKnown, uint64(h.Known))
	b = appendNumber(b, hubHeard, uint64(h.Heard))
	for name, n := range h.Rest {
		b = appendBytes(b, hubRest, encodeSent(name, n))
	}
	return b
}

func encodeName(c hubs.Candidate) []byte {
	b := appendString(nil, nameVM, string(c.VM))
	b = appendString(b, nameAddr, c.Addr.String())
	b = appendNumber(b, nameCapacity, uint64(c.Capacity))
	return appendString(b, nameDomain, string(c.Domain))
}

func decodeHub(b []byte) (*Hub, error) {
	h := &Hub{Rest: make(map[ident.Service]retry.Sent)}
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		var err error
		switch n {
		case hubDigest:
			h.Digest = v
		case hubName:
			var c hubs.Candidate
			c, err = decodeName(text)
			h.Names = append(h.Names, c)
		case hubKnown:
			h.Known = int(min(v, math.MaxInt32))
		case hubHeard:
			h.Heard = int(min(v, math.MaxInt32))
		case hubRest:
			var name ident.Service
			var sent retry.Sent
			name, sent, err = decodeSent(text)
			h.Rest[name] = sent
		}
		return err
	})
	return h, err
}

func decodeName(b []byte) (hubs.Candidate, error) {
	var c hubs.Candidate
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch n {
		case nameVM:
			c.VM = ident.VM(text)
		case nameAddr:
			addr, err := netip.ParseAddrPort(string(text))
			if err != nil {
				return trace.Wrap(err)
			}
			c.Addr = addr
		case nameDomain:
			c.Domain = ident.Domain(text)
		case nameCapacity:
			c.Capacity = hubs.Capacity(min(v, math.MaxUint8))
		}
		return nil
	})
	return c, err
}
