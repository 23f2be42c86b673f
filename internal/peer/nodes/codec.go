package nodes

import (
	"net/netip"

	"github.com/gravitational/trace"
	pb "google.golang.org/protobuf/proto"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
	"umberladder/internal/state/member"
)

func encodeMember(m *member.Member) *proto.Member {
	return &proto.Member{
		Name:        string(m.Name),
		Address:     m.Address.String(),
		Domain:      string(m.Domain),
		Incarnation: m.Incarnation,
		State:       uint32(m.State),
	}
}

func decodeMember(w *proto.Member) (member.Member, error) {
	addr, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return member.Member{}, trace.BadParameter("invalid member address %q", w.GetAddress())
	}
	if err := ident.CheckName(w.GetName()); err != nil {
		return member.Member{}, trace.Wrap(err)
	}
	if w.GetState() > uint32(member.Dead) {
		return member.Member{}, trace.BadParameter("invalid member state %d", w.GetState())
	}
	return member.Member{
		Name:        ident.VM(w.GetName()),
		Address:     addr,
		Domain:      ident.FailureDomain(w.GetDomain()),
		Incarnation: w.GetIncarnation(),
		State:       member.State(w.GetState()),
	}, nil
}

// encodePacket encodes a packet as a protocol buffers message.
func encodePacket(p *member.Packet) ([]byte, error) {
	w := &proto.Packet{
		Kind:             uint32(p.Kind),
		Sequence:         p.Sequence,
		From:             encodeMember(&p.From),
		Target:           string(p.Target),
		SettingsRevision: p.SettingsVersion.Revision,
		SettingsAhead:    p.SettingsVersion.Ahead,
	}
	for i := range p.Updates {
		w.Updates = append(w.Updates, encodeMember(&p.Updates[i]))
	}
	data, err := pb.Marshal(w)
	return data, trace.Wrap(err)
}

// decodePacket decodes a packet.
func decodePacket(data []byte) (member.Packet, error) {
	var w proto.Packet
	if err := pb.Unmarshal(data, &w); err != nil {
		return member.Packet{}, trace.Wrap(err)
	}
	if w.GetKind() > uint32(member.Announcement) {
		return member.Packet{}, trace.BadParameter("invalid packet kind %d", w.GetKind())
	}
	from, err := decodeMember(w.GetFrom())
	if err != nil {
		return member.Packet{}, trace.Wrap(err)
	}
	p := member.Packet{
		Kind:            member.Kind(w.GetKind()),
		Sequence:        w.GetSequence(),
		From:            from,
		Target:          ident.VM(w.GetTarget()),
		SettingsVersion: member.SettingsVersion{Revision: w.GetSettingsRevision(), Ahead: w.GetSettingsAhead()},
	}
	for _, u := range w.GetUpdates() {
		m, err := decodeMember(u)
		if err != nil {
			return member.Packet{}, trace.Wrap(err)
		}
		p.Updates = append(p.Updates, m)
	}
	return p, nil
}
