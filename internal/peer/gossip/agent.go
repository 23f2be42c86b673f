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
	"umberladder/internal/route/coord"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/origin"
)

const (
	// After it has sent n messages, Agent waits n times pausePerMessage, but at least
	// minPause, before it sends again. Changes in the meantime are sent together.
	pausePerMessage = 150 * time.Microsecond
	minPause        = 10 * time.Millisecond
	// maxDatagram is the maximum size of a datagram, in bytes.
	maxDatagram = 60 << 10
)

// Delegate provides the contents of the messages that this VM sends, and handles those
// that it receives.
type Delegate interface {
	// FillReport fills in this VM's own state.
	FillReport(m *wire.Message, now time.Time)
	// FillUpdate fills in the changes of servers that this VM sends with a report to a hub.
	FillUpdate(m *wire.Message, hub ident.VM, now time.Time)
	// FillResponse fills in this hub's response to a VM that reports to it, or an
	// announcement to that VM, which has no reply.
	FillResponse(m *wire.Message, to ident.VM, now time.Time)
	// HandleReport merges another VM's report.
	HandleReport(m *wire.Message, from netip.AddrPort, now time.Time)
	// HandleResponse merges a hub's response.
	HandleResponse(m *wire.Message, from netip.AddrPort, now time.Time)
	// Clock returns this VM's time, which is sent in a report as its request time.
	Clock() uint64
	// VersionReply returns the reply to a report with the given request time.
	VersionReply(requestTime uint64) *wire.VersionReply
	// HandlePlacementRequest handles another VM's placement request and passes the
	// response to reply.
	HandlePlacementRequest(req coord.Request, reply func(coord.Response))
	// HandlePlacementResponse handles the response to a placement request of this VM.
	HandlePlacementResponse(resp coord.Response)
	// HandleOrigins keeps origins of streams that another VM sends.
	HandleOrigins(list []origin.Record)
	// AnswerOriginQuery answers another VM's query for the origin of a stream.
	AnswerOriginQuery(q origin.Query) origin.Answer
	// HandleOriginAnswer handles the answer to a query of this VM.
	HandleOriginAnswer(a origin.Answer)
	// StateChanged returns a channel that receives a value when there is a change to
	// announce to all VMs.
	StateChanged() <-chan struct{}
	// LoadsChanged returns a channel that receives a value when this VM's loads change.
	LoadsChanged() <-chan struct{}
	// Coordinators returns the addresses of the VMs that decide placements based on the
	// reported loads.
	Coordinators() []netip.AddrPort
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages, and their number.
const (
	Reports    Kind = iota // a VM's own state, to hubs and coordinators
	Responses              // a hub's, to a report or unsolicited
	Placements             // placement requests and responses
	Origins                // origins of streams, queries and answers
	NumKinds
)

// String returns the kind's name in metrics.
func (k Kind) String() string { return [...]string{"reports", "answers", "seats", "origins"}[k] }

// Traffic is a number of sent messages and their total size in bytes.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// udpConn is the subset of net.UDPConn that Agent uses.
type udpConn interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error)
	Close() error
}

// Agent sends and receives one VM's messages.
type Agent struct {
	vm       ident.VM
	boot     uint64
	seq      uint64
	conn     udpConn
	delegate Delegate
	hubs     *hubs.Tracker
	sendNow  chan struct{} // holds a value when a report is to be sent at once
	sent     [NumKinds]struct{ messages, bytes atomic.Uint64 }
	log      *zap.Logger
}

// New returns an agent that listens at addr. The number boot must increase with each
// instance of the VM's process.
func New(vm ident.VM, boot uint64, addr netip.AddrPort, delegate Delegate, h *hubs.Tracker, log *zap.Logger) (*Agent, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newAgent(c, vm, boot, delegate, h, log), nil
}

// newAgent returns an agent that uses c.
func newAgent(c udpConn, vm ident.VM, boot uint64, delegate Delegate, h *hubs.Tracker, log *zap.Logger) *Agent {
	return &Agent{vm: vm, boot: boot, conn: c, delegate: delegate, hubs: h, sendNow: make(chan struct{}, 1), log: log}
}

// Sent returns the messages of a kind that were sent since the start.
func (a *Agent) Sent(k Kind) Traffic {
	return Traffic{Messages: a.sent[k].messages.Load(), Bytes: a.sent[k].bytes.Load()}
}

// RunSender sends reports, and announcements of changes, until ctx ends. It then closes
// the socket.
func (a *Agent) RunSender(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		var n int
		select {
		case <-ctx.Done():
			_ = a.conn.Close()
			return
		case <-t.C:
			n = a.sendReports(time.Now(), false)
			t.Reset(a.hubs.NextReport(time.Now()))
		case <-a.sendNow:
			n = a.sendReports(time.Now(), true)
		case <-a.delegate.StateChanged():
			n = a.announce(time.Now())
		case <-a.delegate.LoadsChanged():
			n = a.sendLoads(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(minPause, pausePerMessage*time.Duration(n))):
		}
	}
}

// ReportNow makes RunSender report to the hubs without waiting for the report interval.
func (a *Agent) ReportNow() {
	select {
	case a.sendNow <- struct{}{}:
	default:
	}
}

// newReport returns a message with this VM's own state.
func (a *Agent) newReport(now time.Time) *wire.Message {
	a.seq++
	m := &wire.Message{VM: a.vm, Instance: a.boot, Seq: a.seq}
	a.delegate.FillReport(m, now)
	return m
}

// sendReports sends a report to all hubs, or only to those whose report is due, and
// requests a response. It returns the number of hubs.
func (a *Agent) sendReports(now time.Time, all bool) int {
	targets := a.hubs.Targets(now, all)
	if len(targets) == 0 {
		return 0
	}
	m := a.newReport(now)
	for _, c := range targets {
		m.RequestTime = a.delegate.Clock()
		m.CandidateDigest = a.hubs.CandidateDigest(c.VM)
		m.ServerUpdate, m.PackedUpdate = nil, nil
		a.delegate.FillUpdate(m, c.VM, now)
		a.write(Reports, m, c.Addr)
	}
	return len(targets)
}

// announce sends this VM's state to the hubs and, if this VM is a hub, to all VMs that
// report to it. It returns the number of receivers.
func (a *Agent) announce(now time.Time) int {
	n := a.sendReports(now, true)
	reporters := a.hubs.Reporters(now)
	// With the current digest, respond leaves out the candidates. VMs get changed ones with
	// the response to their next report.
	digest := hubs.Digest(a.hubs.LiveCandidates(now))
	for _, c := range reporters {
		a.respond(c.VM, c.Addr, &wire.Message{VM: a.vm, Instance: a.boot}, digest, now)
	}
	return n + len(reporters)
}

// sendLoads reports this VM's loads to the coordinators. It returns their number.
func (a *Agent) sendLoads(now time.Time) int {
	m := a.newReport(now)
	m.Timings = nil // the hubs get them with each regular report
	addrs := a.delegate.Coordinators()
	for _, addr := range addrs {
		a.write(Reports, m, addr)
	}
	return len(addrs)
}

// respond sends the combined state of all VMs to a VM that reports to this one. It
// leaves out the candidates if the digest shows that the VM has the current ones.
func (a *Agent) respond(to ident.VM, addr netip.AddrPort, m *wire.Message, digest uint64, now time.Time) {
	candidates := a.hubs.LiveCandidates(now)
	m.Hub = &wire.HubResponse{CandidateDigest: hubs.Digest(candidates)}
	if digest != m.Hub.CandidateDigest {
		m.Hub.Candidates = candidates
	}
	a.delegate.FillResponse(m, to, now)
	a.write(Responses, m, addr)
}

// write sends a message, in parts if it is too large for one datagram.
func (a *Agent) write(k Kind, m *wire.Message, to netip.AddrPort) {
	for _, b := range m.EncodeParts(maxDatagram) {
		if _, err := a.conn.WriteToUDPAddrPort(b, to); err != nil {
			a.log.Debug("message not sent", zap.Stringer("kind", k), zap.Stringer("to", to), zap.Error(err))
			continue
		}
		a.sent[k].messages.Add(1)
		a.sent[k].bytes.Add(uint64(len(b)))
	}
}

// SendRequest sends a placement request to another VM.
func (a *Agent) SendRequest(to netip.AddrPort, req coord.Request) {
	a.write(Placements, &wire.Message{VM: a.vm, PlacementRequest: &req}, to)
}

// SendRecords sends origins of streams to another VM.
func (a *Agent) SendRecords(to netip.AddrPort, list []origin.Record) {
	for _, part := range wire.SplitOrigins(list) {
		a.write(Origins, &wire.Message{VM: a.vm, Origins: part}, to)
	}
}

// SendQuery asks another VM for the origin of a stream.
func (a *Agent) SendQuery(to netip.AddrPort, q origin.Query) {
	a.write(Origins, &wire.Message{VM: a.vm, OriginQuery: &q}, to)
}

// handle passes a message to the delegate's method for its kind.
func (a *Agent) handle(m *wire.Message, from netip.AddrPort) {
	switch {
	case m.VM == a.vm:
	case m.PlacementRequest != nil:
		a.delegate.HandlePlacementRequest(*m.PlacementRequest, func(resp coord.Response) {
			a.write(Placements, &wire.Message{VM: a.vm, PlacementResponse: &resp}, from)
		})
	case m.PlacementResponse != nil:
		a.delegate.HandlePlacementResponse(*m.PlacementResponse)
	case len(m.Origins) > 0:
		a.delegate.HandleOrigins(m.Origins)
	case m.OriginQuery != nil:
		answer := a.delegate.AnswerOriginQuery(*m.OriginQuery)
		a.write(Origins, &wire.Message{VM: a.vm, OriginAnswer: &answer}, from)
	case m.OriginAnswer != nil:
		a.delegate.HandleOriginAnswer(*m.OriginAnswer)
	case m.Hub != nil:
		a.delegate.HandleResponse(m, from, time.Now())
	default:
		a.delegate.HandleReport(m, from, time.Now())
		if m.RequestTime != 0 {
			a.respond(m.VM, from, &wire.Message{VM: a.vm, Instance: a.boot, Reply: a.delegate.VersionReply(m.RequestTime)}, m.CandidateDigest, time.Now())
		}
	}
}

// RunReceiver handles messages until the socket is closed.
func (a *Agent) RunReceiver(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				a.log.Error("gossip receiver stopped", zap.Error(err))
			}
			return
		}
		m, err := wire.Decode(buf[:n])
		if err != nil {
			a.log.Warn("message not decoded", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		a.handle(m, from)
	}
}
