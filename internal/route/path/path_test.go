package path_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/tunnel"
	"umberladder/internal/policy/hold"
	"umberladder/internal/policy/reach"
	"umberladder/internal/route/path"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/srvtab"
)

const (
	roundTrip      = 2 * time.Millisecond
	connectTimeout = 400 * time.Millisecond
)

// outcome is how an attempt to connect ends.
type outcome struct {
	after time.Duration
	err   error
}

var (
	ok      = outcome{after: roundTrip}
	hang    = outcome{after: connectTimeout, err: errors.New("timeout")}
	refused = outcome{after: roundTrip, err: syscall.ECONNREFUSED}
	cutOff  = outcome{after: roundTrip, err: tunnel.ErrCutOff}
	down    = outcome{after: roundTrip, err: tunnel.ErrRefused}
)

// setup holds the outcomes of direct attempts and of those through the peers a, b and c.
type setup struct {
	direct outcome
	peers  map[ident.VM]outcome
}

// network connects directly and through its peers, which it returns in order.
type network struct {
	setup
	dials atomic.Int32
	asked atomic.Int32 // tunnels requested
	open  atomic.Int32 // connections
}

type testConn struct {
	net.Conn
	open *atomic.Int32
}

func (c testConn) Close() error {
	c.open.Add(-1)
	return nil
}

func (n *network) connect(ctx context.Context, o outcome) (net.Conn, error) {
	select {
	case <-time.After(o.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if o.err != nil {
		return nil, o.err
	}
	n.open.Add(1)
	return testConn{open: &n.open}, nil
}

func (n *network) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	n.dials.Add(1)
	return n.connect(ctx, n.direct)
}

func (n *network) Connect(ctx context.Context, via netip.AddrPort, _ ident.Server, _ bool) (net.Conn, error) {
	n.asked.Add(1)
	return n.connect(ctx, n.peers[ident.VM([]byte{byte(via.Port())})])
}

func (n *network) candidates(time.Time) []hubs.Candidate {
	var out []hubs.Candidate
	for _, vm := range []ident.VM{"a", "b", "c"} {
		if _, ok := n.peers[vm]; ok {
			addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(vm[0]))
			out = append(out, hubs.Candidate{VM: vm, Addr: addr, Domain: ident.FailureDomain("domain-" + vm)})
		}
	}
	return out
}

// fixedMeter measures nothing. It reports whether this VM is overloaded.
type fixedMeter bool

func (fixedMeter) Connecting()                                             {}
func (fixedMeter) Connected(ident.FailureDomain, time.Duration, time.Time) {}
func (fixedMeter) Failed()                                                 {}
func (m fixedMeter) Overloaded(time.Time) bool                             { return bool(m) }

// newConnector returns a connector to the network, and a function that waits for the
// attempts that are still pending.
func newConnector(t *testing.T, n *network) (*path.Connector, func()) {
	return newConnectorWith(t, n, fixedMeter(false))
}

func newConnectorWith(t *testing.T, n *network, m path.Meter) (*path.Connector, func()) {
	var g errgroup.Group
	c := path.New(reach.New(), path.Deps{
		Dialer: n, Tunnels: n, Peers: n.candidates, IsolationChanged: func() {}, Count: func(string, string) {}, Meter: m, Group: &g, Log: zap.NewNop(),
	})
	return c, func() { assert.NilError(t, g.Wait()) }
}

var server = &srvtab.Server{Entry: srvtab.Entry{ID: "s", Service: "x"}}

// TestFirstConnection checks the way of a VM's first connection to a server, and how long it
// takes. Connections that are not used must be closed.
func TestFirstConnection(t *testing.T) {
	const rtt = roundTrip
	for name, tc := range map[string]struct {
		setup   setup
		domains []ident.FailureDomain
		via     ident.VM
		after   time.Duration
		asked   int32 // other VMs asked
	}{
		"links are sound":           {setup: setup{direct: ok, peers: map[ident.VM]outcome{"a": ok}}, after: rtt},
		"a slow handshake":          {setup: setup{direct: outcome{after: 25 * time.Millisecond}, peers: map[ident.VM]outcome{"a": ok}}, after: 25 * time.Millisecond},
		"a slower handshake":        {setup: setup{direct: outcome{after: 35 * time.Millisecond}, peers: map[ident.VM]outcome{"a": ok}}, via: "a", after: 32 * time.Millisecond, asked: 1},
		"cut off":                   {setup: setup{direct: hang, peers: map[ident.VM]outcome{"a": ok}}, via: "a", after: 32 * time.Millisecond, asked: 1},
		"refused":                   {setup: setup{direct: refused, peers: map[ident.VM]outcome{"a": ok}}, via: "a", after: 2 * rtt, asked: 1},
		"a peer is cut off as well": {setup: setup{direct: refused, peers: map[ident.VM]outcome{"a": cutOff, "b": ok}}, via: "b", after: 3 * rtt, asked: 2},
		"a peer is silent":          {setup: setup{direct: refused, peers: map[ident.VM]outcome{"a": hang, "b": ok}}, via: "b", after: 2*rtt + 50*time.Millisecond, asked: 2},
		"a peer in another region":  {setup: setup{direct: refused, peers: map[ident.VM]outcome{"a": ok, "b": ok}}, domains: []ident.FailureDomain{"domain-b"}, via: "b", after: 2 * rtt, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{setup: tc.setup}
				c, wait := newConnector(t, n)
				start := time.Now()
				conn, via, err := c.Connect(t.Context(), server, path.Purpose{NewWork: true, Domains: tc.domains})
				assert.NilError(t, err)
				assert.Equal(t, time.Since(start), tc.after)
				assert.Equal(t, via, tc.via)
				assert.Equal(t, n.asked.Load(), tc.asked)
				wait()
				assert.Equal(t, n.open.Load(), int32(1), "open connections")
				assert.NilError(t, conn.Close())
			})
		})
	}
}

// TestNoConnection checks how soon a connection fails that no way provides, and whether the
// server is blamed.
func TestNoConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		setup     setup
		reached   bool // another server was reached before
		after     time.Duration
		confirmed bool
	}{
		"the server is down":      {setup: setup{direct: refused, peers: map[ident.VM]outcome{"a": down}}, after: 2 * roundTrip, confirmed: true},
		"all VMs are cut off":     {setup: setup{direct: refused, peers: map[ident.VM]outcome{"a": cutOff, "b": cutOff}}, after: 3 * roundTrip},
		"no other VM":             {setup: setup{direct: refused}, after: roundTrip},
		"no other VM, links work": {setup: setup{direct: refused}, reached: true, after: roundTrip, confirmed: true},
		// Otherwise servers would count as cut off from a VM that has no descriptors left.
		"no descriptors, links work": {setup: setup{direct: outcome{err: hold.ErrExhausted}}, reached: true},
		"no ports, links work":       {setup: setup{direct: outcome{err: syscall.EADDRNOTAVAIL}}, reached: true},
		"silence":                    {setup: setup{direct: hang, peers: map[ident.VM]outcome{"a": cutOff}}, after: connectTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{setup: setup{direct: ok, peers: tc.setup.peers}}
				c, wait := newConnector(t, n)
				if tc.reached {
					conn, _, err := c.Connect(t.Context(), &srvtab.Server{Entry: srvtab.Entry{ID: "other"}}, path.Purpose{})
					assert.NilError(t, err)
					assert.NilError(t, conn.Close())
				}
				n.direct = tc.setup.direct
				start := time.Now()
				_, _, err := c.Connect(t.Context(), server, path.Purpose{})
				assert.Equal(t, time.Since(start), tc.after)
				var pathErr *path.Error
				assert.Assert(t, errors.As(err, &pathErr), "%v", err)
				assert.Equal(t, pathErr.Confirmed, tc.confirmed)
				assert.Equal(t, c.RefusesConnections(t.Context(), server), tc.confirmed)
				wait()
				assert.Equal(t, n.open.Load(), int32(0), "open connections")
			})
		})
	}
}

// TestCutEnds checks that calls during a cut are not delayed by it, and that a server is
// reached directly again within a second or two after the cut.
func TestCutEnds(t *testing.T) {
	const callInterval = 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		n := &network{setup: setup{direct: hang, peers: map[ident.VM]outcome{"a": ok}}}
		c, wait := newConnector(t, n)
		// connect returns the way of a connection, and how long it took.
		connect := func() (ident.VM, time.Duration) {
			start := time.Now()
			conn, via, err := c.Connect(t.Context(), server, path.Purpose{})
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
			time.Sleep(callInterval)
			return via, time.Since(start) - callInterval
		}
		connect()
		dials := n.dials.Load()
		const calls = 500
		for range calls {
			via, took := connect()
			assert.Equal(t, via, ident.VM("a"))
			assert.Equal(t, took, roundTrip)
		}
		assert.Assert(t, n.dials.Load()-dials < calls/20, "%d direct attempts during the cut", n.dials.Load()-dials)
		n.direct = ok
		start := time.Now()
		for via := ident.VM("a"); via != ""; {
			via, _ = connect()
			assert.Assert(t, time.Since(start) < 2*time.Second, "not reached directly")
		}
		asked := n.asked.Load()
		connect()
		assert.Equal(t, n.asked.Load(), asked, "other VMs are asked after the cut")
		wait()
		assert.Equal(t, n.open.Load(), int32(0), "open connections")
	})
}

// TestOverloaded guards against an overloaded VM that delays its direct connections further by
// requesting tunnels over the same links, and against one that is cut off and requests none.
func TestOverloaded(t *testing.T) {
	slow := outcome{after: 150 * time.Millisecond}
	for name, tc := range map[string]struct {
		idle   time.Duration // since the last direct connection
		direct outcome
		via    ident.VM
		after  time.Duration
		asked  int32 // other VMs asked
	}{
		"slow":                            {direct: slow, after: slow.after},
		"refused":                         {direct: refused, via: "a", after: 2 * roundTrip, asked: 1},
		"silent":                          {direct: hang, via: "a", after: connectTimeout + roundTrip, asked: 1},
		"no recent connection":            {idle: 300 * time.Millisecond, direct: slow, via: "a", after: 32 * time.Millisecond, asked: 1},
		"no recent connection and silent": {idle: 300 * time.Millisecond, direct: hang, via: "a", after: 32 * time.Millisecond, asked: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{setup: setup{direct: ok, peers: map[ident.VM]outcome{"a": ok}}}
				c, wait := newConnectorWith(t, n, fixedMeter(true))
				connect := func() (ident.VM, time.Duration) {
					start := time.Now()
					conn, via, err := c.Connect(t.Context(), server, path.Purpose{})
					assert.NilError(t, err)
					assert.NilError(t, conn.Close())
					return via, time.Since(start)
				}
				connect()
				time.Sleep(tc.idle)
				n.direct = tc.direct
				via, after := connect()
				assert.Equal(t, via, tc.via)
				assert.Equal(t, after, tc.after)
				assert.Equal(t, n.asked.Load(), tc.asked)
				wait()
				assert.Equal(t, n.open.Load(), int32(0), "open connections")
			})
		})
	}
}

// TestEndCheckOverloaded guards against complete responses that count as broken, because an
// overloaded VM takes longer to connect to their server than the check usually waits.
func TestEndCheckOverloaded(t *testing.T) {
	for name, overloaded := range map[string]bool{"overloaded": true, "not overloaded": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{setup: setup{direct: ok}}
				c, wait := newConnectorWith(t, n, fixedMeter(overloaded))
				conn, _, err := c.Connect(t.Context(), server, path.Purpose{})
				assert.NilError(t, err)
				assert.NilError(t, conn.Close())
				n.direct = outcome{after: 370 * time.Millisecond}
				assert.Equal(t, c.AcceptsConnections(t.Context(), server), overloaded)
				wait()
			})
		})
	}
}

// TestIsolated guards against calls that wait for time-outs at a VM that reaches no server and
// knows no other VM. They fail at once, except for some that find out whether that has ended.
func TestIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{setup: setup{direct: hang}}
		c, wait := newConnector(t, n)
		servers := []*srvtab.Server{{Entry: srvtab.Entry{ID: "a"}}, {Entry: srvtab.Entry{ID: "b"}}}
		connect := func(s *srvtab.Server) (time.Duration, error) {
			start := time.Now()
			conn, _, err := c.Connect(t.Context(), s, path.Purpose{})
			if err == nil {
				assert.NilError(t, conn.Close())
			}
			return time.Since(start), err
		}
		slow := 0
		const calls = 200
		for i := range calls {
			took, err := connect(servers[i%len(servers)])
			assert.Assert(t, err != nil)
			if took > 0 {
				slow++
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, slow <= calls/10, "%d of %d calls waited", slow, calls)
		n.direct = ok
		start := time.Now()
		for {
			if _, err := connect(servers[0]); err == nil {
				break
			}
			assert.Assert(t, time.Since(start) < 2*time.Second, "not reached again")
			time.Sleep(10 * time.Millisecond)
		}
		wait()
	})
}
