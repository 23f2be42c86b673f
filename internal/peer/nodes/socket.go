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

// maxDatagram is the largest datagram read; those sent stay well below the
// usual 1,500 bytes of a link.
const maxDatagram = 2048

// Traffic counts what a VM sent and received.
type Traffic struct {
	Sent, Received           atomic.Uint64 // bytes of datagrams, without IP and UDP headers
	SentCount, ReceivedCount atomic.Uint64
	Forged                   atomic.Uint64 // dropped: not made by the ring, or not readable
	Calls                    atomic.Uint64 // bytes of calls answered, both ways, with HTTP headers
}

// Socket sends and receives sealed datagrams.
type Socket struct {
	conn    *net.UDPConn
	ring    *seal.Ring
	traffic *Traffic
}

// Listen opens the socket of a VM.
func Listen(addr netip.AddrPort, ring *seal.Ring, traffic *Traffic) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Socket{conn: conn, ring: ring, traffic: traffic}, nil
}

// Send sends one packet. A failure is the same to the receiver as a loss.
func (s *Socket) Send(to netip.AddrPort, p *member.Packet) error {
	data, err := encodePacket(p)
	if err != nil {
		return trace.Wrap(err)
	}
	sealed := s.ring.Packet(nil, data)
	s.traffic.Sent.Add(uint64(len(sealed)))
	s.traffic.SentCount.Add(1)
	_, err = s.conn.WriteToUDPAddrPort(sealed, to)
	return trace.Wrap(err)
}

// Run hands each packet to take until ctx ends.
func (s *Socket) Run(ctx context.Context, take func(member.Packet)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			continue // for instance an ICMP answer to a datagram sent
		}
		s.traffic.Received.Add(uint64(n))
		s.traffic.ReceivedCount.Add(1)
		p, err := s.open(buf[:n])
		if err != nil {
			s.traffic.Forged.Add(1)
			continue
		}
		take(p)
	}
}

func (s *Socket) open(sealed []byte) (member.Packet, error) {
	data, err := s.ring.OpenPacket(sealed)
	if err != nil {
		return member.Packet{}, err
	}
	return decodePacket(data)
}
