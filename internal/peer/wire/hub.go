package wire

import (
	"math"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
	"umberladder/internal/policy/timing"
	"umberladder/internal/state/hubs"
)

// HubResponse holds the fields that a hub adds to its message for a VM that reports to it.
type HubResponse struct {
	CandidateDigest uint64                           // of the candidates that the hub lists
	Candidates      []hubs.Candidate                 // left out if the VM has the candidates with this digest
	Known           int                              // number of VMs that report to the hub, or did recently
	Reporting       int                              // number of VMs whose attempts are in PeerAttempts
	PeerAttempts    map[ident.Service]retry.Attempts // of all VMs but the receiver, in the window of the retry budget
	Carriers        []hubs.Candidate                 // VMs that may carry connections to servers for the receiver, if it is isolated
	Timings         map[ident.Server]timing.Stats    // response times of plain servers at all VMs but the receiver
}

// Field numbers of a hub's response and of a candidate in it.
const (
	hubCandidateDigest = 1
	hubCandidate       = 2
	hubKnown           = 3
	hubReporting       = 4
	hubPeerAttempts    = 5
	hubCarrier         = 6
	hubTiming          = 7

	candidateVM       = 1
	candidateAddr     = 2
	candidateCapacity = 3
	candidateDomain   = 4
)

func (h *HubResponse) encode() []byte {
	b := appendNumber(nil, hubCandidateDigest, h.CandidateDigest)
	for _, c := range h.Candidates {
		b = appendBytes(b, hubCandidate, encodeCandidate(c))
	}
	b = appendNumber(b, hubKnown, uint64(h.Known))
	b = appendNumber(b, hubReporting, uint64(h.Reporting))
	for name, attempts := range h.PeerAttempts {
		b = appendBytes(b, hubPeerAttempts, encodeAttempts(name, attempts))
	}
	for _, c := range h.Carriers {
		b = appendBytes(b, hubCarrier, encodeCandidate(c))
	}
	return appendTimings(b, hubTiming, h.Timings)
}

func encodeCandidate(c hubs.Candidate) []byte {
	b := appendString(nil, candidateVM, string(c.VM))
	b = appendString(b, candidateAddr, c.Addr.String())
	b = appendNumber(b, candidateCapacity, uint64(c.Capacity))
	return appendString(b, candidateDomain, string(c.Domain))
}

func decodeHub(b []byte) (*HubResponse, error) {
	h := &HubResponse{PeerAttempts: make(map[ident.Service]retry.Attempts)}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		var err error
		switch n {
		case hubCandidateDigest:
			h.CandidateDigest = v
		case hubCandidate:
			var c hubs.Candidate
			c, err = decodeCandidate(data)
			h.Candidates = append(h.Candidates, c)
		case hubCarrier:
			var c hubs.Candidate
			c, err = decodeCandidate(data)
			h.Carriers = append(h.Carriers, c)
		case hubTiming:
			err = addTiming(&h.Timings, data)
		case hubKnown:
			h.Known = int(min(v, math.MaxInt32))
		case hubReporting:
			h.Reporting = int(min(v, math.MaxInt32))
		case hubPeerAttempts:
			var name ident.Service
			var attempts retry.Attempts
			name, attempts, err = decodeAttempts(data)
			h.PeerAttempts[name] = attempts
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
			c.Domain = ident.FailureDomain(data)
		case candidateCapacity:
			c.Capacity = hubs.Capacity(min(v, math.MaxUint8))
		}
		return nil
	})
	return c, err
}
