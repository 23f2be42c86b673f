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

// HubResponse holds the fields that a hub adds to its message for a VM that reports to it.
type Hub struct {
	Digest uint64                       // of the candidates that the hub lists
	Names  []hubs.Candidate             // left out if the VM has the candidates with this digest
	Known  int                          // number of VMs that report to the hub, or did recently
	Heard  int                          // number of VMs whose attempts are in PeerAttempts
	Rest   map[ident.Service]retry.Sent // of all VMs but the receiver, in the window of the retry budget
}

// Field numbers of a hub's response and of a candidate in it.
const (
	hubCandidateDigest = 1
	hubCandidate       = 2
	hubKnown           = 3
	hubReporting       = 4
	hubPeerAttempts    = 5

	candidateVM       = 1
	candidateAddr     = 2
	candidateCapacity = 3
	candidateDomain   = 4
)

func (h *Hub) encode() []byte {
	b := appendNumber(nil, hubCandidateDigest, h.Digest)
	for _, c := range h.Names {
		b = appendBytes(b, hubCandidate, encodeCandidate(c))
	}
	b = appendNumber(b, hubKnown, uint64(h.Known))
	b = appendNumber(b, hubReporting, uint64(h.Heard))
	for name, n := range h.Rest {
		b = appendBytes(b, hubPeerAttempts, encodeAttempts(name, n))
	}
	return b
}

func encodeCandidate(c hubs.Candidate) []byte {
	b := appendString(nil, candidateVM, string(c.VM))
	b = appendString(b, candidateAddr, c.Addr.String())
	b = appendNumber(b, candidateCapacity, uint64(c.Capacity))
	return appendString(b, candidateDomain, string(c.Domain))
}

func decodeHub(b []byte) (*Hub, error) {
	h := &Hub{Rest: make(map[ident.Service]retry.Sent)}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		var err error
		switch n {
		case hubCandidateDigest:
			h.Digest = v
		case hubCandidate:
			var c hubs.Candidate
			c, err = decodeCandidate(data)
			h.Names = append(h.Names, c)
		case hubKnown:
			h.Known = int(min(v, math.MaxInt32))
		case hubReporting:
			h.Heard = int(min(v, math.MaxInt32))
		case hubPeerAttempts:
			var name ident.Service
			var sent retry.Sent
			name, sent, err = decodeAttempts(data)
			h.Rest[name] = sent
		}
		return err
	})
	return h, err
}

func decodeCandidate(b []byte) (hubs.Candidate, error) {
	var c hubs.Candidate
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case candidateVM:
			c.VM = ident.VM(data)
		case candidateAddr:
			addr, err := netip.ParseAddrPort(string(data))
			if err != nil {
				return trace.Wrap(err)
			}
			c.Addr = addr
		case candidateDomain:
			c.Domain = ident.Domain(data)
		case candidateCapacity:
			c.Capacity = hubs.Capacity(min(v, math.MaxUint8))
		}
		return nil
	})
	return c, err
}
