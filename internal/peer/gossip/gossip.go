package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/wire"
	"umberladder/internal/route/homes"
)

const (
	// beat is how often a VM tells all others its state though nothing changed.
	beat = 500 * time.Millisecond
	// gather is the least time between two messages for each VM told, and
	// leastGather the least of all: what changes together is told together.
	gather      = 150 * time.Microsecond
	leastGather = 10 * time.Millisecond
	// maxMessage is the largest datagram, in bytes.
	maxMessage = 60 << 10
)

// Local is what this VM tells, and where it puts what others tell.
type Local interface {
	// Tell fills in what this VM tells of itself.
	Tell(s *wire.State, now time.Time)
	// Hear takes another VM's state.
	Hear(s *wire.State, from netip.AddrPort, now time.Time)
	// Ask returns whom to ask for the age of the settings, and this VM's clock;
	// not valid: nobody.
	Ask(now time.Time) (netip.AddrPort, uint64)
	// Answer answers another VM's question.
	Answer(ask uint64) wire.Reply
	// Learn takes the answer to this VM's question.
	Learn(r wire.Reply, from netip.AddrPort)
	// Seat takes another VM's ask for room, and answers it.
	Seat(a homes.Ask, reply func(homes.Answer))
	// Seated takes the answer to this VM's ask for room.
	Seated(a homes.Answer)
	// Dirty has an element once there is something new to tell all others.
	Dirty() <-chan struct{}
	// Others returns the other VMs' addresses.
	Others() []netip.AddrPort
	// Moved has an element once this VM's loads changed.
	Moved() <-chan struct{}
	// Homes returns the addresses of the VMs that decide by the loads.
	Homes() []netip.AddrPort
}

// Gossip is one VM's socket.
type Gossip struct {
	vm    ident.VM
	boot  uint64
	seq   uint64
	conn  *net.UDPConn
	local Local
	log   *zap.Logger
}

// New opens the socket at addr. The boot must rise from start to start of a VM.
func New(vm ident.VM, boot uint64, addr netip.AddrPort, local Local, log *zap.Logger) (*Gossip, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Gossip{vm: vm, boot: boot, conn: conn, local: local, log: log}, nil
}

// Send tells the others until ctx ends.
func (g *Gossip) Send(ctx context.Context) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		var others []netip.AddrPort
		select {
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		case <-t.C:
			g.ask()
		case <-g.local.Dirty():
		case <-g.local.Moved():
			others = g.local.Homes()
		}
		if others == nil {
			others = g.local.Others()
		}
		g.tell(others)
		select {
		case <-ctx.Done():
		case <-time.After(max(leastGather, gather*time.Duration(len(others)))):
		}
	}
}

func (g *Gossip) tell(others []netip.AddrPort) {
	if len(others) == 0 {
		return
	}
	g.seq++
	s := wire.State{VM: g.vm, Boot: g.boot, Seq: g.seq}
	g.local.Tell(&s, time.Now())
	b := s.Encode()
	if len(b) > maxMessage {
		g.log.Error("state too large to be told", zap.Int("bytes", len(b)), zap.Int("servers", len(s.Loads)))
		return
	}
	for _, a := range others {
		if _, err := g.conn.WriteToUDPAddrPort(b, a); err != nil {
			g.log.Debug("state not told", zap.Stringer("to", a), zap.Error(err))
		}
	}
}

// ask asks one VM for the age of the settings.
func (g *Gossip) ask() {
	to, clock := g.local.Ask(time.Now())
	if to.IsValid() {
		g.write(wire.State{VM: g.vm, Ask: clock}, to)
	}
}

func (g *Gossip) write(s wire.State, to netip.AddrPort) {
	if _, err := g.conn.WriteToUDPAddrPort(s.Encode(), to); err != nil {
		g.log.Debug("message not sent", zap.Stringer("to", to), zap.Error(err))
	}
}

// Ask asks another VM for room.
func (g *Gossip) Ask(to netip.AddrPort, a homes.Ask) { g.write(wire.State{VM: g.vm, Seat: &a}, to) }

// take sorts a message by what it holds.
func (g *Gossip) take(s *wire.State, from netip.AddrPort) {
	switch {
	case s.VM == g.vm:
	case s.Ask != 0:
		r := g.local.Answer(s.Ask)
		g.write(wire.State{VM: g.vm, Reply: &r}, from)
	case s.Reply != nil:
		g.local.Learn(*s.Reply, from)
	case s.Seat != nil:
		g.local.Seat(*s.Seat, func(a homes.Answer) { g.write(wire.State{VM: g.vm, Answer: &a}, from) })
	case s.Answer != nil:
		g.local.Seated(*s.Answer)
	default:
		g.local.Hear(s, from, time.Now())
	}
}

// Receive takes what others tell until the socket is closed.
func (g *Gossip) Receive(ctx context.Context) {
	buf := make([]byte, maxMessage)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Error("gossip ended", zap.Error(err))
			}
			return
		}
		s, err := wire.Decode(buf[:n])
		if err != nil {
			g.log.Warn("message not readable", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		g.take(s, from)
	}
}
