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

func decodeMember(pm *proto.Member) (member.Member, error) {
	addr, err := netip.ParseAddrPort(pm.GetAddress())
	if err != nil {
		return member.Member{}, trace.BadParameter("invalid member address %q", pm.GetAddress())
	}
	if err := ident.CheckName(pm.GetName()); err != nil {
		return member.Member{}, trace.Wrap(err)
	}
	if pm.GetState() > uint32(member.Dead) {
		return member.Member{}, trace.BadParameter("invalid member state %d", pm.GetState())
	}
	return member.Member{
		Name:        ident.VM(pm.GetName()),
		Address:     addr,
		Domain:      ident.FailureDomain(pm.GetDomain()),
		Incarnation: pm.GetIncarnation(),
		State:       member.State(pm.GetState()),
	}, nil
}

// encodePacket encodes a packet as a protocol buffers message.
func encodePacket(p *member.Packet) ([]byte, error) {
	pp := &proto.Packet{
		Kind:             uint32(p.Kind),
		Sequence:         p.Sequence,
		From:             encodeMember(&p.From),
		Target:           string(p.Target),
		SettingsRevision: p.SettingsVersion.Revision,
		SettingsAhead:    p.SettingsVersion.Ahead,
	}
	for i := range p.Updates {
		pp.Updates = append(pp.Updates, encodeMember(&p.Updates[i]))
	}
	data, err := pb.Marshal(pp)
	return data, trace.Wrap(err)
}

// decodePacket decodes a packet.
func decodePacket(data []byte) (member.Packet, error) {
	var pp proto.Packet
	if err := pb.Unmarshal(data, &pp); err != nil {
		return member.Packet{}, trace.Wrap(err)
	}
	if pp.GetKind() > uint32(member.Announcement) {
		return member.Packet{}, trace.BadParameter("invalid packet kind %d", pp.GetKind())
	}
	from, err := decodeMember(pp.GetFrom())
	if err != nil {
		return member.Packet{}, trace.Wrap(err)
	}
	p := member.Packet{
		Kind:            member.Kind(pp.GetKind()),
		Sequence:        pp.GetSequence(),
		From:            from,
		Target:          ident.VM(pp.GetTarget()),
		SettingsVersion: member.SettingsVersion{Revision: pp.GetSettingsRevision(), Ahead: pp.GetSettingsAhead()},
	}
	for _, u := range pp.GetUpdates() {
		m, err := decodeMember(u)
		if err != nil {
			return member.Packet{}, trace.Wrap(err)
		}
		p.Updates = append(p.Updates, m)
	}
	return p, nil
}
