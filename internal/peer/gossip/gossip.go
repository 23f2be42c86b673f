package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/wire"
	"umberladder/internal/route/homes"
	"umberladder/internal/state/hubs"
)

const (
	// gather is the least time between two messages for each receiver, and
	// leastGather the least of all: what changes together is sent together.
	gather      = 150 * time.Microsecond
	leastGather = 10 * time.Millisecond
	// maxMessage is the largest datagram, in bytes.
	maxMessage = 60 << 10
)

// Local is what this VM sends, and takes what it receives.
type Local interface {
	// Report fills in this VM's own state.
	Report(s *wire.State, now time.Time)
	// Answer fills in what this VM, as a hub, sends a VM that reports to it.
	Answer(s *wire.State, to ident.VM, now time.Time)
	// Hear merges another VM's report.
	Hear(s *wire.State, from netip.AddrPort, now time.Time)
	// Learn merges a hub's answer.
	Learn(s *wire.State, from netip.AddrPort, now time.Time)
	// Clock returns what a report asks the hubs to answer to.
	Clock() uint64
	// Reply replies to what another VM asks.
	Reply(ask uint64) *wire.Reply
	// Seat takes another VM's ask for room, and answers it.
	Seat(a homes.Ask, reply func(homes.Answer))
	// Seated takes the answer to this VM's ask for room.
	Seated(a homes.Answer)
	// Dirty has an element once there is something new to announce to all.
	Dirty() <-chan struct{}
	// Moved has an element once this VM's loads changed.
	Moved() <-chan struct{}
	// Homes returns the addresses of the VMs that decide by the loads.
	Homes() []netip.AddrPort
}

// Kind is a kind of message.
type Kind uint8

// The kinds.
const (
	Reports Kind = iota // of a VM's own state, to the hubs and the homes
	Answers             // of hubs, to reports and unasked
	Seats               // asks for room, and their answers
	Kinds
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"reports", "answers", "seats"}[k] }

// Traffic counts messages sent.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// conn is the part of a UDP socket that is used.
type conn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error)
	Close() error
}

// Gossip is one VM's socket.
type Gossip struct {
	vm    ident.VM
	boot  uint64
	seq   uint64
	conn  conn
	local Local
	hubs  *hubs.Hubs
	now   chan struct{} // has an element if a report is to be sent before its time
	sent  [Kinds]struct{ messages, bytes atomic.Uint64 }
	log   *zap.Logger
}

// New opens the socket at addr. The boot must rise from start to start of a VM.
func New(vm ident.VM, boot uint64, addr netip.AddrPort, local Local, h *hubs.Hubs, log *zap.Logger) (*Gossip, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return over(c, vm, boot, local, h, log), nil
}

// over makes a VM's gossip over a socket.
func over(c conn, vm ident.VM, boot uint64, local Local, h *hubs.Hubs, log *zap.Logger) *Gossip {
	return &Gossip{vm: vm, boot: boot, conn: c, local: local, hubs: h, now: make(chan struct{}, 1), log: log}
}

// Sent returns the messages of a kind that were sent since the start.
func (g *Gossip) Sent(k Kind) Traffic {
	return Traffic{Messages: g.sent[k].messages.Load(), Bytes: g.sent[k].bytes.Load()}
}

// Send reports and answers until ctx ends.
func (g *Gossip) Send(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		var n int
		select {
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		case <-t.C:
			n = g.beat(time.Now(), false)
			t.Reset(g.hubs.Next(time.Now()))
		case <-g.now:
			n = g.beat(time.Now(), true)
		case <-g.local.Dirty():
			n = g.spread(time.Now())
		case <-g.local.Moved():
			n = g.move(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(leastGather, gather*time.Duration(n))):
		}
	}
}

// Beat has this VM report to the hubs at once.
func (g *Gossip) Beat() {
	select {
	case g.now <- struct{}{}:
	default:
	}
}

// report returns this VM's own state.
func (g *Gossip) report(now time.Time) *wire.State {
	g.seq++
	s := &wire.State{VM: g.vm, Boot: g.boot, Seq: g.seq}
	g.local.Report(s, now)
	return s
}

// beat reports to the hubs, to all or to those that are due, and asks them for what
// they know. It returns to how many.
func (g *Gossip) beat(now time.Time, all bool) int {
	targets := g.hubs.Targets(now, all)
	if len(targets) == 0 {
		return 0
	}
	s := g.report(now)
	for _, c := range targets {
		s.Ask = g.local.Clock()
		s.Digest = g.hubs.Named(c.VM)
		g.write(Reports, s, c.Addr)
	}
	return len(targets)
}

// spread announces what is new to the hubs, and as a hub to all that report to this VM.
func (g *Gossip) spread(now time.Time) int {
	n := g.beat(now, true)
	reporters := g.hubs.Reporters(now)
	digest := hubs.Digest(g.hubs.Names(now)) // VMs take new names with the next answer
	for _, c := range reporters {
		g.answer(c.VM, c.Addr, &wire.State{VM: g.vm, Boot: g.boot}, digest, now)
	}
	return n + len(reporters)
}

// move reports this VM's loads to the homes.
func (g *Gossip) move(now time.Time) int {
	s := g.report(now)
	s.News = nil
	list := g.local.Homes()
	for _, addr := range list {
		g.write(Reports, s, addr)
	}
	return len(list)
}

// answer sends a VM that reports to this one what this one knows of all. The
// candidates that this one names are left out if the VM has them.
func (g *Gossip) answer(to ident.VM, addr netip.AddrPort, s *wire.State, has uint64, now time.Time) {
	names := g.hubs.Names(now)
	s.Hub = &wire.Hub{Digest: hubs.Digest(names)}
	if has != s.Hub.Digest {
		s.Hub.Names = names
	}
	g.local.Answer(s, to, now)
	g.write(Answers, s, addr)
}

func (g *Gossip) write(k Kind, s *wire.State, to netip.AddrPort) {
	for _, b := range s.Parts(maxMessage) {
		if _, err := g.conn.WriteToUDPAddrPort(b, to); err != nil {
			g.log.Debug("message not sent", zap.Stringer("kind", k), zap.Stringer("to", to), zap.Error(err))
			continue
		}
		g.sent[k].messages.Add(1)
		g.sent[k].bytes.Add(uint64(len(b)))
	}
}

// Ask asks another VM for room.
func (g *Gossip) Ask(to netip.AddrPort, a homes.Ask) {
	g.write(Seats, &wire.State{VM: g.vm, Seat: &a}, to)
}

// take sorts a message by what it holds.
func (g *Gossip) take(s *wire.State, from netip.AddrPort) {
	switch {
	case s.VM == g.vm:
	case s.Seat != nil:
		g.local.Seat(*s.Seat, func(a homes.Answer) { g.write(Seats, &wire.State{VM: g.vm, Answer: &a}, from) })
	case s.Answer != nil:
		g.local.Seated(*s.Answer)
	case s.Hub != nil:
		g.local.Learn(s, from, time.Now())
	default:
		g.local.Hear(s, from, time.Now())
		if s.Ask != 0 {
			g.answer(s.VM, from, &wire.State{VM: g.vm, Boot: g.boot, Reply: g.local.Reply(s.Ask)}, s.Digest, time.Now())
		}
	}
}

// Receive merges what others send until the socket is closed.
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
