package nodes

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/gravitational/trace"

	"umberladder/internal/core/seal"
	"umberladder/internal/state/member"
)

// maxDatagram is the maximum size of a received datagram, in bytes. Datagrams
// sent stay well below the usual link MTU of 1,500 bytes.
const maxDatagram = 2048

// Traffic counts the datagrams and calls that a VM sent and received.
type Traffic struct {
	SentBytes, ReceivedBytes     atomic.Uint64 // bytes of datagrams, without IP and UDP headers
	SentPackets, ReceivedPackets atomic.Uint64
	Forged                       atomic.Uint64 // messages dropped: not sealed with a key of the ring, or not decoded
	CallBytes                    atomic.Uint64 // bytes of calls served, in both directions, with HTTP headers
}

// Socket sends and receives sealed datagrams.
type Socket struct {
	conn    *net.UDPConn
	ring    *seal.KeyRing
	traffic *Traffic
}

// Listen opens a UDP socket at addr.
func Listen(addr netip.AddrPort, ring *seal.KeyRing, traffic *Traffic) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Socket{conn: conn, ring: ring, traffic: traffic}, nil
}

// Send sends one packet. For the receiver a failure is the same as a lost packet.
func (s *Socket) Send(to netip.AddrPort, p *member.Packet) error {
	data, err := encodePacket(p)
	if err != nil {
		return trace.Wrap(err)
	}
	sealed := s.ring.SealPacket(nil, data)
	s.traffic.SentBytes.Add(uint64(len(sealed)))
	s.traffic.SentPackets.Add(1)
	_, err = s.conn.WriteToUDPAddrPort(sealed, to)
	return trace.Wrap(err)
}

// Run calls handle for each received packet until ctx ends.
func (s *Socket) Run(ctx context.Context, handle func(member.Packet)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue // for example an ICMP error for a datagram sent before
		}
		s.traffic.ReceivedBytes.Add(uint64(n))
		s.traffic.ReceivedPackets.Add(1)
		p, err := s.open(buf[:n])
		if err != nil {
			s.traffic.Forged.Add(1)
			continue
		}
		handle(p)
	}
}

func (s *Socket) open(sealed []byte) (member.Packet, error) {
	data, err := s.ring.OpenPacket(sealed)
	if err != nil {
		return member.Packet{}, err
	}
	return decodePacket(data)
}
