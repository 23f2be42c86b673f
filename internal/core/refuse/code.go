package refuse

import (
	"time"

	"github.com/gravitational/trace"
	pb "google.golang.org/protobuf/proto"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/seal"
	"umberladder/internal/peer/proto"
)

const codePurpose = "refusal"

// Code returns the refusal's self-contained code.
func Code(ring *seal.KeyRing, r *Refusal) string {
	data, err := pb.Marshal(ToProto(r))
	if err != nil {
		// Marshal fails only for text that is not valid UTF-8. Leave all texts out.
		return Code(ring, &Refusal{Reason: r.Reason, Ran: r.Ran, At: r.At, VM: r.VM})
	}
	return ring.SealToken(codePurpose, data)
}

// Decode returns the refusal that a code holds. It returns seal.ErrForged if the code was not
// issued by this system.
func Decode(ring *seal.KeyRing, code string) (*Refusal, error) {
	data, err := ring.OpenToken(codePurpose, code)
	if err != nil {
		return nil, trace.Wrap(err, "the refusal code can't be explained")
	}
	var m proto.RefusalCode
	if err := pb.Unmarshal(data, &m); err != nil {
		return nil, trace.Wrap(err, "the refusal code can't be read")
	}
	return FromProto(&m), nil
}

// ToProto returns the protobuf form of a refusal.
func ToProto(r *Refusal) *proto.RefusalCode {
	return &proto.RefusalCode{
		Reason:       uint32(r.Reason),
		Ran:          uint32(r.Ran),
		Request:      string(r.Request),
		Workspace:    string(r.Workspace),
		Vm:           string(r.VM),
		AtMs:         r.At.UnixMilli(),
		Path:         r.Rule.Path,
		Version:      r.Rule.Version,
		Limit:        r.Rule.Limit,
		Observed:     r.Rule.Observed,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Detail:       r.Detail,
	}
}

// FromProto returns the refusal of a protobuf form.
func FromProto(m *proto.RefusalCode) *Refusal {
	return &Refusal{
		Reason:    Reason(m.GetReason()),
		Ran:       Ran(m.GetRan()),
		Request:   ident.Request(m.GetRequest()),
		Workspace: ident.Workspace(m.GetWorkspace()),
		VM:        ident.VM(m.GetVm()),
		At:        time.UnixMilli(m.GetAtMs()),
		Rule: Rule{
			Path:     m.GetPath(),
			Version:  m.GetVersion(),
			Limit:    m.GetLimit(),
			Observed: m.GetObserved(),
		},
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Detail:     m.GetDetail(),
	}
}
