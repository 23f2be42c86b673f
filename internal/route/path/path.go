package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/httpc"
	"umberladder/internal/peer/socket"
	"umberladder/internal/peer/tunnel"
	"umberladder/internal/policy/hold"
	"umberladder/internal/policy/reach"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/srvtab"
)

const (
	// peerDelay is how long a direct connection is waited for before a tunnel through another VM is requested.
	// A handshake takes a few milliseconds, and a lost packet is repeated after a second.
	peerDelay = 30 * time.Millisecond
	// overloadedPeerDelay replaces peerDelay while this VM is overloaded and its direct connections
	// succeed. It is longer than the platform's 400 ms for a direct connection, so that a tunnel is
	// requested only once that has failed. A tunnel goes over the same links: with 30 ms, each slow
	// connection caused up to four more. 400 ms was too short where connections took 200 to 370 ms on
	// average.
	overloadedPeerDelay = time.Second
	// nextPeerDelay is how long one VM may take to open a tunnel before the next one is tried.
	nextPeerDelay = 50 * time.Millisecond
	// peerTimeout bounds a connection through another VM.
	peerTimeout = 300 * time.Millisecond
	// maxPeers is the maximum number of VMs tried for one connection.
	maxPeers = 4
	// avoidTime is how long other VMs are preferred over one that opened no tunnel.
	avoidTime = time.Second
)

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Tunneler connects to servers through other VMs.
type Tunneler interface {
	Connect(ctx context.Context, via netip.AddrPort, server ident.Server, newWork bool) (net.Conn, error)
}

// Meter measures how long direct connections take, and from that whether this VM is overloaded.
type Meter interface {
	Overloaded(now time.Time) bool
	Connecting()
	Connected(domain ident.FailureDomain, took time.Duration, now time.Time)
	Failed()
}

// Purpose describes what a connection is for.
type Purpose struct {
	NewWork bool                  // the server is to run a call from its start
	Domains []ident.FailureDomain // failure domains of VMs that may carry the connection; nil: all
}

// Deps are the dependencies of a Connector.
type Deps struct {
	Dialer  Dialer
	Tunnels Tunneler
	// Peers returns VMs that may carry connections, in random order.
	Peers func(now time.Time) []hubs.Candidate
	// IsolationChanged is called when this VM may have lost or regained its links to all
	// servers.
	IsolationChanged func()
	// Count counts an attempt to connect by its way and outcome.
	Count func(way, outcome string)
	Meter Meter
	Group group
	Log   *zap.Logger
}

// Connector connects to servers. It is safe for concurrent use.
type Connector struct {
	Deps
	reach *reach.Tracker

	mu         sync.Mutex
	avoidUntil map[ident.VM]time.Time // by VM that opened no tunnel
}

// New returns a Connector that records in t which servers it reaches.
func New(t *reach.Tracker, d Deps) *Connector {
	return &Connector{Deps: d, reach: t, avoidUntil: make(map[ident.VM]time.Time)}
}

// Error is the failure of all ways to connect to a server. Nothing was sent to the server.
type Error struct {
	Server ident.Server
	Ways   []error // by way tried, including the direct one
	// Confirmed reports that another VM, which reaches other servers, could not connect
	// either, so that the server is to blame rather than this VM's links.
	Confirmed bool
}

func (e *Error) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Server, errors.Join(e.Ways...))
}

func (e *Error) Unwrap() []error { return e.Ways }

// Connect connects to a server and returns the VM that carries the connection; none if it is
// direct. Its error is an *Error, or the context's cause.
func (c *Connector) Connect(ctx context.Context, s *srvtab.Server, p Purpose) (net.Conn, ident.VM, error) {
	ways, unreachable := c.ways(s, p)
	if len(ways) == 0 {
		return nil, "", &Error{Server: s.ID, Ways: []error{errIsolated}}
	}
	r := newRace(ways, c.Group, func(w way, err error) { c.record(s, w, err) })
	conn, index := r.run(ctx)
	if conn != nil {
		c.chosen(s, r, index)
		return conn, ways[index].via, nil
	}
	if err := context.Cause(ctx); err != nil {
		return nil, "", err
	}
	e := &Error{Server: s.ID, Ways: r.errs}
	e.Confirmed = unreachable || slices.ContainsFunc(r.errs, tunnel.BlamesServer) || !slices.ContainsFunc(r.errs, isShortage) && c.reach.Blames(s.ID, time.Now())
	return nil, "", e
}

// errIsolated is returned without an attempt while this VM reaches no server and knows no VM
// that could carry the connection. Some attempts are made to find out when that ends.
var errIsolated = errors.New("path: this VM reaches no server and no other VM that does")

// ways returns the ways to connect to a server, in the order in which to try them, and
// whether other VMs could not connect to it recently.
func (c *Connector) ways(s *srvtab.Server, p Purpose) (ways []way, unreachable bool) {
	now := time.Now()
	direct := way{dial: func(ctx context.Context) (net.Conn, error) { return c.dial(ctx, s) }}
	plan := c.reach.Plan(s.ID, now)
	if plan == reach.DirectOnly {
		return []way{direct}, true
	}
	ways = c.peerWays(s, p, now)
	switch {
	case len(ways) == 0 && c.reach.ReachesNone(now) && !c.reach.TryDirect(s.ID, now):
		return nil, false
	case plan == reach.DirectFirst && len(ways) > 0:
		ways[0].wait = c.peerDelay(now)
		return append([]way{direct}, ways...), false
	case plan == reach.Both && len(ways) > 0:
		ways[0].wait = 0
		return append([]way{direct}, ways...), false
	default:
		direct.wait = nextPeerDelay
		return append(ways, direct), false
	}
}

// peerDelay returns how long to wait for a direct connection to a server that is not known to be
// cut off before a tunnel is requested.
func (c *Connector) peerDelay(now time.Time) time.Duration {
	if c.overloaded(now) {
		return overloadedPeerDelay
	}
	return peerDelay
}

// overloaded reports whether direct connections are slow because this VM is overloaded, rather than
// because its links are cut.
func (c *Connector) overloaded(now time.Time) bool {
	return c.Meter.Overloaded(now) && c.reach.Reaches(now)
}

// dial connects to a server over this VM's own links.
func (c *Connector) dial(ctx context.Context, s *srvtab.Server) (net.Conn, error) {
	c.Meter.Connecting()
	start := time.Now()
	conn, err := c.Dialer.Dial(ctx, s.Addr)
	if err != nil {
		c.Meter.Failed()
		return nil, err
	}
	now := time.Now()
	c.Meter.Connected(s.Domain, now.Sub(start), now)
	return conn, nil
}

// peerWays returns the ways through other VMs.
func (c *Connector) peerWays(s *srvtab.Server, p Purpose, now time.Time) []way {
	var out []way
	for _, peer := range c.preferredPeers(now) {
		if p.Domains != nil && !slices.Contains(p.Domains, peer.Domain) {
			continue
		}
		out = append(out, way{via: peer.VM, wait: nextPeerDelay, dial: func(ctx context.Context) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			return c.Tunnels.Connect(ctx, peer.Addr, s.ID, p.NewWork)
		}})
		if len(out) == maxPeers {
			break
		}
	}
	return out
}

// preferredPeers returns the VMs that may carry connections, those that failed to do so
// recently last.
func (c *Connector) preferredPeers(now time.Time) []hubs.Candidate {
	peers := c.Peers(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for vm, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, vm)
		}
	}
	slices.SortStableFunc(peers, func(a, b hubs.Candidate) int { return c.avoidUntil[a.VM].Compare(c.avoidUntil[b.VM]) })
	return peers
}

// avoid makes other VMs preferred over one that opened no tunnel.
func (c *Connector) avoid(vm ident.VM, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[vm] = now.Add(avoidTime)
}

// record records the outcome of one way.
func (c *Connector) record(s *srvtab.Server, w way, err error) {
	now := time.Now()
	switch {
	case w.via == "":
		c.recordDirect(s, err, now)
	case err == nil:
		c.Count("peer", "connected")
	case tunnel.BlamesServer(err):
		c.Count("peer", "server-down")
		c.reach.FailedByPeer(s.ID, now)
	default:
		c.Count("peer", "failed")
		c.avoid(w.via, now)
	}
}

func (c *Connector) recordDirect(s *srvtab.Server, err error, now time.Time) {
	switch {
	case isShortage(err):
		c.Count("direct", "shortage")
		return
	case err != nil:
		c.Count("direct", outcome(err))
		c.reach.Failed(s.ID, now)
		return
	}
	c.Count("direct", "connected")
	if c.reach.Connected(s.ID, now) {
		c.Log.Info("server reached directly again", zap.String("server", string(s.ID)))
		c.IsolationChanged()
	}
}

// isShortage reports whether a connection failed because this VM lacks descriptors, ports or memory,
// which says nothing about the server or the links.
func isShortage(err error) bool { return errors.Is(err, hold.ErrExhausted) || socket.IsShortage(err) }

// outcome returns the name of the cause of a failed direct connection.
func outcome(err error) string {
	var n net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.As(err, &n) && n.Timeout():
		return "timeout"
	default:
		return "failed"
	}
}

// chosen records that the connection of a way is used. If it is another VM's and this VM has
// not connected, the server is cut off.
func (c *Connector) chosen(s *srvtab.Server, r *race, index int) {
	via := r.ways[index].via
	direct := slices.IndexFunc(r.ways, func(w way) bool { return w.via == "" })
	if via == "" || direct >= r.started || r.conns[direct] {
		return
	}
	now := time.Now()
	if r.errs[direct] == nil && c.overloaded(now) || isShortage(r.errs[direct]) {
		return // this VM is the cause, not a cut
	}
	if r.errs[direct] == nil {
		c.reach.Failed(s.ID, now) // it is still pending and clears this if it succeeds
	}
	if c.reach.ConnectedByPeer(s.ID, now) {
		c.Log.Info("server reached through another VM only", zap.String("server", string(s.ID)), zap.String("via", string(via)), zap.NamedError("direct", r.errs[direct]))
		c.IsolationChanged()
	}
}

// ConnectDirect implements tunnel.Connector.
func (c *Connector) ConnectDirect(ctx context.Context, s *srvtab.Server) (net.Conn, error) {
	var err error
	if c.reach.TryDirect(s.ID, time.Now()) {
		var conn net.Conn
		conn, err = c.Dialer.Dial(ctx, s.Addr)
		c.recordDirect(s, err, time.Now())
		if err == nil {
			return conn, nil
		}
	}
	switch {
	case isShortage(err):
		return nil, tunnel.ErrBusy
	case !c.reach.Blames(s.ID, time.Now()):
		return nil, tunnel.ErrCutOff
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, tunnel.ErrRefused
	default:
		return nil, tunnel.ErrUnreachable
	}
}

// RefusesConnections reports whether a server refuses connections, which means that its
// process has ended. Other VMs confirm it, because a link may also refuse connections.
func (c *Connector) RefusesConnections(ctx context.Context, s *srvtab.Server) bool {
	conn, err := c.Dialer.Dial(ctx, s.Addr)
	c.recordDirect(s, err, time.Now())
	if err == nil {
		_ = conn.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	var unconfirmed []error
	for _, peer := range c.Peers(time.Now()) {
		conn, err := c.Tunnels.Connect(ctx, peer.Addr, s.ID, false)
		switch {
		case err == nil:
			_ = conn.Close()
			return false
		case errors.Is(err, tunnel.ErrRefused):
			return true
		}
		unconfirmed = append(unconfirmed, fmt.Errorf("%s: %w", peer.VM, err))
		if ctx.Err() != nil {
			break
		}
	}
	ended := ctx.Err() == nil && c.reach.Blames(s.ID, time.Now())
	if !ended {
		c.Log.Info("end of the server not confirmed by other VMs", zap.String("server", string(s.ID)), zap.Errors("errors", unconfirmed))
	}
	return ended
}

const (
	// endCheckTimeout bounds the check whether a server still accepts connections. A connection
	// through another VM is begun after peerDelay and takes two round trips more than a direct one.
	endCheckTimeout = 150 * time.Millisecond
	// overloadedEndCheckTimeout replaces endCheckTimeout while this VM is overloaded: its direct
	// connections then take 200 to 370 ms, and without one a complete response counts as broken.
	overloadedEndCheckTimeout = 500 * time.Millisecond
)

// AcceptsConnections reports whether a server still accepts connections shortly after one of
// them ended. It connects through another VM where this VM's links fail.
func (c *Connector) AcceptsConnections(ctx context.Context, s *srvtab.Server) bool {
	timeout := endCheckTimeout
	if c.overloaded(time.Now()) {
		timeout = overloadedEndCheckTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-time.After(httpc.EndCheckDelay):
	case <-ctx.Done():
		return false
	}
	conn, _, err := c.Connect(ctx, s, Purpose{})
	if err != nil {
		c.Log.Debug("server does not accept connections", zap.String("server", string(s.ID)), zap.Error(err))
		return false
	}
	_ = conn.Close()
	return true
}
